package dispatch_test

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// refusedTicket is the ticket of starts that a worker refuses. They extend its lease all the same.
const refusedTicket = "refused"

// lostCall is the kind of call to a worker that gets no answer.
type lostCall uint8

const (
	noLostCall lostCall = iota
	lostListing
	lostStart
	// lostFirstTry is a start whose first try gets no answer, and whose second one gets one.
	lostFirstTry
)

var lostCallNames = [...]string{"all calls answered", "listing lost", "start lost", "start answered on its second try"}

// lateCall is a call that got no answer and is carried out late.
type lateCall struct {
	kind     lostCall
	envelope runs.Envelope
	sent     time.Duration
	// begins reports that it is a start that is not refused.
	begins bool
}

// vanishingHost is a host with its worker and its sidecar.
type vanishingHost struct {
	world  *vanishingWorld
	name   string
	worker *standin.Worker
	// isUp reports that the worker runs, and bornAt when its incarnation began.
	isUp   bool
	bornAt time.Duration
	// hangs reports that the worker answers nothing, and isCutOff that the sidecar reaches no holder.
	hangs, isCutOff bool
	// sidecar is nil while there is no process of it, and frozenUntil is when it goes on.
	sidecar *vanishingSidecar
	// suspended is how long the host has stood still.
	suspended   time.Duration
	frozenUntil time.Duration
	processes   carobkeel.Incarnation
	// sidecarAt is when the next process of the sidecar begins, zero for never.
	sidecarAt time.Duration
	// lastProcess is the process that the holder knows, with its number.
	lastProcess carobkeel.Incarnation
	lastNumber  runs.ProcessNumber
	// loses is the kind of call that gets no answer next, and late the one that got none.
	loses lostCall
	late  *lateCall
	// goesAstray reports that an incarnation has carried out a call to an earlier one that extends
	// the lease, and answered it.
	goesAstray bool
}

// awake returns the time by a clock that stands still with the host.
func (h *vanishingHost) awake() time.Duration { return h.world.now - h.suspended }

func (h *vanishingHost) tick() {
	if h.isUp {
		h.worker.Advance(vanishingTick)
	}
	switch s := h.sidecar; {
	case s == nil && h.sidecarAt > 0 && h.world.now >= h.sidecarAt:
		h.beginSidecar()
	case s == nil:
	case h.world.now >= h.frozenUntil:
		s.tick()
	case h.world.now-s.tickedAt > linkSilence:
		s.hangUp()
	}
}

// beginSidecar begins a process of the sidecar.
func (h *vanishingHost) beginSidecar() {
	h.processes++
	h.frozenUntil, h.sidecarAt = 0, 0
	h.sidecar = &vanishingSidecar{host: h, world: h.world, process: h.processes, started: h.world.now}
	h.sidecar.startedAwake = h.sidecar.callTime()
}

// endSidecar ends the process of the sidecar.
func (h *vanishingHost) endSidecar() {
	if h.sidecar != nil {
		h.sidecar.hangUp()
		h.sidecar = nil
	}
}

// replaceSidecar ends the process of the sidecar, and has the next one begin after a time.
func (h *vanishingHost) replaceSidecar(away time.Duration) {
	h.endSidecar()
	h.sidecarAt = h.world.now + away
}

// endWorker ends the worker and its runs. Its next incarnation is one under its ID.
func (h *vanishingHost) endWorker() {
	if h.isUp {
		h.worker.Crash()
		h.isUp, h.loses = false, noLostCall
	}
}

// beginWorker begins an incarnation of the worker, which carries a call out that got no answer.
func (h *vanishingHost) beginWorker() {
	h.isUp, h.bornAt, h.world.knowers = true, h.world.now, nil
	switch late := h.late; {
	case late == nil || h.awake()-late.sent > runs.LongestCallDelay:
	case late.kind == lostListing:
		_, _, _ = h.worker.List(context.Background(), late.envelope, 0, 0)
	case late.begins:
		_, _ = h.worker.Start(context.Background(), late.envelope, runs.Start{Task: vanishingTask, Run: 1})
	default:
		_, _ = h.worker.Start(context.Background(), late.envelope, runs.Start{Task: vanishingTask, Run: 1, Ticket: refusedTicket})
	}
}

