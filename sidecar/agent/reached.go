package agent

import (
	"github.com/carobkeel/carobkeel/worker/runs"
)

// reachedIncarnation is the last incarnation that has answered a call with a higher fence than
// those that earlier incarnations have answered, with the highest fence that it has answered.
type reachedIncarnation struct {
	startedAtMs int64
	fence       runs.Fence
}

// Evidence by which a call reached an incarnation.
const (
	reachedUnknown   = "before any heartbeat"
	reachedDescribed = "after its heartbeat"
	reachedFollower  = "by a call to the one before"
)

// noteAnswer records which incarnation has answered a listing under a fence. Before the first
// such answer, an incarnation carries out what was sent to the one before.
func (a *Agent) noteAnswer(e runs.Envelope, startedAtMs int64, answer runs.Answer) {
	if startedAtMs == 0 || answer.Result != runs.ResultOK || e.Fence.Generation.Process() == 0 {
		return
	}
	for {
		old := a.reached.Load()
		if old != nil && !old.fence.Less(e.Fence) {
			return
		}
		next := &reachedIncarnation{startedAtMs: startedAtMs, fence: e.Fence}
		if !a.reached.CompareAndSwap(old, next) {
			continue
		}
		if old == nil || old.startedAtMs != startedAtMs {
			a.recordReached(e, startedAtMs, answer, old == nil)
		}
		return
	}
}

// recordReached records how old an incarnation was, by its own clock, when it was reached.
func (a *Agent) recordReached(e runs.Envelope, startedAtMs int64, answer runs.Answer, first bool) {
	evidence := reachedFollower
	switch {
	case e.Incarnation.ID == "":
		evidence = reachedUnknown
	case e.Incarnation.StartedAtMs == startedAtMs:
		evidence = reachedDescribed
	}
	a.metrics.IncarnationReached.RecordDuration(answer.Clock)
	a.log.Info().Str("worker", e.Incarnation.ID).Int64("born", startedAtMs).Int64("window", answer.Clock.Milliseconds()).
		Str("evidence", evidence).Bool("first", first).Uint32("generation", uint32(e.Fence.Generation)).
		Msg("worker incarnation reached")
}
