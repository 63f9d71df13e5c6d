package httpapi_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/tinylib/msgp/msgp"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/claims"
	"github.com/carobkeel/carobkeel/caller/httpapi"
	"github.com/carobkeel/carobkeel/entry/server"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/client"
	"github.com/carobkeel/carobkeel/sidecar/wire"
	"github.com/carobkeel/carobkeel/table/memory"
	upstreamclient "github.com/carobkeel/carobkeel/upstream/client"
	"github.com/carobkeel/carobkeel/upstream/echo"
)

// session sends a caller's requests through an entry and a sidecar to an upstream,
// and captures the frames between the entry and the sidecar.
type session struct {
	t        *testing.T
	entry    string
	admits   bool
	mu       sync.Mutex
	captured [2]bytes.Buffer
}

// entryState provides the entry with a view of one sidecar and a catalogue with one
// service.
type entryState struct {
	view      *sidecar.View
	catalogue *carobkeel.Catalogue
	session   *session
}

func (w entryState) View() *sidecar.View             { return w.view }
func (w entryState) Catalogue() *carobkeel.Catalogue { return w.catalogue }
func (w entryState) AcceptsRequests() bool           { return w.session.admits }

const sessionBodyLimit = 200 << 10

func newSession(t *testing.T) *session {
	s := &session{t: t, admits: true}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	up := httptest.NewServer(echo.New().Handler())
	t.Cleanup(up.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logging.Discard().For("test")
	upstream := upstreamclient.New(up.Listener.Addr().String(), echo.HealthPath)
	sidecarServer := server.New(server.DefaultConfig(), 2, upstream, server.NewMetrics(tally.NoopScope), logger)
	go func() { _ = sidecarServer.Run(ctx, listener) }()

	view, _ := sidecar.NewView().ApplyAnnouncement(sidecar.Announcement{
		Incarnation: 2, Sequence: 1, Address: listener.Addr().String(), Service: "echo", Slots: 4,
	}, time.Now())
	w := entryState{session: s, view: view, catalogue: (&carobkeel.Catalogue{}).With(1, carobkeel.Entry{
		Name: "echo", Owner: "demo", Limits: carobkeel.Limits{Timeout: 20 * time.Second, BodyBytes: sessionBodyLimit},
	})}
	config := client.DefaultConfig()
	config.HeartbeatInterval, config.SilenceTimeout = time.Hour, 2*time.Hour
	config.Dial = s.dial
	sidecars := client.NewForwarder(ctx, 1, w, config, client.NewMetrics(tally.NoopScope))
	rows := memory.New()
	forwarder := claims.NewForwarder(claims.NewStore(claims.DirectWriter{Table: rows}, rows), sidecars, logger)
	handler := httpapi.New(1, w, forwarder, w, httpapi.NewMetrics(tally.NoopScope))
	entry := httptest.NewServer(handler.Wrap(http.NotFoundHandler()))
	t.Cleanup(entry.Close)
	s.entry = entry.Listener.Addr().String()
	return s
}

// tap copies all bytes that pass through a connection.
type tap struct {
	net.Conn
	session *session
}

func (s *session) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return &tap{Conn: conn, session: s}, err
}

func (c *tap) capture(direction int, data []byte) {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	c.session.captured[direction].Write(data)
}

func (c *tap) Write(data []byte) (int, error) {
	c.capture(0, data)
	return c.Conn.Write(data)
}

func (c *tap) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.capture(1, data[:n])
	return n, err
}

// exchange sends the bytes of one request on a new connection and returns the bytes
// of the answer.
func (s *session) exchange(request string) string {
	conn, err := net.Dial("tcp", s.entry)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		s.t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(answer)
}