// vanishingTask is the task of the only job.
var vanishingTask = carobkeel.TaskName{Job: "0000000000000001"}

// isRunning reports whether the task runs on the host.
func (h *vanishingHost) isRunning() bool { return h.isUp && len(h.worker.Tasks()) > 0 }

// loseCall reports whether a call to the worker gets no answer, and keeps it to be carried out late.
func (h *vanishingHost) loseCall(kind lostCall, e runs.Envelope) bool {
	if e.Deadline == 0 || (h.loses != kind && (h.loses != lostFirstTry || kind != lostStart)) {
		return false
	}
	if h.late == nil {
		h.late = &lateCall{kind: h.loses, envelope: e, sent: h.awake()}
	}
	if h.loses == lostFirstTry {
		h.loses = noLostCall
	}
	return true
}

// list requests a listing of the worker.
func (h *vanishingHost) list(e runs.Envelope) (runs.Listing, runs.Answer, error) {
	switch {
	case !h.isUp:
		return runs.Listing{}, runs.Answer{}, runs.ErrNotListening
	case h.hangs || h.loseCall(lostListing, e):
		return runs.Listing{}, runs.Answer{}, standin.ErrNoAnswer
	}
	h.goesAstray = h.goesAstray || (e.Deadline != 0 && e.Incarnation != h.worker.Description().Incarnation)
	return h.worker.List(context.Background(), e, 0, 0)
}

// start sends the worker a start.
func (h *vanishingHost) start(e runs.Envelope, order runs.Start) (runs.Answer, error) {
	switch {
	case !h.isUp:
		return runs.Answer{}, runs.ErrNotListening
	case h.hangs || h.loseCall(lostStart, e):
		return runs.Answer{}, standin.ErrNoAnswer
	}
	h.goesAstray = h.goesAstray || e.Incarnation != h.worker.Description().Incarnation
	return h.worker.Start(context.Background(), e, order)
}

// stop sends the worker a stop.
func (h *vanishingHost) stop(e runs.Envelope, order runs.Stop) runs.Result {
	if !h.isUp || h.hangs {
		return runs.ResultUnknown
	}
	answer, _ := h.worker.Stop(context.Background(), e, order)
	return answer.Result
}

// receive has the sidecar receive an order over the link on which it was decided.
func (h *vanishingHost) receive(o dispatch.Order) {
	if s := h.sidecar; s != nil && s.link.id == o.Link && s.isLinked() {
		s.orders = append(s.orders, o)
	}
}

// numberProcess returns the holder's number for a process of the sidecar.
func (h *vanishingHost) numberProcess(process carobkeel.Incarnation) runs.ProcessNumber {
	if h.lastProcess != process {
		h.lastProcess = process
		h.lastNumber++
	}
	return h.lastNumber
}

// isRecorded reports whether the present incarnation is stored.
func (h *vanishingHost) isRecorded() bool {
	r, found := h.world.store.workers[h.worker.Description().Incarnation]
	return found && !r.Ended
}

// hasListed reports whether the sidecar has reached the present incarnation with a call that keeps
// the earlier ones off, and the holder has its listing.
func (h *vanishingHost) hasListed() bool {
	s := h.sidecar
	return s != nil && s.link.listed == h.worker.Description().Incarnation && s.state.ReachedAt > 0
}

// knower returns by whom the lease of a late call to the present incarnation is counted.
func (h *vanishingHost) knower() string {
	present := h.worker.Description().Incarnation
	switch {
	case h.sidecar != nil && h.sidecar.state.LateCalls == gate.UnansweredLateCalls:
		return "sidecar's calls"
	case h.world.store.workers[present].LateLease:
		return "late mark"
	}
	for _, r := range h.world.store.workers {
		if r.Host == h.name && r.Incarnation != present && !r.Ended {
			return "sidecar's age, record"
		}
	}
	for _, r := range h.world.store.workers {
		if r.Host == h.name && r.Ended {
			return "sidecar's age, ended record"
		}
	}
	return "sidecar's age, holder's memory"
}
