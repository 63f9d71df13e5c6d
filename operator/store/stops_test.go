package store_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// fixedFleet returns the same fleet snapshot to every process of a test.
type fixedFleet struct{ fleet operator.Fleet }

func (f *fixedFleet) Fleet(context.Context) (operator.Fleet, error) { return f.fleet, nil }

// dispatchOn returns a fleet with an instance of the service dispatch on each
// host.
func dispatchOn(hosts ...string) operator.Fleet {
	f := operator.Fleet{Since: start.Add(-time.Hour), At: start}
	for _, host := range hosts {
		at := carobkeel.Location{DataCentre: "dar-1", Host: host}
		f.Hosts = append(f.Hosts, at)
		f.Instances = append(f.Instances, operator.Instance{Service: "dispatch", Location: at, Serving: true, InFlight: 1})
	}
	return f
}

func newStops(t table.Table, fleet *fixedFleet, now func() time.Time) *store.Stops {
	return store.NewStops(store.StopsConfig{Table: t, Fleet: fleet, Wait: noWait, Now: now})
}

func stopOf(id operator.StopID, host string) operator.StopRequest {
	return operator.StopRequest{ID: id, By: "test", Target: operator.StopTarget{DataCentre: "dar-1", Host: host}}
}

func TestAnyProcessAdvancesAStop(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	rows, fleet := memory.New(), &fixedFleet{fleet: dispatchOn("a", "b")}
	now := start
	advanceClock := func(d time.Duration) { now, fleet.fleet.At = now.Add(d), now.Add(d) }
	// Each step is taken by a new process, which keeps no state from the step
	// before.
	process := func() *store.Stops { return newStops(rows, fleet, func() time.Time { return now }) }
	state := func() operator.StopState {
		stops, err := process().Advance(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stops).To(HaveLen(1))
		return stops[0].State
	}
	request := stopOf("s1", "a")
	request.Start = start.Add(time.Second)
	planned, err := process().Plan(ctx, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(process().Plan(ctx, request)).To(Equal(planned))
	g.Expect(state()).To(Equal(operator.StopPlanned))
	advanceClock(time.Second)
	g.Expect(state()).To(Equal(operator.StopDraining))
	advanceClock(operator.StopIdleTime)
	g.Expect(state()).To(Equal(operator.StopDraining))
	// A process that is cut off from the host sees no work on it. The SeenAt
	// that a connected process wrote keeps the stop draining.
	connected := fleet.fleet
	fleet.fleet = dispatchOn("b")
	advanceClock(operator.StopIdleTime - time.Second)
	g.Expect(state()).To(Equal(operator.StopDraining))
	fleet.fleet = connected
	advanceClock(0)
	fleet.fleet.Instances[0].Serving, fleet.fleet.Instances[0].InFlight = false, 0
	advanceClock(time.Second)
	g.Expect(state()).To(Equal(operator.StopDrained))
	advanceClock(operator.StopHostAbsenceTime)
	g.Expect(state()).To(Equal(operator.StopDrained))
	fleet.fleet = dispatchOn("b")
	advanceClock(operator.StopHostAbsenceTime)
	g.Expect(state()).To(Equal(operator.StopDone))
	_, err = process().Cancel(ctx, "s1", "test")
	g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeStopFinished))
	now = now.Add(store.StopRetention + time.Second)
	_, err = process().Advance(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(process().List(ctx)).To(BeEmpty())
}

func TestConcurrentlyPlannedStopsKeepAnInstanceServing(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	rows, fleet := memory.New(), &fixedFleet{fleet: dispatchOn("a", "b")}
	clock := func() time.Time { return start }
	second := newStops(rows, fleet, clock)
	// The second operator's stop is planned after the first one's read and
	// before its write.
	between := &hookedTable{Table: rows, before: func() {
		_, err := second.Plan(ctx, stopOf("s2", "b"))
		g.Expect(err).NotTo(HaveOccurred())
	}}
	_, err := newStops(between, fleet, clock).Plan(ctx, stopOf("s1", "a"))
	g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeStopRefused))
	g.Expect(second.List(ctx)).To(HaveLen(1))
	g.Expect(second.Cancel(ctx, "s2", "test")).To(HaveField("State", operator.StopCancelled))
	_, err = newStops(rows, fleet, clock).Plan(ctx, stopOf("s1", "a"))
	g.Expect(err).NotTo(HaveOccurred())
}

// hookedTable is a table that calls a function once, before the first commit.
type hookedTable struct {
	table.Table
	before func()
}

func (i *hookedTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if before := i.before; before != nil {
		i.before = nil
		before()
	}
	return i.Table.Commit(ctx, txn)
}

func TestStopResultsAreCorrectWhenAnswersAreLost(t *testing.T) {
	four := func(s step) []step { return []step{s, s, s, s} }
	for name, c := range map[string]struct {
		steps []step
		code  carobkeel.Code
	}{
		"after effect":        {[]step{lostAfterEffect}, carobkeel.CodeOK},
		"all after effect":    {four(lostAfterEffect), carobkeel.CodeOK},
		"all before effect":   {four(lostBeforeEffect), carobkeel.CodeEditUnsettled},
		"never sent":          {[]step{notSent}, carobkeel.CodeStoreUnavailable},
		"once before, repeat": {[]step{lostBeforeEffect}, carobkeel.CodeOK},
	} {
		t.Run(name, func(t *testing.T) {
			g, ctx := NewWithT(t), context.Background()
			fleet := &fixedFleet{fleet: dispatchOn("a", "b")}
			faulty := &scriptedTable{Table: memory.New(), steps: c.steps}
			stops := newStops(faulty, fleet, func() time.Time { return start })
			_, err := stops.Plan(ctx, stopOf("s1", "a"))
			g.Expect(carobkeel.CodeOf(err)).To(Equal(c.code), "%v", err)
			_, err = stops.Plan(ctx, stopOf("s1", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(stops.List(ctx)).To(HaveLen(1))

			faulty.steps = c.steps
			_, err = stops.Cancel(ctx, "s1", "test")
			g.Expect(carobkeel.CodeOf(err)).To(Equal(c.code), "%v", err)
			g.Expect(stops.Cancel(ctx, "s1", "test")).To(HaveField("State", operator.StopCancelled))
		})
	}
}
