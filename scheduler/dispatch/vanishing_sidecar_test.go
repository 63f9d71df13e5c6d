package dispatch_test

import (
	"errors"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	vanishingPing = 300 * time.Millisecond
	vanishingList = 150 * time.Millisecond
	// firstHeartbeatDelay is the time between the beginning of a worker and its first heartbeat.
	firstHeartbeatDelay = 200 * time.Millisecond
	vanishingAttempts   = 4
	// linkSilence is how long the holder hears nothing before it takes a link as lost.
	linkSilence = 900 * time.Millisecond
)

// vanishingLink is the link of a process of the sidecar to a holder.
type vanishingLink struct {
	id     dispatch.LinkID
	epoch  carobkeel.Epoch
	number runs.ProcessNumber
	pings  []time.Duration
	// listed is the incarnation whose listing the holder has received last.
	listed runs.Incarnation
}

func (l *vanishingLink) term() gate.Term { return gate.Term{Epoch: l.epoch, Process: l.number} }

// vanishingSidecar is a process of the sidecar. It makes its decisions with package gate, as
// package agent does.
type vanishingSidecar struct {
	host    *vanishingHost
	world   *vanishingWorld
	process carobkeel.Incarnation
	// started is when the process began, and startedAwake the same by the clock of calls' ages.
	started, startedAwake time.Duration

	link vanishingLink

	holder      gate.Holder
	state       gate.Worker
	clock       gate.Clock
	clockOf     runs.Incarnation
	calls       gate.LeaseCalls
	lastCall    uint64
	deadline    time.Duration
	extendsFrom time.Duration
	extendedFor time.Duration
	replacedAt  time.Duration
	needsLease  bool
	// recorded is the incarnation that the holder has said to be recorded, over the link recordedBy.
	recorded     runs.Incarnation
	recordedBy   dispatch.LinkID
	unresponsive bool
	failures     int
	listings     uint64
	orders       []dispatch.Order
	// tickedAt is when the process last ran.
	tickedAt time.Duration
	pingAt   time.Duration
	listAt   time.Duration
	// nextStop is when the process may next stop runs by itself.
	nextStop time.Duration
}

func (s *vanishingSidecar) tick() {
	s.tickedAt = s.world.now
	s.connect()
	s.hearWorker()
	if s.isLinked() && s.world.now >= s.pingAt {
		s.ping()
	}
	s.executeOrders()
	if s.world.now >= s.listAt {
		s.listAt = s.world.now + vanishingList
		s.listOnce()
	}
}

// isLinked reports whether there is a link to the present holder.
func (s *vanishingSidecar) isLinked() bool {
	return s.world.core != nil && s.link.id != 0 && s.link.epoch == s.world.epoch && !s.host.isCutOff
}

func (s *vanishingSidecar) connect() {
	w := s.world
	if w.core == nil || s.host.isCutOff || s.isLinked() {
		return
	}
	w.links++
	s.orders = nil
	s.link = vanishingLink{id: w.links, epoch: w.epoch, number: s.host.numberProcess(s.process)}
	w.core.HostLinked(s.host.name, dispatch.Link{ID: s.link.id, Process: s.process})
	w.core.HostPinged(s.host.name, 0)
	s.ping()
	s.describe()
	if s.state.Description != nil {
		s.requestListing(s.listingEnvelope(s.link.term()))
	}
}

func (s *vanishingSidecar) hangUp() {
	if s.isLinked() {
		s.world.core.HostLost(s.host.name)
	}
	s.link = vanishingLink{}
}

// ping sends a ping, which the holder answers while it may extend leases.
func (s *vanishingSidecar) ping() {
	w := s.world
	s.pingAt = w.now + vanishingPing
	if w.now-w.held > extendAuthority {
		return
	}
	s.link.pings = append(s.link.pings, w.now)
	w.core.HostPinged(s.host.name, uint64(len(s.link.pings)))
	if s.holder.Epoch == s.link.epoch && s.holder.Known {
		w.core.HostFollows(s.host.name)
	}
	s.holder = s.holder.Confirm(s.link.term(), w.now)
}

func (s *vanishingSidecar) describe() {
	if s.isLinked() && s.state.Description != nil && s.state.Verified {
		s.world.core.DescribeWorker(s.host.name, *s.state.Description)
	}
}

// hearWorker receives the heartbeats of the worker.
func (s *vanishingSidecar) hearWorker() {
	h := s.host
	d := h.worker.Description()
	if !h.isUp || h.hangs || s.world.now-h.bornAt < firstHeartbeatDelay || s.state.Describes(d.Incarnation) {
		return
	}
	if s.state.Description != nil {
		s.state = s.state.Suspect()
		s.extendedFor = 0
	}
	state := s.state
	evidence := s.ask(d.Incarnation, &state)
	if evidence == gate.AnsweredAsIt {
		s.replaceWorker(&d)
	}
}

func (s *vanishingSidecar) ask(incarnation runs.Incarnation, state *gate.Worker) gate.Evidence {
	listing, answer, err := s.list(runs.Envelope{Incarnation: incarnation, Fence: state.Fence(s.holder.Term)})
	if err != nil {
		return gate.NotAnswered
	}
	return gate.Examine(incarnation, state, answer.Result, listing.StartedAtMs)
}

