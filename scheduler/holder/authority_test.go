package holder

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

const authorityTestLease = 3500 * time.Millisecond

func TestPromiseOfTheLastHolderShortensTheWaitForLeases(t *testing.T) {
	const now = time.Hour
	last, earlier := wire.HolderRow{Epoch: 5, Host: "a"}, wire.HolderRow{Epoch: 4, Host: "b"}
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	full := leaseAuthority + leaseAuthoritySlack + authorityTestLease
	for _, c := range []struct {
		name     string
		promised wire.AuthorityRow
		storeNow time.Duration
		want     time.Duration
	}{
		{"over for long", wire.AuthorityRow{Epoch: 5, Since: 1000, Until: ms(20 * time.Second)}, time.Minute, 0},
		{"over for 2 s", wire.AuthorityRow{Epoch: 5, Since: 1000, Until: ms(58 * time.Second)}, time.Minute, authorityTestLease - 1960*time.Millisecond},
		{"over in 1 s", wire.AuthorityRow{Epoch: 5, Since: 1000, Until: ms(61 * time.Second)}, time.Minute, authorityTestLease + 1020*time.Millisecond},
		{"far ahead", wire.AuthorityRow{Epoch: 5, Since: 1000, Until: ms(68 * time.Second)}, time.Minute, full},
		{"the one before was replaced a moment ago", wire.AuthorityRow{Epoch: 5, Since: ms(time.Minute), Until: ms(time.Minute)}, time.Minute, full},
		{"by another clock", wire.AuthorityRow{Epoch: 5, Since: ms(time.Hour), Until: ms(time.Hour)}, time.Minute, full},
		{"nothing is promised", wire.AuthorityRow{Epoch: 5}, time.Minute, full},
		{"a service without a clock", wire.AuthorityRow{Epoch: 5, Since: 1000, Until: 2000}, 0, full},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p predecessors
			p.add(wire.HolderRow{}, now)
			p.add(earlier, now)
			p.add(last, now)
			p.shorten(c.promised, storeInstant{at: c.storeNow, requested: now, received: now})
			NewWithT(t).Expect(p.remainingLease(now, authorityTestLease)).To(BeNumerically("~", c.want, 70*time.Millisecond))
		})
	}
}

// Guards against LOST: after two young holders in succession were replaced for their silence, the loss of the third was
// seen late, and a lease of it was counted from then on. Tasks that last may be without a run for 9 s.
func TestLossOfAThirdHolderInSuccessionIsWaitedForInTime(t *testing.T) {
	const (
		lost = time.Hour
		// lastingGap is how long a task that lasts may have no run, and startTime what remains of it for
		// the takeover and the start.
		lastingGap, startTime = 9 * time.Second, 500 * time.Millisecond
		workerLease           = 3 * time.Second
	)
	g := NewWithT(t)
	third := HolderState{Row: wire.HolderRow{Epoch: 5, Host: "c", Successions: 2}, Since: lost - 4*time.Second}
	taken := lost + third.silenceTimeout(lost)
	var p predecessors
	p.add(third.Row, taken)
	atLoss := storeInstant{at: time.Minute, requested: lost, received: lost}
	promised := atLoss.promise(third.Row.Epoch, time.Second)
	p.shorten(promised.row, storeInstant{at: atLoss.at + taken - lost, requested: taken, received: taken})
	g.Expect(taken + p.remainingLease(taken, workerLease)).To(BeNumerically("<", lost+lastingGap-startTime))
	g.Expect(promised.until).To(BeNumerically(">=", lost+leaseAuthority), "its own promise does not bind a holder that reads its row")
}

func TestPromiseSaysNothingOfAHolderWhoseRowCannotBeRead(t *testing.T) {
	g := NewWithT(t)
	var p predecessors
	p.addUnknown(wire.HolderRow{Epoch: 5}, time.Hour)
	p.shorten(wire.AuthorityRow{Epoch: 5, Since: 1, Until: 2}, storeInstant{at: time.Minute, received: time.Hour})
	g.Expect(p.remainingLease(time.Hour, authorityTestLease)).To(BeNumerically(">", leaseAuthority+authorityTestLease))
}

// clockedRows are rows of a service with a steady clock, whose transactions may be lost.
type clockedRows struct {
	*memory.Rows
	start time.Duration
	fate  string
	late  []table.RowTransaction
}

func newClockedRows() *clockedRows {
	return &clockedRows{Rows: memory.NewRows(), start: clock.Boottime() - time.Minute}
}

func (r *clockedRows) now() time.Duration { return clock.Boottime() - r.start }

func (r *clockedRows) Scan(ctx context.Context, tableName, part, from string) (table.RowScan, error) {
	scan, err := r.Rows.Scan(ctx, tableName, part, from)
	scan.Transfer.ServiceTime = r.now()
	return scan, err
}

