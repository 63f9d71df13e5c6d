package dispatch_test

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// modelOrigin is the process of the sidecar that sends a call, and its doubts by then.
type modelOrigin struct {
	process  carobkeel.Incarnation
	doubts   uint32
	numbered bool
}

// follows reports whether a call comes from a numbered process, after a doubt since other.
func (o modelOrigin) follows(other modelOrigin) bool {
	if o.process != other.process {
		return o.numbered && o.process > other.process
	}
	return o.numbered && o.doubts > other.doubts
}

func (s *modelSidecar) origin() modelOrigin {
	return modelOrigin{process: s.process, doubts: s.state.Doubts, numbered: s.holder.Process != 0}
}

// modelCall is a call to the worker that got no answer.
type modelCall struct {
	envelope runs.Envelope
	origin   modelOrigin
	// start is the run that the call starts, nil for other calls.
	start *runs.Stop
	call  func(runs.Envelope) runs.Result
	// acknowledged is the end up to which a listing acknowledges.
	acknowledged uint64
}

// crash replaces the worker by its next incarnation, which the sidecar does not know of
// unless it waits for a listing.
func (s *modelSidecar) crash() {
	lease := s.worker.Lease()
	s.worker.Crash()
	if !s.model.lateCallsLast {
		s.late = nil
		s.heartbeat()
		return
	}
	s.unreached, s.crashedAt, s.crashOrigin = true, s.sent, s.origin()
	s.leftLease = time.Second + lease // the clock begins at a second
	outstanding := len(s.listings)
	s.listings = slices.DeleteFunc(s.listings, func(l *modelListing) bool { return l.link == nil && !l.taken })
	if len(s.listings) < outstanding {
		s.state = s.state.Suspect()
	}
}

// restartBeforeLateCalls restarts the worker, whose tasks begin elsewhere or there again
// before the calls to the earlier incarnation are carried out.
func (s *modelSidecar) restartBeforeLateCalls() {
	s.mute = false
	s.crash()
	for range 3 {
		for _, other := range s.model.sidecars {
			other.exchange()
			other.list()
			other.exchange()
		}
	}
	for len(s.late) > 0 {
		s.carryOutLate()
	}
}

// reach has a call reach the worker.
func (s *modelSidecar) reach(e runs.Envelope, origin modelOrigin, call func(runs.Envelope) runs.Result) runs.Result {
	isNext := s.isOfNext(e, origin)
	if s.unreached && !isNext {
		e.Deadline = min(e.Deadline, s.leftLease)
	}
	if s.model.broken.oneGeneration {
		e.Fence.Generation = 0
	}
	result := call(e)
	if result != runs.ResultStaleEpoch && result != runs.ResultOtherIncarnation && isNext {
		s.unreached = false
	}
	return result
}

// isOfNext reports whether a call was sent to the worker's incarnation after its last restart,
// as far as the sidecar's rules say.
func (s *modelSidecar) isOfNext(e runs.Envelope, origin modelOrigin) bool {
	return s.crashedAt.Less(e.Fence) || (e.Fence.Epoch >= s.crashedAt.Epoch && origin.follows(s.crashOrigin))
}

// carryOutLate carries out one of the calls that were not answered. Before the sidecar has
// reached an incarnation, nothing can keep off a start of a run that is over, an
// acknowledgement, or a longer lease than the earlier one by the earlier clock: that is left
// out.
func (s *modelSidecar) carryOutLate() {
	if len(s.late) == 0 {
		return
	}
	late := s.late[0]
	s.late = s.late[1:]
	if s.unreached && !s.isOfNext(late.envelope, late.origin) {
		if late.acknowledged > 0 || (late.start != nil && s.model.isOver(*late.start)) {
			return
		}
	}
	s.reach(late.envelope, late.origin, late.call)
}
