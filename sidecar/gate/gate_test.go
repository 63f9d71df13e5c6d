package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestAnOlderEpochExtendsNothing(t *testing.T) {
	g := NewWithT(t)
	h := gate.Holder{}.Confirm(termOf(3), time.Second)
	g.Expect(h.Confirm(termOf(2), 5*time.Second)).To(Equal(h))
	g.Expect(h.Confirm(termOf(3), 2*time.Second).Confirmed).To(Equal(2 * time.Second))
	g.Expect(h.Confirm(termOf(3), 500*time.Millisecond)).To(Equal(h), "a late answer to an earlier ping changes nothing")
}

// termOf returns the term of an epoch with the number of the first process.
func termOf(epoch carobkeel.Epoch) gate.Term { return gate.Term{Epoch: epoch, Process: 1} }

func TestAnEarlierNumberOfTheProcessExtendsNothing(t *testing.T) {
	g := NewWithT(t)
	h := gate.Holder{}.Confirm(gate.Term{Epoch: 3, Process: 2}, time.Second)
	g.Expect(h.Confirm(termOf(3), 5*time.Second)).To(Equal(h))
	g.Expect(h.Confirm(termOf(4), 2*time.Second).Term).To(Equal(termOf(4)), "each epoch has numbers of its own")
}

// Guards against a number that is used under another epoch than its holder's.
func TestNumberOfAProcessCountsUnderItsEpochOnly(t *testing.T) {
	g := NewWithT(t)
	h := gate.Holder{}.Observe(3)
	g.Expect(h.TermOf(3)).To(Equal(gate.Term{Epoch: 3}))
	h = h.Confirm(termOf(4), time.Second)
	g.Expect(h.TermOf(4)).To(Equal(termOf(4)))
	g.Expect(h.TermOf(5)).To(Equal(gate.Term{Epoch: 5}))
}

func TestNoLeaseWithoutAHolderOrAClock(t *testing.T) {
	g := NewWithT(t)
	clock := gate.Clock{Reading: time.Hour, Received: time.Second, Known: true}
	g.Expect(gate.LeaseDeadline(gate.Holder{}, clock, time.Second, 2*time.Second)).To(BeZero())
	g.Expect(gate.LeaseDeadline(gate.Holder{}.Confirm(termOf(1), time.Second), gate.Clock{}, time.Second, time.Second)).To(BeZero())
}

// Guards against TWICE: a lease that had run out was requested all the same, as late as the sidecar liked, and
// lengthened that of the worker's next incarnation, whose clock is far behind.
func TestNoLeaseIsRequestedThatHasRunOut(t *testing.T) {
	g := NewWithT(t)
	clock := gate.Clock{Reading: time.Hour, Received: time.Second, Known: true}
	holder := gate.Holder{}.Confirm(termOf(1), 2*time.Second)
	g.Expect(gate.LeaseDeadline(holder, clock, time.Second, 3*time.Second-1)).NotTo(BeZero())
	g.Expect(gate.LeaseDeadline(holder, clock, time.Second, 3*time.Second)).To(BeZero())
}

// A worker's clock runs at 98 to 100% of the true rate and is read at some time
// between request and answer. Whatever it shows, the worker's lease must have expired
// by the time at which the holder treats it as expired.
func TestLeaseExpiresBeforeHolderTreatsItAsExpired(t *testing.T) {
	const lease = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate := 1 - float64(rapid.IntRange(0, 200).Draw(t, "slow"))/10000
		millis := func(label string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * time.Millisecond
		}
		sent := time.Hour
		read := sent + millis("to the worker", 400)
		received := read + millis("back", 400)
		reading := time.Minute
		clock := gate.Clock{Reading: reading, Received: received, Known: true}
		pinged := received + millis("until the ping", 2000)
		holder := gate.Holder{}.Confirm(termOf(1), pinged)
		deadline := gate.LeaseDeadline(holder, clock, lease, pinged)
		expiresAt := read + time.Duration(float64(deadline-reading)/rate)
		slack := 150*time.Millisecond + time.Duration(float64(lease)*0.02)
		NewWithT(t).Expect(expiresAt).To(BeNumerically("<=", pinged+lease+slack))
		remaining := gate.LeaseRemaining(clock, deadline, pinged)
		NewWithT(t).Expect(pinged + remaining).To(BeNumerically(">=", expiresAt-time.Duration(float64(expiresAt-pinged)*0.021)))
	})
}

// An earlier process of the sidecar may have requested a lease.
func TestRemainingLeaseIsUnknownAfterSidecarRestart(t *testing.T) {
	clock := gate.Clock{Reading: time.Minute, Received: time.Hour, Known: true}
	NewWithT(t).Expect(gate.LeaseRemaining(clock, 0, time.Hour)).To(Equal(gate.UnknownRemaining))
}

func TestStartsAreAdmittedOnlyForTheRightWorker(t *testing.T) {
	incarnation := runs.Incarnation{ID: "w", StartedAtMs: 1}
	ready := gate.Worker{Description: &runs.Description{Incarnation: incarnation}}
	denied := gate.Worker{Description: ready.Description, Denied: true}
	draining := gate.Worker{Description: &runs.Description{Incarnation: incarnation, Draining: true}}
	holder := gate.Holder{}.Confirm(termOf(4), time.Second)
	for _, c := range []struct {
		name        string
		epoch       carobkeel.Epoch
		worker      gate.Worker
		incarnation runs.Incarnation
		want        runs.Result
	}{
		{"admitted", 4, ready, incarnation, runs.ResultOK},
		{"an older epoch", 3, ready, incarnation, runs.ResultStaleEpoch},
		{"another incarnation", 4, ready, runs.Incarnation{ID: "w", StartedAtMs: 2}, runs.ResultOtherIncarnation},
		{"no worker yet", 4, gate.Worker{}, incarnation, runs.ResultOtherIncarnation},
		{"the worker says that it is another one", 4, denied, incarnation, runs.ResultOtherIncarnation},
		{"the worker drains", 4, draining, incarnation, runs.ResultDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(gate.AdmitOrder(holder, c.epoch, c.worker, c.incarnation)).To(Equal(c.want))
		})
	}
}

func TestStartIsValidForOneLeaseFromThePingBeforeItsDecision(t *testing.T) {
	g := NewWithT(t)
	const pinged, lease = time.Hour, 3 * time.Second
	g.Expect(gate.StartExpired(pinged, 0, pinged+lease-1, lease)).To(BeFalse())
	g.Expect(gate.StartExpired(pinged, 0, pinged+lease, lease)).To(BeTrue())
	g.Expect(gate.StartExpired(pinged, pinged, pinged, lease)).To(BeFalse())
	g.Expect(gate.StartExpired(pinged, pinged+1, pinged+2, lease)).To(BeTrue(), "the worker was unresponsive since")
}