func request(line, body string, header ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s HTTP/1.1\r\nHost: entry.example\r\nConnection: close\r\n", line)
	for _, field := range header {
		b.WriteString(field + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

var (
	datePattern    = regexp.MustCompile(`Date: [^\r\n]*`)
	dateJSON       = regexp.MustCompile(`"Date","Value":"[^"]*"`)
	timeoutPattern = regexp.MustCompile(`"TimeoutMicros":\d+`)
)

// normalize sorts the header lines, whose order varies, and masks the date.
func normalize(message string) string {
	head, body, _ := strings.Cut(message, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	slices.Sort(lines[1:])
	text := strings.Join(lines, "\n") + "\n\n" + shorten(body)
	return datePattern.ReplaceAllString(text, "Date: DATE")
}

func shorten(body string) string {
	const shown = 400
	if len(body) <= shown {
		return body
	}
	return fmt.Sprintf("%s... (%d bytes)", body[:16], len(body))
}

// frames returns the captured frames of one direction as text. Consecutive frames of
// a body are combined, because their boundaries vary.
func (s *session) frames(direction int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	reader := frame.NewReader(bufio.NewReader(bytes.NewReader(s.captured[direction].Bytes())))
	var out strings.Builder
	bodyBytes := 0 // bytes of the current body
	for {
		f, err := reader.Next()
		if err == nil && (f.Type == wire.TypeBody || f.Type == wire.TypeAnswerBody) {
			bodyBytes += len(f.Payload)
			continue
		}
		if bodyBytes > 0 {
			fmt.Fprintf(&out, "pieces of a body (%d bytes)\n", bodyBytes)
			bodyBytes = 0
		}
		if err != nil {
			return out.String()
		}
		fmt.Fprintf(&out, "%s stream=%d %s\n", wire.TypeName(f.Type), f.Stream, payloadText(s.t, f))
	}
}

func payloadText(t *testing.T, f frame.Frame) string {
	messages := map[frame.Type]msgp.Unmarshaler{
		wire.TypeHello: &wire.Hello{}, wire.TypeOpen: &wire.Open{}, wire.TypeAnswer: &wire.Answer{},
		wire.TypeAnswerEnd: &wire.AnswerEnd{}, wire.TypeRefused: &wire.Refused{},
		wire.TypeCredit: &wire.Credit{}, wire.TypeQuery: &wire.Query{},
	}
	message, ok := messages[f.Type]
	if !ok {
		return fmt.Sprintf("(%d bytes)", len(f.Payload))
	}
	if err := wire.Decode(f, message); err != nil {
		t.Fatal(err)
	}
	sortFields(message)
	text, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	line := timeoutPattern.ReplaceAllString(string(text), `"TimeoutMicros":TIMEOUT`)
	return dateJSON.ReplaceAllString(line, `"Date","Value":"DATE"`)
}

func sortFields(message any) {
	byName := func(a, b wire.Field) int { return strings.Compare(a.Name, b.Name) }
	switch m := message.(type) {
	case *wire.Open:
		slices.SortFunc(m.Header, byName)
	case *wire.Answer:
		slices.SortFunc(m.Header, byName)
	}
}

// assertGolden compares the answers to the requests and the frames with the golden file.
func (s *session) assertGolden(name string, requests ...string) {
	var out strings.Builder
	for _, r := range requests {
		fmt.Fprintf(&out, "--- caller\n%s\n--- answer\n%s\n", normalize(r), normalize(s.exchange(r)))
	}
	fmt.Fprintf(&out, "--- frames to the sidecar\n%s--- frames to the entry\n%s", s.frames(0), s.frames(1))
	goldie.New(s.t, goldie.WithFixtureDir("testdata")).Assert(s.t, name, []byte(out.String()))
}

func TestSessions(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 100<<10/16)
	for name, requests := range map[string][]string{
		"get":             {request("GET /services/echo/a%20path?x=1&y=2", "", "X-Caller: desk 4")},
		"post":            {request("POST /services/echo/book", "two pushers", "Content-Type: text/plain")},
		"head":            {request("HEAD /services/echo/?size=100", "")},
		"upstream-fails":  {request("GET /services/echo/?fail=503", "")},
		"unknown-service": {request("GET /services/none/", "")},
		"large-body":      {request("PUT /services/echo/large", large)},
		"large-answer":    {request("GET /services/echo/?size=70000", "")},
		"body-too-large":  {request("POST /services/echo/", strings.Repeat("x", sessionBodyLimit+1))},
		"wrong-timeout":   {request("GET /services/echo/", "", "Carobkeel-Timeout: soon")},
		"key": {
			request("POST /services/echo/book", "one", "Idempotency-Key: k1"),
			request("POST /services/echo/book", "other", "Idempotency-Key: k1"),
		},
	} {
		t.Run(name, func(t *testing.T) { newSession(t).assertGolden(name, requests...) })
	}
	t.Run("draining", func(t *testing.T) {
		s := newSession(t)
		s.admits = false
		s.assertGolden("draining", request("GET /services/echo/", ""))
	})
}
