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

// session is a whole session of a caller: the bytes of each request and answer,
// and the frames between the entry and the sidecar.
type session struct {
	t        *testing.T
	entry    string
	admits   bool
	mu       sync.Mutex
	captured [2]bytes.Buffer
}

// world is what the entry knows: one sidecar and one service.
type world struct {
	view      *sidecar.View
	catalogue *carobkeel.Catalogue
	session   *session
}

func (w world) View() *sidecar.View             { return w.view }
func (w world) Catalogue() *carobkeel.Catalogue { return w.catalogue }
func (w world) Admits() bool                    { return w.session.admits }

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
	beside := server.New(server.DefaultConfig(), 2, upstream, server.NewMetrics(tally.NoopScope), logger)
	go func() { _ = beside.Run(ctx, listener) }()

	view, _ := sidecar.NewView().ApplyAnnouncement(sidecar.Announcement{
		Incarnation: 2, Sequence: 1, Address: listener.Addr().String(), Service: "echo", Slots: 4,
	}, time.Now())
	w := world{session: s, view: view, catalogue: (&carobkeel.Catalogue{}).With(1, carobkeel.Entry{
		Name: "echo", Owner: "demo", Limits: carobkeel.Limits{Timeout: 20 * time.Second, BodyBytes: sessionBodyLimit},
	})}
	config := client.DefaultConfig()
	config.HeartbeatInterval, config.SilenceTimeout = time.Hour, 2*time.Hour
	config.Dial = s.dial
	sidecars := client.NewForwarder(ctx, 1, w, config, client.NewMetrics(tally.NoopScope))
	rows := memory.New()
	keyed := claims.NewForwarder(claims.NewStore(claims.Direct{Table: rows}, rows), sidecars, logger)
	handler := httpapi.New(1, w, keyed, w, httpapi.NewMetrics(tally.NoopScope))
	entry := httptest.NewServer(handler.Over(http.NotFoundHandler()))
	t.Cleanup(entry.Close)
	s.entry = entry.Listener.Addr().String()
	return s
}

// tap copies what passes a connection.
type tap struct {
	net.Conn
	session *session
}

func (s *session) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return &tap{Conn: conn, session: s}, err
}

func (c *tap) keep(direction int, data []byte) {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	c.session.captured[direction].Write(data)
}

func (c *tap) Write(data []byte) (int, error) {
	c.keep(0, data)
	return c.Conn.Write(data)
}

func (c *tap) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.keep(1, data[:n])
	return n, err
}

// exchange sends the bytes of one request on a connection of its own and returns
// the answer's.
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

// regular sorts header lines, whose order HTTP leaves open, and takes out times.
func regular(message string) string {
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

// frames returns the frames of one direction as text.
func (s *session) frames(direction int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	reader := frame.NewReader(bufio.NewReader(bytes.NewReader(s.captured[direction].Bytes())))
	var out strings.Builder
	pieces := 0 // bytes of a body whose pieces may be cut anywhere
	for {
		f, err := reader.Next()
		if err == nil && (f.Type == wire.TypeBody || f.Type == wire.TypeAnswerBody) {
			pieces += len(f.Payload)
			continue
		}
		if pieces > 0 {
			fmt.Fprintf(&out, "pieces of a body (%d bytes)\n", pieces)
			pieces = 0
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

// golden compares the session with its golden file.
func (s *session) golden(name string, requests ...string) {
	var out strings.Builder
	for _, r := range requests {
		fmt.Fprintf(&out, "--- caller\n%s\n--- answer\n%s\n", regular(r), regular(s.exchange(r)))
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
		t.Run(name, func(t *testing.T) { newSession(t).golden(name, requests...) })
	}
	t.Run("draining", func(t *testing.T) {
		s := newSession(t)
		s.admits = false
		s.golden("draining", request("GET /services/echo/", ""))
	})
}
