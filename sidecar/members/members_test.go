package members_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/announcer"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/link/impair"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/members"
	"github.com/carobkeel/carobkeel/upstream"
)

var logger = logging.Discard().For("test")

func newDialer(n *impair.Network, from string, addresses []string, onConnect func()) *eventlink.Dialer {
	d := eventlink.NewDialer(addresses, link.EventConfig(), logger, onConnect)
	d.SetDialFunc(n.Dialer(from))
	return d
}

// startEntry runs the Members of an entry that dials its peers.
func startEntry(ctx context.Context, n *impair.Network, name string, peers []string, revision carobkeel.Revision, stops *atomic.Pointer[[]operator.Stop]) *members.Members {
	accepted := eventlink.NewListener(link.EventConfig(), logger)
	dialled := newDialer(n, name, peers, func() {})
	report := entry.Report{Incarnation: carobkeel.Incarnation(revision), DataCentre: carobkeel.DataCentre(name), Revision: revision}
	m := members.New(members.Config{
		Metrics: members.NewMetrics(tally.NoopScope), Log: logger,
		Accepted: accepted, Dialled: dialled, OnChange: func() {},
		Report: func() entry.Report { return report },
		Stops:  func() []operator.Stop { return *stops.Load() },
	})
	handle(ctx, accepted, members.AcceptedTopics, m)
	handle(ctx, dialled, members.DialledTopics, m)
	go func() { _ = accepted.Run(ctx, n.Listen(name)) }()
	go dialled.Run(ctx)
	go m.Run(ctx)
	return m
}

func handle(ctx context.Context, end message.Subscriber, topics string, m *members.Members) {
	messages, err := end.Subscribe(ctx, topics)
	if err != nil {
		panic(err)
	}
	go func() {
		for event := range messages {
			_ = m.Handle(event)
			event.Ack()
		}
	}()
}

type healthyUpstream struct{}

func (healthyUpstream) Probe(context.Context) upstream.ProbeResult { return upstream.ProbeOK }
func (healthyUpstream) Load() sidecar.Load                         { return sidecar.Load{Running: 1} }

func startSidecar(ctx context.Context, n *impair.Network, entries ...string) *announcer.Announcer {
	var a *announcer.Announcer
	dialled := newDialer(n, "sidecar", entries, func() { a.RequestAnnouncement() })
	a = announcer.New(sidecar.Announcement{
		Incarnation: 7, Started: time.Now(), Address: "10.0.0.1:1", Service: "desk",
		Location: carobkeel.Location{DataCentre: "near", Host: "host-1"},
	}, dialled, healthyUpstream{}, healthyUpstream{}, logger)
	go dialled.Run(ctx)
	go a.Run(ctx)
	return a
}

// fixture has an entry in each of two data centres. Only the near entry receives the
// sidecar's announcements directly and reads the planned stops.
type fixture struct {
	near, far *members.Members
	announcer *announcer.Announcer
	crash     func()
	stops     *atomic.Pointer[[]operator.Stop]
	// restartFar stops the far entry and starts a new one in its place.
	restartFar func() *members.Members
}

// run starts an entry in each of two data centres and a sidecar that announces itself
// to the near one, in virtual time.
func run(t *testing.T, test func(g Gomega, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := impair.NewNetwork(impair.Config{})
		var nearStops, farStops atomic.Pointer[[]operator.Stop]
		nearStops.Store(&[]operator.Stop{})
		farStops.Store(&[]operator.Stop{})
		near := startEntry(ctx, n, "near", []string{"far"}, 4, &nearStops)
		farCtx, crashFar := context.WithCancel(ctx)
		far := startEntry(farCtx, n, "far", []string{"near"}, 5, &farStops)
		restartFar := func() *members.Members {
			crashFar()
			<-time.After(time.Second)
			return startEntry(ctx, n, "far", []string{"near"}, 6, &farStops)
		}
		sidecarCtx, crash := context.WithCancel(ctx)
		a := startSidecar(sidecarCtx, n, "near")
		<-time.After(10 * time.Second)
		test(NewWithT(t), &fixture{near: near, far: far, announcer: a, crash: crash, stops: &nearStops, restartFar: restartFar})
		crash()
		cancel()
		<-time.After(time.Minute)
		synctest.Wait()
	})
}

func TestFarEntryReceivesSidecarAndNearEntry(t *testing.T) {
	run(t, func(g Gomega, f *fixture) {
		g.Expect(f.near.View().Serving("desk")).To(HaveLen(1))
		g.Expect(f.far.View().Serving("desk")).To(HaveLen(1))
		g.Expect(f.far.Entries()).To(HaveLen(1))
		g.Expect(f.far.Entries()[0].Report).To(Equal(entry.Report{Incarnation: 4, DataCentre: "near", Revision: 4}))
	})
}

func TestRestartedEntrySyncsImmediately(t *testing.T) {
	run(t, func(g Gomega, f *fixture) {
		far := f.restartFar()
		<-time.After(100 * time.Millisecond)
		g.Expect(far.View().Serving("desk")).To(HaveLen(1))
		g.Expect(far.Entries()).To(HaveLen(1))
	})
}

func TestShutdownReachesTheFarEntryWithinTwoSeconds(t *testing.T) {
	run(t, func(g Gomega, f *fixture) {
		f.announcer.AnnounceDraining()
		<-time.After(2 * time.Second)
		g.Expect(f.near.View().Serving("desk")).To(BeEmpty())
		g.Expect(f.far.View().Serving("desk")).To(BeEmpty())
		g.Expect(f.far.View().Members()).To(HaveLen(1), "it stays a member to finish its work")
	})
}

func TestCrashedSidecarExpiresAtBothEntries(t *testing.T) {
	run(t, func(g Gomega, f *fixture) {
		f.crash()
		<-time.After(sidecar.DirectExpiry + time.Second)
		g.Expect(f.near.View().Members()).To(BeEmpty())
		<-time.After(sidecar.RelayedExpiry)
		g.Expect(f.far.View().Members()).To(BeEmpty())
	})
}

func TestPlannedStopReachesAnEntryThatDoesNotReadIt(t *testing.T) {
	run(t, func(g Gomega, f *fixture) {
		stop := operator.Stop{
			ID: "s1", Target: operator.StopTarget{Host: "host-1"}, State: operator.StopDraining, ChangedAt: time.Now(),
		}
		f.stops.Store(&[]operator.Stop{stop})
		<-time.After(2 * time.Second)
		g.Expect(f.near.View().Serving("desk")).To(BeEmpty())
		g.Expect(f.far.View().Serving("desk")).To(BeEmpty())
		g.Expect(f.far.View().Members()).To(HaveLen(1), "it stays a member")
		stop.State = operator.StopCancelled
		f.stops.Store(&[]operator.Stop{stop})
		<-time.After(2 * time.Second)
		g.Expect(f.near.View().Serving("desk")).To(HaveLen(1))
		g.Expect(f.far.View().Serving("desk")).To(HaveLen(1))
	})
}
