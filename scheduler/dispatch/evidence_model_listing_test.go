package dispatch_test

import (
	"context"
	"math"
	"slices"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

type modelListing struct {
	number  uint64
	link    *modelLink // nil for the lister, which takes the link at the time of the answer
	taken   bool
	listing runs.Listing
	answer  runs.Answer
	// lost reports that the request got no answer.
	lost bool
	// state is the sidecar's record of the worker when it requested the listing, under the
	// fence.
	state gate.Worker
	fence runs.Fence
}

// term returns the term under which the listing was requested.
func (l *modelListing) term() gate.Term {
	return gate.Term{Epoch: l.fence.Epoch, Process: l.fence.Generation.Process()}
}

// requestListing begins a listing of the lister, which has one at a time.
func (s *modelSidecar) requestListing() {
	if slices.ContainsFunc(s.listings, func(l *modelListing) bool { return l.link == nil }) {
		return
	}
	s.requested++
	s.listings = append(s.listings, &modelListing{number: s.requested})
}

// takeListing has the worker list its runs for one of the requests. The request may get no
// answer and be carried out late.
func (s *modelSidecar) takeListing(index int) {
	if len(s.listings) == 0 {
		return
	}
	l := s.listings[index%len(s.listings)]
	if l.taken || l.lost {
		return
	}
	term := s.holder.Term
	if l.link != nil {
		term = l.link.term()
	}
	envelope := s.envelope(term)
	acknowledged := s.acknowledgedUpTo(envelope)
	list := func(e runs.Envelope) runs.Result {
		l.listing, l.answer, _ = s.worker.List(context.Background(), e, acknowledged, 0)
		return l.answer.Result
	}
	if s.mute && !s.model.lateCallsLast {
		return
	}
	l.state, l.fence = s.state, envelope.Fence
	if s.mute {
		l.lost = true
		if !slices.ContainsFunc(s.late, func(c modelCall) bool { return c.start == nil }) {
			s.late = append(s.late, modelCall{envelope: envelope, origin: s.origin(), call: list, acknowledged: acknowledged})
		}
		return
	}
	l.taken = true
	s.reach(envelope, s.origin(), list)
}

// acknowledgedUpTo returns the acknowledgement to send in an envelope. None is sent to the next
// incarnation by a sidecar that has not noticed the restart: that is left out as well.
func (s *modelSidecar) acknowledgedUpTo(e runs.Envelope) uint64 {
	if s.state.IsConfirmed(e.Fence) && (!s.unreached || s.isOfNext(e, s.origin())) {
		return s.acknowledged
	}
	return 0
}

// answerListing has the answer to one of the requests arrive at the sidecar, or its timeout
// pass.
func (s *modelSidecar) answerListing(index int) {
	if len(s.listings) == 0 {
		return
	}
	index %= len(s.listings)
	l := s.listings[index]
	if !l.taken && !l.lost {
		return
	}
	s.listings = slices.Delete(s.listings, index, index+1)
	described := l.state.Description.Incarnation
	if described != s.state.Description.Incarnation {
		return
	}
	if l.lost || l.answer.Result != runs.ResultOK || l.listing.StartedAtMs != described.StartedAtMs {
		s.handleFailure(l)
		return
	}
	if l.link == nil {
		s.failures = 0
	}
	s.state = s.state.Confirm(l.fence)
	s.clock = gate.Clock{Reading: l.answer.Clock, Received: s.model.now, Known: true}
	link := l.link
	if link == nil {
		link = s.link
	}
	if link == nil || link.closed || link.term() != l.term() {
		return
	}
	s.forward(link, l)
	if l.link == nil && s.unresponsive {
		s.unresponsive, s.extendsFrom = false, s.model.now
		s.ping()
	}
}

func (s *modelSidecar) forward(link *modelLink, l *modelListing) {
	report := dispatch.WorkerListing{
		Host: s.host, Incarnation: l.state.Description.Incarnation, Number: l.number, Requested: s.requested, Full: true,
		Running: l.listing.Running, Ends: l.listing.Ends,
	}
	if s.model.takeovers && len(report.Ends) >= modelListedEnds {
		report.Ends, report.Partial = report.Ends[:modelListedEnds], !s.model.broken.unmarkedParts
	}
	if s.model.broken.firstListingWins && !link.listed {
		report.Number = math.MaxUint64
	}
	if s.model.broken.unmarkedListings {
		report.Requested = 0
	}
	link.listed = true
	s.report(link, func() { s.model.core.ApplyListing(report) })
}

// reportUnresponsive tells the holder that the worker does not answer.
func (s *modelSidecar) reportUnresponsive() {
	if !s.mute && s.failures < modelUnresponsiveAfter {
		return
	}
	s.unresponsive = true
	s.listings = slices.DeleteFunc(s.listings, func(l *modelListing) bool { return l.link == nil })
	remaining := gate.LeaseRemaining(s.clock, s.deadline, s.model.now)
	if earlier := max(s.started, s.replacedAt) + gate.LongestLease(testLease) - s.model.now; earlier > 0 {
		remaining = max(remaining, earlier)
	}
	if s.link != nil {
		s.report(s.link, func() { s.model.core.WorkerUnreachable(s.host, remaining) })
	}
}

// list has the worker list its runs and the listings arrive at the sidecar.
func (s *modelSidecar) list() {
	s.requestListing()
	for i := len(s.listings) - 1; i >= 0; i-- {
		s.takeListing(i)
		s.answerListing(i)
	}
}

// handleFailure records a listing that was refused or not answered. The one for a new holder
// is left to the lister, whose next one shows the state.
func (s *modelSidecar) handleFailure(l *modelListing) {
	if l.link != nil {
		return
	}
	s.failures++
	switch {
	case l.lost:
		s.state = s.state.Suspect()
	case l.answer.Result != runs.ResultStaleEpoch:
		s.state = s.state.Deny()
	case l.term() == s.holder.Term:
		s.state = s.state.Suspect()
	}
}

// loseListing has the worker carry out one of the requests for a listing, with its lease and
// its acknowledgement, while the answer is lost.
func (s *modelSidecar) loseListing(index int) {
	if len(s.listings) == 0 || s.mute {
		return
	}
	l := s.listings[index%len(s.listings)]
	if l.taken || l.lost {
		return
	}
	s.takeListing(index)
	l.taken, l.lost = false, true
}