func (s *vanishingSidecar) replaceWorker(d *runs.Description) {
	isFirst := s.state.Description == nil
	if !isFirst {
		s.replacedAt = s.world.now
	}
	s.state = s.state.Describe(d)
	s.state.Verified = true
	s.clock, s.deadline, s.extendedFor, s.failures = gate.Clock{}, 0, 0, 0
	s.describe()
	if !isFirst {
		s.requestListing(s.envelopeWithoutLease(s.holder.Term))
	}
}

func (s *vanishingSidecar) envelopeWithoutLease(term gate.Term) runs.Envelope {
	return runs.Envelope{Incarnation: s.state.Description.Incarnation, Fence: s.state.Fence(term)}
}

func (s *vanishingSidecar) envelope(term gate.Term) runs.Envelope {
	e := s.envelopeWithoutLease(term)
	if !s.state.IsConfirmed(e.Fence) || s.unresponsive || s.holder.Confirmed < s.extendsFrom {
		return e
	}
	e.Deadline = gate.LeaseDeadline(s.holder, s.knownClock(), testLease, s.world.now)
	s.deadline = max(s.deadline, e.Deadline)
	return e
}

func (s *vanishingSidecar) listingEnvelope(term gate.Term) runs.Envelope {
	isRecorded := s.recorded == s.state.Description.Incarnation && s.recordedBy == s.link.id
	if !s.needsLease && !isRecorded && !s.world.broken.idleLeases {
		return s.envelopeWithoutLease(term)
	}
	return s.envelope(term)
}

func (s *vanishingSidecar) knownClock() gate.Clock {
	if s.state.Description == nil || s.clockOf != s.state.Description.Incarnation {
		return gate.Clock{}
	}
	return s.clock
}

// list requests a listing, and keeps it in mind if it extends the lease and gets no answer.
func (s *vanishingSidecar) list(e runs.Envelope) (runs.Listing, runs.Answer, error) {
	number, clock, sent := s.beginCall(e, carobkeel.TaskName{})
	listing, answer, err := s.host.list(e)
	if err == nil && listing.StartedAtMs != 0 && listing.StartedAtMs != e.Incarnation.StartedAtMs {
		s.calls = s.calls.Lose(number)
	} else {
		s.endCall(number, clock, sent, answer, err)
	}
	if err == nil && answer.Result == runs.ResultOK {
		s.needsLease = gate.NeedsLease(&listing)
	}
	return listing, answer, err
}

// beginCall notes a call that extends the lease. The number is zero for others.
func (s *vanishingSidecar) beginCall(e runs.Envelope, start carobkeel.TaskName) (uint64, gate.Clock, time.Duration) {
	if e.Deadline == 0 {
		return 0, gate.Clock{}, 0
	}
	s.lastCall++
	s.calls = s.calls.Add(gate.LeaseCall{Number: s.lastCall, WorkerID: e.Incarnation.ID, Start: start, Sent: s.callTime()}, vanishingMaxLease)
	return s.lastCall, s.knownClock(), s.world.now
}

func (s *vanishingSidecar) endCall(number uint64, clock gate.Clock, sent time.Duration, answer runs.Answer, err error) {
	notSent := errors.Is(err, runs.ErrNotListening)
	if notSent || (err == nil && gate.IsSettled(answer, clock, sent)) {
		s.calls = s.calls.Settle(number)
		return
	}
	s.calls = s.calls.Lose(number)
}

// listOnce is one round of the lister.
func (s *vanishingSidecar) listOnce() {
	if s.state.Description == nil {
		s.unresponsive = true
		s.reportUnreachable(max(0, s.earlierLeaseRemaining()), nil)
		if fence := s.state.Fence(s.holder.Term); fence.Epoch != 0 {
			_, _, _ = s.host.list(runs.Envelope{Fence: fence})
		}
		return
	}
	term := s.holder.Term
	e, extendsFor := s.nextListing(term)
	s.listings++
	number := s.listings
	listing, answer, err := s.list(e)
	d := s.state.Description
	if err == nil && listing.StartedAtMs != 0 && listing.StartedAtMs != d.StartedAtMs {
		answer.Result = runs.ResultOtherIncarnation
	}
	if err != nil || answer.Result != runs.ResultOK {
		s.handleFailure(answer, err, term)
		return
	}
	s.failures = 0
	s.confirm(e.Fence, answer)
	if extendsFor > 0 {
		s.extendedFor = extendsFor
	}
	s.stopLateRuns(listing.Running)
	if s.forward(number, term, listing) && s.unresponsive {
		s.extendsFrom, s.unresponsive = s.world.now, false
		s.ping()
	}
}

