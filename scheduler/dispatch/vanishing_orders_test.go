package dispatch_test

import (
	"math"
	"time"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

func (s *vanishingSidecar) executeOrders() {
	orders := s.orders
	s.orders = nil
	for _, o := range orders {
		if !s.isLinked() || o.Link != s.link.id || s.state.Description == nil {
			continue
		}
		var result runs.Result
		switch o.Kind {
		case dispatch.OrderStart:
			result = s.start(o)
		case dispatch.OrderStop:
			result = s.stop(o)
		case dispatch.OrderAcknowledge:
			s.recorded, s.recordedBy = o.Incarnation, o.Link
			continue
		default:
			continue
		}
		s.world.core.ApplyAnswer(dispatch.OrderAnswer{
			Host: s.host.name, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Run: o.Run, Result: result, Listing: s.listings,
		})
	}
}

func (s *vanishingSidecar) stop(o dispatch.Order) runs.Result {
	if !s.state.Is(o.Incarnation) {
		return runs.ResultOtherIncarnation
	}
	return s.host.stop(s.envelopeWithoutLease(s.holder.TermOf(s.link.epoch)), runs.Stop{Task: o.Task, Run: o.Run})
}

// start sends a start until it is answered, as often as the agent does.
func (s *vanishingSidecar) start(o dispatch.Order) runs.Result {
	for attempt := range vanishingAttempts {
		result := s.startOnce(o)
		if result == runs.ResultUnknown {
			continue
		}
		if result != runs.ResultOK && attempt > 0 {
			return runs.ResultUnknown
		}
		return result
	}
	return runs.ResultUnknown
}

func (s *vanishingSidecar) startOnce(o dispatch.Order) runs.Result {
	if result := gate.AdmitOrder(s.holder, s.link.epoch, s.state, o.Incarnation); result != runs.ResultOK {
		return result
	}
	term := s.holder.TermOf(s.link.epoch)
	if !s.state.IsConfirmed(s.state.Fence(term)) && !s.unresponsive {
		return runs.ResultUnconfirmed
	}
	e := s.envelope(term)
	pinged := time.Duration(math.MinInt64)
	if o.Ping > 0 {
		pinged = s.link.pings[o.Ping-1]
	}
	switch {
	case e.Deadline == 0:
		return runs.ResultUnhealthy
	case gate.StartExpired(pinged, s.extendsFrom, s.world.now, testLease):
		return runs.ResultExpired
	}
	number, clock, sent := s.beginCall(e, o.Task)
	answer, err := s.host.start(e, runs.Start{Task: o.Task, Run: o.Run, Payload: "payload"})
	s.endCall(number, clock, sent, answer, err)
	if err != nil {
		return runs.ResultUnknown
	}
	return answer.Result
}
