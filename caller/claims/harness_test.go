package claims_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/caller/claims"
	"github.com/carobkeel/carobkeel/entry/server"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/client"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

const (
	service  = carobkeel.Service("booking")
	owner    = carobkeel.Owner("dispatch")
	workTime = 100 * time.Millisecond
)

// upstreamRecord is a stand-in for the upstreams. It records the number of runs of
// each request by the request's content.
type upstreamRecord struct {
	mu   sync.Mutex
	runs map[string]int
	// size is the length of the answers, which consist of the request's content,
	// repeated.
	size int
	// unknownLength makes answers declare no length.
	unknownLength bool
	// onStart and onFinish are called when a request starts and finishes.
	onStart, onFinish func()
}

func (u *upstreamRecord) count(content string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[content]
}

// Do implements server.Upstream. The run counts even if ctx ends before it finishes.
func (u *upstreamRecord) Do(ctx context.Context, r *caller.Request) (*caller.Answer, error) {
	content := r.Content
	if r.Body != nil {
		var err error
		if content, err = io.ReadAll(r.Body); err != nil {
			return nil, carobkeel.NewError(carobkeel.CodeUpstreamFailed, "%v", err)
		}
	}
	u.mu.Lock()
	u.runs[string(content)]++
	u.mu.Unlock()
	u.onStart()
	select {
	case <-time.After(workTime):
	case <-ctx.Done():
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamFailed, "%v", ctx.Err())
	}
	u.onFinish()
	length := int64(u.size)
	if u.unknownLength {
		length = -1
	}
	return &caller.Answer{Status: 200, BodyLength: length, Body: io.NopCloser(repeat(content, u.size))}, nil
}

// repeat returns a reader of size bytes, which consist of content, repeated.
func repeat(content []byte, size int) io.Reader {
	out := make([]byte, size)
	for i := range out {
		out[i] = content[i%len(content)]
	}
	return &sliceReader{rest: out}
}

type sliceReader struct{ rest []byte }

func (s *sliceReader) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// sidecarProcess is one incarnation of a sidecar at an address.
type sidecarProcess struct {
	incarnation carobkeel.Incarnation
	accept      *acceptor
	cancel      context.CancelFunc
}

// acceptor is a listener that gets its connections through a channel.
type acceptor struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (a *acceptor) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return c, nil
	case <-a.done:
		return nil, net.ErrClosed
	}
}

func (a *acceptor) Close() error   { a.once.Do(func() { close(a.done) }); return nil }
func (a *acceptor) Addr() net.Addr { return &net.TCPAddr{} }

// cluster holds the sidecars, their links to the entries, the upstreams' record and the
// table.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	record   *upstreamRecord
	table    *faultyTable
	mu       sync.Mutex
	view     *sidecar.View
	sidecars map[string]*sidecarProcess
	next     carobkeel.Incarnation
	relays   []*relay
	// fault is injected once, at the first match of its step.
	fault      *frameFault
	lastDialed string
}

func newCluster(t *testing.T, ctx context.Context, answerSize int) *cluster {
	w := &cluster{
		t: t, ctx: ctx, view: sidecar.NewView(), sidecars: map[string]*sidecarProcess{}, next: 100,
		table:  &faultyTable{Table: memory.New()},
		record: &upstreamRecord{runs: map[string]int{}, size: answerSize, onStart: func() {}, onFinish: func() {}},
	}
	w.startSidecar("s1")
	return w
}