// stopLateRuns stops the runs under a lease that a holder need not know of.
func (s *vanishingSidecar) stopLateRuns(running []runs.Running) {
	if s.world.broken.noStops || s.world.now < s.nextStop || !s.state.MustStop(s.holder, s.world.now, testLease, vanishingMaxLease) {
		return
	}
	s.nextStop = s.world.now + gate.StopMargin
	for _, r := range running {
		s.host.stop(s.envelopeWithoutLease(s.holder.Term), runs.Stop{Task: r.Task, Run: r.Run})
	}
}

func (s *vanishingSidecar) nextListing(term gate.Term) (runs.Envelope, time.Duration) {
	e := s.envelopeWithoutLease(term)
	if !s.state.HasListed(e.Fence) || !s.knownClock().Known || s.holder.Confirmed <= s.extendedFor {
		return e, 0
	}
	return s.listingEnvelope(term), s.holder.Confirmed
}

func (s *vanishingSidecar) confirm(fence runs.Fence, answer runs.Answer) {
	wasVerified := s.state.Verified
	s.state = s.state.Confirm(fence).Answered(s.callTime()).Reach(fence, s.world.now, s.lateCalls())
	s.clock, s.clockOf = gate.Clock{Reading: answer.Clock, Received: s.world.now, Known: true}, s.state.Description.Incarnation
	if !wasVerified {
		s.describe()
	}
}

// callTime returns the time by which the age of calls is counted.
func (s *vanishingSidecar) callTime() time.Duration {
	if s.world.broken.suspendedCounts {
		return s.world.now
	}
	return s.host.awake()
}

// lateCalls returns what this process knows of late calls.
func (s *vanishingSidecar) lateCalls() gate.LateCalls {
	maxLease := vanishingMaxLease
	if s.world.broken.shortCalls {
		maxLease = 0
	}
	late := s.calls.LateCallsTo(s.state.Description.ID, s.startedAwake, s.callTime(), maxLease)
	switch {
	case late == gate.UnansweredLateCalls && s.world.broken.noCalls:
		return gate.NoLateCalls
	case late == gate.LateCallsOfOthers && s.world.broken.noAge:
		return gate.NoLateCalls
	}
	return late
}

func (s *vanishingSidecar) requestListing(e runs.Envelope) {
	s.listings++
	number := s.listings
	listing, answer, err := s.list(e)
	if err != nil || answer.Result != runs.ResultOK || listing.StartedAtMs != s.state.Description.StartedAtMs {
		return
	}
	s.confirm(e.Fence, answer)
	s.forward(number, gate.Term{Epoch: e.Fence.Epoch, Process: e.Fence.Generation.Process()}, listing)
}

// forward sends a listing to the holder, and reports whether that one knows the worker's state.
func (s *vanishingSidecar) forward(number uint64, term gate.Term, listing runs.Listing) bool {
	if !s.isLinked() || s.link.term() != term {
		return false
	}
	if s.link.listed != s.state.Description.Incarnation {
		s.describe()
	}
	s.world.core.ApplyListing(dispatch.WorkerListing{
		Host: s.host.name, Incarnation: s.state.Description.Incarnation, Number: number, Requested: s.listings, Full: true,
		Running: listing.Running, Ends: listing.Ends, LateLease: s.state.LateLease(s.world.now, vanishingMaxLease),
	})
	s.link.listed = s.state.Description.Incarnation
	return true
}

func (s *vanishingSidecar) handleFailure(answer runs.Answer, err error, term gate.Term) {
	s.failures++
	if err != nil {
		s.state = s.state.Unanswered(err)
	}
	if s.failures >= modelUnresponsiveAfter {
		s.unresponsive = true
		s.reportUnreachable(s.leaseRemaining(), s.lateStarts(err))
	}
	wasConfirmed := s.state.Confirmed != (runs.Fence{})
	switch {
	case err != nil:
		s.state = s.state.Suspect()
	case answer.Result == runs.ResultOtherIncarnation:
		s.state = s.state.Deny()
	case answer.Result == runs.ResultStaleEpoch && s.holder.Known && term == s.holder.Term:
		s.state = s.state.Suspect()
	}
	if wasConfirmed {
		s.extendedFor = 0
	}
}

// lateStarts returns the tasks that a worker which does not answer may run by late starts.
func (s *vanishingSidecar) lateStarts(err error) []carobkeel.TaskName {
	if s.world.broken.noLateStarts {
		return nil
	}
	return s.state.LateStarts(s.calls, err, s.world.now, s.callTime(), vanishingMaxLease)
}

func (s *vanishingSidecar) reportUnreachable(remaining time.Duration, lateStarts []carobkeel.TaskName) {
	if s.isLinked() {
		s.world.core.WorkerUnreachable(s.host.name, remaining, lateStarts...)
	}
}

func (s *vanishingSidecar) leaseRemaining() time.Duration {
	earlier := s.earlierLeaseRemaining()
	if !s.state.Verified {
		return max(0, earlier)
	}
	remaining := gate.LeaseRemaining(s.knownClock(), s.deadline, s.world.now)
	if earlier > 0 {
		return max(earlier, remaining)
	}
	return remaining
}

func (s *vanishingSidecar) earlierLeaseRemaining() time.Duration {
	return max(s.started, s.replacedAt) + gate.LongestLease(testLease) - s.world.now
}
