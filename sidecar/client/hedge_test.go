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

// upstream answers with its name after a delay.
type upstream struct {
	name  string
	delay atomic.Int64
	fails atomic.Bool
	runs  atomic.Int64
	// ended counts the requests that were given up before their answer.
	ended atomic.Int64
}

func (u *upstream) Do(ctx context.Context, _ *caller.Request) (*caller.Answer, error) {
	u.runs.Add(1)
	select {
	case <-time.After(time.Duration(u.delay.Load())):
	case <-ctx.Done():
		u.ended.Add(1)
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamFailed, "given up")
	}
	if u.fails.Load() {
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamFailed, "broke off")
	}
	return &caller.Answer{Status: 200, BodyLength: int64(len(u.name)), Body: io.NopCloser(strings.NewReader(u.name))}, nil
}

// pipes is a listener that is handed the far ends of its connections.
type pipes struct{ conns chan net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	conn, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (p *pipes) Close() error   { close(p.conns); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// world is an entry with two sidecars.
type world struct {
	view      *sidecar.View
	admission *caller.Admission
	forwarder *client.Forwarder
	upstreams map[string]*upstream
	next      uint64
}

func (w *world) View() *sidecar.View { return w.view }

func newWorld(ctx context.Context) *world {
	w := &world{view: sidecar.NewView(), admission: caller.NewAdmission(), upstreams: make(map[string]*upstream)}
	listeners := make(map[string]*pipes)
	for i, name := range []string{"one", "two"} {
		self := carobkeel.Incarnation(100 + i)
		w.upstreams[name] = &upstream{name: name}
		listener := &pipes{conns: make(chan net.Conn)}
		listeners[name] = listener
		s := server.New(server.DefaultConfig(), self, w.upstreams[name], server.NewMetrics(tally.NoopScope), logging.Discard().For("test"))
		go func() { _ = s.Run(ctx, listener) }()
		w.view, _ = w.view.Announce(sidecar.Announcement{
			Incarnation: self, Sequence: 1, Address: name, Service: "echo", Slots: 8,
		}, time.Now().Add(-time.Hour))
	}
	config := client.DefaultConfig()
	config.Admission = w.admission
	config.Dial = func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		listeners[address].conns <- far
		return near, nil
	}
	w.forwarder = client.NewForwarder(ctx, 1, w, config, client.NewMetrics(tally.NoopScope))
	return w
}

func (w *world) request(idempotent bool) *caller.Request {
	w.next++
	return &caller.Request{
		ID: carobkeel.RequestID{Entry: 1, Sequence: w.next}, Service: "echo", Owner: "a",
		Method: "GET", Path: "/", Idempotent: idempotent, Deadline: time.Now().Add(5 * time.Second),
	}
}

// get sends a request and returns who answered and how long it took.
func (w *world) get(ctx context.Context, idempotent bool) (string, time.Duration, error) {
	r := w.request(idempotent)
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	answer, err := w.forwarder.Forward(ctx, r)
	if err != nil {
		return "", time.Since(started), err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), time.Since(started), err
}

// run runs a test with a world in virtual time.
func run(t *testing.T, test func(g *WithT, ctx context.Context, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		test(NewWithT(t), ctx, newWorld(ctx))
	})
}

const (
	usual = 10 * time.Millisecond
	slow  = time.Second
)

// learn lets the entry know the service's usual latency and gives it a budget.
func (w *world) learn(g *WithT, ctx context.Context) {
	w.setDelay(usual, usual)
	for range 200 {
		w.admission.Account(carobkeel.OwnerClass{Owner: "a"}).Earn()
		_, _, err := w.get(ctx, true)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

func (w *world) setDelay(one, two time.Duration) {
	w.upstreams["one"].delay.Store(int64(one))
	w.upstreams["two"].delay.Store(int64(two))
}

func TestSlowIdempotentRequestIsHedged(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, w *world) {
		w.learn(g, ctx)
		w.setDelay(slow, usual)
		for range 10 {
			who, took, err := w.get(ctx, true)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(who).To(Equal("two"))
			g.Expect(took).To(BeNumerically("<", slow))
		}
		synctest.Wait()
		first := w.upstreams["one"]
		g.Expect(first.ended.Load()).To(BeNumerically(">", 0), "the slow attempt is given up")
	})
}

func TestNonIdempotentRequestIsNeverHedged(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, w *world) {
		w.learn(g, ctx)
		w.setDelay(slow, slow)
		before := w.upstreams["one"].runs.Load() + w.upstreams["two"].runs.Load()
		_, took, err := w.get(ctx, false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(took).To(BeNumerically(">=", slow))
		g.Expect(w.upstreams["one"].runs.Load() + w.upstreams["two"].runs.Load()).To(Equal(before + 1))
	})
}

func TestFailureOfOneAttemptLeavesTheOther(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, w *world) {
		w.learn(g, ctx)
		w.setDelay(slow/2, slow)
		w.upstreams["one"].fails.Store(true)
		for range 8 {
			who, took, err := w.get(ctx, true)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(who).To(Equal("two"))
			g.Expect(took).To(BeNumerically("<", 3*slow/2))
		}
	})
}

func TestNothingIsHedgedToABusySidecar(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, w *world) {
		w.learn(g, ctx)
		w.setDelay(slow, slow)
		for _, member := range w.view.Members() {
			member.Live.Report(sidecar.Load{Running: 8, Limit: 8})
		}
		before := w.upstreams["one"].runs.Load() + w.upstreams["two"].runs.Load()
		_, _, err := w.get(ctx, true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.upstreams["one"].runs.Load() + w.upstreams["two"].runs.Load()).To(Equal(before + 1))
	})
}

func TestHedgeNeedsABudget(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, w *world) {
		w.learn(g, ctx)
		account := w.admission.Account(carobkeel.OwnerClass{Owner: "a"})
		for account.Spend() {
		}
		w.setDelay(slow, slow)
		before := w.upstreams["one"].runs.Load() + w.upstreams["two"].runs.Load()
		_, _, err := w.get(ctx, true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.upstreams["one"].runs.Load() + w.upstreams["two"].runs.Load()).To(Equal(before + 1))
	})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context, w *world) {
		for _, each := range w.upstreams {
			each.fails.Store(true)
		}
		account := w.admission.Account(carobkeel.OwnerClass{Owner: "a"})
		const requests = 300
		for range requests {
			account.Earn()
			_, _, err := w.get(ctx, true)
			g.Expect(err).To(HaveOccurred())
		}
		runs := w.upstreams["one"].runs.Load() + w.upstreams["two"].runs.Load()
		g.Expect(runs).To(BeNumerically(">", requests))
		g.Expect(float64(runs)).To(BeNumerically("<=", 1.1*requests))
	})
}