// View implements client.Views.
func (w *cluster) View() *sidecar.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *cluster) startSidecar(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	ctx, cancel := context.WithCancel(w.ctx)
	p := &sidecarProcess{
		incarnation: w.next, cancel: cancel,
		accept: &acceptor{conns: make(chan net.Conn), done: make(chan struct{})},
	}
	s := server.New(server.DefaultConfig(), p.incarnation, w.record, server.NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	go func() { _ = s.Run(ctx, p.accept) }()
	w.sidecars[address] = p
	w.view, _ = w.view.ApplyAnnouncement(sidecar.Announcement{
		Incarnation: p.incarnation, Sequence: 1, Started: time.Now(), Address: address, Service: service, Slots: 4,
	}, time.Now())
}

// killSidecar ends the sidecar without draining and resets all links.
func (w *cluster) killSidecar(address string) {
	w.mu.Lock()
	p := w.sidecars[address]
	delete(w.sidecars, address)
	relays := w.relays
	w.mu.Unlock()
	for _, r := range relays {
		r.reset()
	}
	p.cancel()
	_ = p.accept.Close()
}

// replaceSidecar kills the sidecar and starts another at the same address after one
// second.
func (w *cluster) replaceSidecar(address string) {
	w.killSidecar(address)
	<-time.After(time.Second)
	w.startSidecar(address)
}

// dial connects an entry to a sidecar through a relay that applies faults.
func (w *cluster) dial(_ context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	p := w.sidecars[address]
	w.mu.Unlock()
	if p == nil {
		return nil, fmt.Errorf("connection refused by %s", address)
	}
	near, nearEnd := net.Pipe()
	farEnd, far := net.Pipe()
	r := &relay{cluster: w, near: nearEnd, far: farEnd}
	w.mu.Lock()
	w.relays = append(w.relays, r)
	w.lastDialed = address
	w.mu.Unlock()
	go r.copy(toSidecar, nearEnd, farEnd)
	go r.copy(toEntry, farEnd, nearEnd)
	select {
	case p.accept.conns <- far:
		return near, nil
	case <-p.accept.done:
		r.reset()
		return nil, net.ErrClosed
	}
}

// entryProcess is an entry with its own links to the sidecars.
type entryProcess struct {
	id        carobkeel.Incarnation
	sequence  uint64
	forwarder *claims.Forwarder
	cancel    context.CancelFunc
}

func (w *cluster) startEntry(id carobkeel.Incarnation) *entryProcess {
	ctx, cancel := context.WithCancel(w.ctx)
	config := client.DefaultConfig()
	config.Dial = w.dial
	sidecars := client.NewForwarder(ctx, id, w, config, client.NewMetrics(tally.NoopScope))
	store := claims.NewStore(claims.DirectWriter{Table: w.table}, w.table)
	return &entryProcess{
		id: id, cancel: cancel,
		forwarder: claims.NewForwarder(store, sidecars, logging.Discard().For("test")),
	}
}

// result is the result that a caller gets.
type result struct {
	err  *carobkeel.Error
	body string
}

func (o result) String() string {
	if o.err != nil {
		return fmt.Sprintf("code %d %s, ran %s", o.err.Code, o.err.Code, o.err.Ran)
	}
	return fmt.Sprintf("answer of %d bytes", len(o.body))
}

// forward sends one request through the entry and returns when its answer begins.
func (e *entryProcess) forward(ctx context.Context, idempotent bool, key, content string) (*caller.Answer, error) {
	e.sequence++
	return e.forwarder.Forward(ctx, &caller.Request{
		ID: carobkeel.RequestID{Entry: e.id, Sequence: e.sequence}, Service: service, Owner: owner,
		Method: "POST", Path: "/", Content: []byte(content), BodyLength: int64(len(content)),
		Key: key, Idempotent: idempotent, Deadline: time.Now().Add(callerTimeout),
	})
}

// send sends one request through the entry and reads its answer.
func (e *entryProcess) send(ctx context.Context, idempotent bool, key, content string) result {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	answer, err := e.forward(ctx, idempotent, key, content)
	if err != nil {
		return result{err: carobkeel.AsError(err)}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return result{err: carobkeel.NewError(carobkeel.CodeUpstreamFailed, "%v", err)}
	}
	return result{body: string(body)}
}

const callerTimeout = 8 * time.Second

type direction uint8

const (
	toSidecar direction = iota
	toEntry
)

// relay forwards frames between an entry and a sidecar and applies faults to them.
type relay struct {
	cluster   *cluster
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
	stalled   time.Time
}

func (r *relay) reset() {
	_ = r.near.Close()
	_ = r.far.Close()
}

func (r *relay) copy(d direction, from, to net.Conn) {
	defer r.reset()
	reader := bufio.NewReader(from)
	var held []byte
	for {
		data, kind, err := readRaw(reader)
		if err != nil {
			return
		}
		effect := r.cluster.effect(d, kind)
		r.apply(effect)
		switch effect {
		case effectReset:
			return
		case effectTruncate:
			_, _ = to.Write(data[:len(data)/2])
			return
		case effectCorrupt:
			data[len(data)-1] ^= 1
		case effectDuplicate:
			data = append(data, data...)
		case effectReorder:
			held = data
			continue
		case effectDelay:
			<-time.After(time.Second)
		}
		if r.dropped() {
			continue
		}
		if _, err := to.Write(append(data, held...)); err != nil {
			return
		}
		held = nil
	}
}

// readRaw reads one frame undecoded and returns its bytes and its type.
func readRaw(reader io.Reader) ([]byte, frame.Type, error) {
	const lengthBytes, checksumBytes, typeAt = 4, 4, 12
	data := make([]byte, lengthBytes+checksumBytes)
	if _, err := io.ReadFull(reader, data); err != nil {
		return nil, 0, err
	}
	body := make([]byte, binary.BigEndian.Uint32(data))
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, 0, err
	}
	data = append(data, body...)
	return data, frame.Type(data[typeAt]), nil
}

// apply applies the effects that concern the complete link.
func (r *relay) apply(e effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e {
	case effectSilent:
		r.silent = true
	case effectStall:
		r.stalled = time.Now().Add(20 * time.Second)
	}
}

// dropped waits while the link is stalled and reports whether it is silent.
func (r *relay) dropped() bool {
	r.mu.Lock()
	wait, silent := time.Until(r.stalled), r.silent
	r.mu.Unlock()
	if wait > 0 {
		<-time.After(wait)
	}
	return silent
}

// faultyTable is a table that can be unavailable and can lose the answer to one
// commit.
type faultyTable struct {
	table.Table
	mu   sync.Mutex
	down bool
	// loseAnswer is the number of commits up to and including the one whose
	// answer is lost.
	loseAnswer int
}

func (f *faultyTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *faultyTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	f.mu.Lock()
	down := f.down
	f.loseAnswer--
	lose := f.loseAnswer == 0
	f.mu.Unlock()
	if down {
		return table.Outcome{}, table.ErrUnavailable
	}
	outcome, err := f.Table.Commit(ctx, txn)
	if lose {
		return table.Outcome{}, table.ErrUnsettled
	}
	return outcome, err
}

func inSynctest(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run(t, ctx)
		cancel()
		<-time.After(time.Minute) // in synctest time: lets every goroutine end
	})
}