func (r *clockedRows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	switch r.fate {
	case "late":
		r.late = append(r.late, txn)
		return table.RowOutcome{}, table.ErrUnsettled
	case "answer lost":
		_, _ = r.Rows.Transact(ctx, txn)
		return table.RowOutcome{}, table.ErrUnsettled
	case "rejected":
		return table.RowOutcome{}, table.ErrInvalid
	}
	return r.Rows.Transact(ctx, txn)
}

// promisingLoop returns the loop of a node that has taken the shard over.
func promisingLoop(g Gomega, rows *clockedRows) *loop {
	n := New(Config{Shard: "shard", WorkerLease: authorityTestLease}, rows, NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	l := newLoop(n)
	l.ctx = context.Background()
	holder, err := n.takeOver(context.Background(), HolderState{}, "test")
	g.Expect(err).NotTo(HaveOccurred())
	l.finishTakeover(holder, nil)
	g.Expect(l.core).NotTo(BeNil())
	return l
}

// tryPromise makes the next promise, and handles its outcome.
func tryPromise(g Gomega, l *loop) {
	now := clock.Boottime()
	scan, err := l.node.rows.Scan(context.Background(), TableHolders, "shard", holderKey)
	g.Expect(err).NotTo(HaveOccurred())
	l.storeClock = storeInstant{at: scan.Transfer.ServiceTime, requested: now, received: clock.Boottime()}
	l.authority.nextAt = 0
	l.renewAuthority()
	g.Eventually(func() bool {
		for _, handle := range l.node.events.TryTake(nil) {
			handle(l)
		}
		return l.authority.inFlight
	}, time.Second, time.Millisecond).Should(BeFalse())
}

func (l *loop) promised() time.Duration { return time.Duration(l.node.promisedUntil.Load()) }

func TestHolderIsBoundByTheFirstPromiseThatMayBeStored(t *testing.T) {
	g := NewWithT(t)
	rows := newClockedRows()
	l := promisingLoop(g, rows)
	g.Expect(l.promised()).To(BeZero())
	rows.fate = "late"
	tryPromise(g, l)
	first := l.promised()
	g.Expect(first).To(BeNumerically("~", clock.Boottime()+authorityTerm, time.Second))
	time.Sleep(10 * time.Millisecond)
	tryPromise(g, l)
	g.Expect(l.promised()).To(Equal(first), "the second one has no answer either")
	rows.fate = ""
	tryPromise(g, l)
	g.Expect(l.promised()).To(BeNumerically(">", first))
	for _, late := range rows.late {
		outcome, err := rows.Rows.Transact(context.Background(), late)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(outcome.Applied).To(BeFalse(), "a later promise is stored")
	}
}

func TestPromiseWhoseAnswerWasLostIsFound(t *testing.T) {
	g := NewWithT(t)
	rows := newClockedRows()
	l := promisingLoop(g, rows)
	tryPromise(g, l)
	first := l.promised()
	rows.fate = "answer lost"
	time.Sleep(10 * time.Millisecond)
	tryPromise(g, l)
	g.Expect(l.promised()).To(Equal(first))
	rows.fate = ""
	tryPromise(g, l)
	g.Expect(l.promised()).To(BeNumerically(">", first))
	tryPromise(g, l)
	g.Expect(l.authority.tried).To(BeEmpty())
}

func TestHolderWhosePromisesAreRejectedIsNotBound(t *testing.T) {
	g := NewWithT(t)
	rows := newClockedRows()
	l := promisingLoop(g, rows)
	rows.fate = "rejected"
	tryPromise(g, l)
	g.Expect(l.promised()).To(BeZero())
	l.node.recordHoldRead(clock.Boottime())
	g.Expect(l.node.mayExtendLeases(clock.Boottime())).To(BeTrue())
}

func TestHolderIsNotBoundOnceTheClockOfTheServiceHasChanged(t *testing.T) {
	g := NewWithT(t)
	rows := newClockedRows()
	l := promisingLoop(g, rows)
	tryPromise(g, l)
	g.Expect(l.promised()).NotTo(BeZero())
	rows.start = clock.Boottime()
	tryPromise(g, l)
	g.Expect(l.promised()).To(BeZero())
	next := promisingAfter(g, l, rows)
	g.Expect(next.predecessors.remainingLease(clock.Boottime(), authorityTestLease)).To(BeNumerically(">", leaseAuthority+authorityTestLease-time.Second))
}

// promisingAfter lets another node take over after a loop's.
func promisingAfter(g Gomega, l *loop, rows *clockedRows) *loop {
	n := New(Config{Shard: "shard", WorkerLease: authorityTestLease, Host: "next", Incarnation: 9}, rows, NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	next := newLoop(n)
	next.ctx = context.Background()
	old := *l.node.holderState.Load()
	old.Leading = false
	n.holderState.Store(&old)
	t, err := n.takeOver(context.Background(), old, "test")
	g.Expect(err).NotTo(HaveOccurred())
	next.finishTakeover(t, nil)
	return next
}

// Guards against LOST: all entries were away for longer than any lease, and the next holder waited
// for the leases of the earlier one all the same.
func TestHolderAfterALongAbsenceOfAllEntriesWaitsForNoLease(t *testing.T) {
	g := NewWithT(t)
	rows := newClockedRows()
	l := promisingLoop(g, rows)
	tryPromise(g, l)
	rows.start -= authorityTerm + authorityTestLease + time.Second // that time passes
	next := promisingAfter(g, l, rows)
	g.Expect(next.predecessors.remainingLease(clock.Boottime(), authorityTestLease)).To(BeZero())
}

func TestPausedHolderKeepsItsPromise(t *testing.T) {
	g := NewWithT(t)
	l := promisingLoop(g, newClockedRows())
	tryPromise(g, l)
	l.node.recordHoldRead(l.promised())
	g.Expect(l.node.mayExtendLeases(l.promised() - 1)).To(BeTrue())
	g.Expect(l.node.mayExtendLeases(l.promised())).To(BeFalse())
}

// driftingClock is a clock that runs at a rate, in thousandths.
type driftingClock struct {
	rate   int
	offset time.Duration
}

func (c driftingClock) at(elapsed time.Duration) time.Duration {
	return c.offset + elapsed*time.Duration(c.rate)/1000
}

// elapsedAt returns how much true time has passed when the clock shows a time.
func (c driftingClock) elapsedAt(shown time.Duration) time.Duration {
	return (shown - c.offset) * 1000 / time.Duration(c.rate)
}

// Guards against TWICE: whatever is lost, the next holder waits for the last lease that the one before
// let be extended, by clocks that drift.
func TestNoLeaseIsExtendedAfterWhatTheNextHolderReckons(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := func(label string) int { return rapid.IntRange(991, 1009).Draw(rt, label) }
		service := driftingClock{rate: rate("service"), offset: time.Hour}
		first := driftingClock{rate: rate("first"), offset: 2 * time.Hour}
		second := driftingClock{rate: rate("second"), offset: 3 * time.Hour}
		since := service.at(0)
		var stored wire.AuthorityRow
		bound, isStored := time.Duration(0), false
		now := time.Duration(0)
		for range rapid.IntRange(1, 8).Draw(rt, "promises") {
			now += time.Duration(rapid.IntRange(1, 4000).Draw(rt, "pause")) * time.Millisecond
			travel := time.Duration(rapid.IntRange(0, 300).Draw(rt, "travel")) * time.Millisecond
			read := storeInstant{at: service.at(now + travel/2), requested: first.at(now), received: first.at(now + travel)}
			tried := read.promise(7, since)
			if bound == 0 {
				bound = tried.until
			}
			switch rapid.IntRange(0, 2).Draw(rt, "outcome") {
			case 0:
				stored, bound, isStored = tried.row, tried.until, true
			case 1: // its answer is lost
				stored, isStored = tried.row, true
			}
		}
		if !isStored {
			return
		}
		lastExtension := first.elapsedAt(bound) // when the first holder lets a lease be extended last
		takeover := now + time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "absence"))*time.Millisecond
		read := storeInstant{at: service.at(takeover), requested: second.at(takeover), received: second.at(takeover + 5*time.Millisecond)}
		end := read.localAfter(time.Duration(stored.Until) * time.Millisecond)
		if reckoned := second.at(lastExtension); reckoned > end+time.Millisecond {
			rt.Fatalf("a lease is extended at %v, and the next holder reckons with %v", reckoned, end)
		}
	})
}

// Guards against an odd row of another writer that ends the holder or shortens a wait.
func TestOddPromiseOfAnEarlierHolderIsLeftOut(t *testing.T) {
	for _, value := range [][]byte{nil, {0xc1}, {0x81, 0xa1, 'u', 0xc0}, mustEncode(&wire.AuthorityRow{Epoch: 1, Since: -5, Until: -4})} {
		g := NewWithT(t)
		rows := newClockedRows()
		l := promisingLoop(g, rows)
		_, err := rows.Rows.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{{RowID: l.node.authorityRow(), Value: value}}})
		g.Expect(err).NotTo(HaveOccurred())
		next := promisingAfter(g, l, rows)
		g.Expect(next.predecessors.remainingLease(clock.Boottime(), authorityTestLease)).To(BeNumerically(">", leaseAuthority+authorityTestLease-time.Second))
		tryPromise(g, next)
		g.Expect(next.authority.stored).To(BeTrue())
	}
}
