package client_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/entry/server"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/client"
)

// upstream is a stand-in that answers with its name after a delay.
type upstream struct {
	name  string
	delay atomic.Int64
	fails atomic.Bool
	runs  atomic.Int64
	// cancelled counts the requests that were cancelled before their answer.
	cancelled atomic.Int64
}

func (u *upstream) Do(ctx context.Context, _ *caller.Request) (*caller.Answer, error) {
	u.runs.Add(1)
	select {
	case <-time.After(time.Duration(u.delay.Load())):
	case <-ctx.Done():
		u.cancelled.Add(1)
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamFailed, "cancelled by the caller")
	}
	if u.fails.Load() {
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamFailed, "upstream broke the connection")
	}
	return &caller.Answer{Status: 200, BodyLength: int64(len(u.name)), Body: io.NopCloser(strings.NewReader(u.name))}, nil
}

// pipeListener is a listener that accepts the connections sent on conns.
type pipeListener struct{ conns chan net.Conn }

func (p *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (p *pipeListener) Close() error   { close(p.conns); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testFleet is an entry's forwarder with two sidecars.
type testFleet struct {
	view      *sidecar.View
	admission *caller.Admission
	forwarder *client.Forwarder
	upstreams map[string]*upstream
	next      uint64
}

func (f *testFleet) View() *sidecar.View { return f.view }

func newTestFleet(ctx context.Context) *testFleet {
	f := &testFleet{view: sidecar.NewView(), admission: caller.NewAdmission(), upstreams: make(map[string]*upstream)}
	listeners := make(map[string]*pipeListener)
	for i, name := range []string{"one", "two"} {
		self := carobkeel.Incarnation(100 + i)
		f.upstreams[name] = &upstream{name: name}
		listener := &pipeListener{conns: make(chan net.Conn)}
		listeners[name] = listener
		s := server.New(server.DefaultConfig(), self, f.upstreams[name], server.NewMetrics(tally.NoopScope), logging.Discard().For("test"))
		go func() { _ = s.Run(ctx, listener) }()
		f.view, _ = f.view.ApplyAnnouncement(sidecar.Announcement{
			Incarnation: self, Sequence: 1, Address: name, Service: "echo", Slots: 8,
		}, time.Now().Add(-time.Hour))
	}
	config := client.DefaultConfig()
	config.Admission = f.admission
	config.Dial = func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		listeners[address].conns <- far
		return near, nil
	}
	f.forwarder = client.NewForwarder(ctx, 1, f, config, client.NewMetrics(tally.NoopScope))
	return f
}

func (f *testFleet) request(idempotent bool) *caller.Request {
	f.next++
	return &caller.Request{
		ID: carobkeel.RequestID{Entry: 1, Sequence: f.next}, Service: "echo", Owner: "a",
		Method: "GET", Path: "/", Idempotent: idempotent, Deadline: time.Now().Add(5 * time.Second),
	}
}

// get sends a request and returns the name of the upstream that answered and the
// elapsed time.
func (f *testFleet) get(ctx context.Context, idempotent bool) (string, time.Duration, error) {
	r := f.request(idempotent)
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	answer, err := f.forwarder.Forward(ctx, r)
	if err != nil {
		return "", time.Since(started), err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), time.Since(started), err
}

// run runs a test with a testFleet in virtual time.
func run(t *testing.T, test func(g *WithT, ctx context.Context, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		test(NewWithT(t), ctx, newTestFleet(ctx))
	})
}

const (
	usualDelay = 10 * time.Millisecond
	slowDelay  = time.Second
)

// warmUp sends requests so that the entry has a latency distribution of the service and
// a hedging budget.
func (f *testFleet) warmUp(g *WithT, ctx context.Context) {
	f.setDelay(usualDelay, usualDelay)
	for range 200 {
		f.admission.Account(carobkeel.OwnerClass{Owner: "a"}).Deposit()
		_, _, err := f.get(ctx, true)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

func (f *testFleet) setDelay(one, two time.Duration) {
	f.upstreams["one"].delay.Store(int64(one))
	f.upstreams["two"].delay.Store(int64(two))
}

func TestSlowIdempotentRequestIsHedged(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, f *testFleet) {
		f.warmUp(g, ctx)
		f.setDelay(slowDelay, usualDelay)
		for range 10 {
			name, elapsed, err := f.get(ctx, true)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(name).To(Equal("two"))
			g.Expect(elapsed).To(BeNumerically("<", slowDelay))
		}
		synctest.Wait()
		first := f.upstreams["one"]
		g.Expect(first.cancelled.Load()).To(BeNumerically(">", 0), "the slow attempt is cancelled")
	})
}

func TestNonIdempotentRequestIsNeverHedged(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, f *testFleet) {
		f.warmUp(g, ctx)
		f.setDelay(slowDelay, slowDelay)
		before := f.upstreams["one"].runs.Load() + f.upstreams["two"].runs.Load()
		_, elapsed, err := f.get(ctx, false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(elapsed).To(BeNumerically(">=", slowDelay))
		g.Expect(f.upstreams["one"].runs.Load() + f.upstreams["two"].runs.Load()).To(Equal(before + 1))
	})
}

func TestFailureOfOneAttemptLeavesTheOther(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, f *testFleet) {
		f.warmUp(g, ctx)
		f.setDelay(slowDelay/2, slowDelay)
		f.upstreams["one"].fails.Store(true)
		for range 8 {
			name, elapsed, err := f.get(ctx, true)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(name).To(Equal("two"))
			g.Expect(elapsed).To(BeNumerically("<", 3*slowDelay/2))
		}
	})
}

func TestNothingIsHedgedToABusySidecar(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, f *testFleet) {
		f.warmUp(g, ctx)
		f.setDelay(slowDelay, slowDelay)
		for _, member := range f.view.Members() {
			member.Stats.RecordLoad(sidecar.Load{Running: 8, Limit: 8})
		}
		before := f.upstreams["one"].runs.Load() + f.upstreams["two"].runs.Load()
		_, _, err := f.get(ctx, true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.upstreams["one"].runs.Load() + f.upstreams["two"].runs.Load()).To(Equal(before + 1))
	})
}

func TestHedgeNeedsABudget(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, f *testFleet) {
		f.warmUp(g, ctx)
		account := f.admission.Account(carobkeel.OwnerClass{Owner: "a"})
		for account.Withdraw() {
		}
		f.setDelay(slowDelay, slowDelay)
		before := f.upstreams["one"].runs.Load() + f.upstreams["two"].runs.Load()
		_, _, err := f.get(ctx, true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.upstreams["one"].runs.Load() + f.upstreams["two"].runs.Load()).To(Equal(before + 1))
	})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, f *testFleet) {
		for _, each := range f.upstreams {
			each.fails.Store(true)
		}
		account := f.admission.Account(carobkeel.OwnerClass{Owner: "a"})
		const requests = 300
		for range requests {
			account.Deposit()
			_, _, err := f.get(ctx, true)
			g.Expect(err).To(HaveOccurred())
		}
		runs := f.upstreams["one"].runs.Load() + f.upstreams["two"].runs.Load()
		g.Expect(runs).To(BeNumerically(">", requests))
		g.Expect(float64(runs)).To(BeNumerically("<=", 1.1*requests))
	})
}
