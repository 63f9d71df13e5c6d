package agent

import (
	"context"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// listWait is how long a listing waits for a run to end. The figures of
	// running tasks that the holder needs cover half a second, so the wait is
	// shorter than that.
	listWait = 200 * time.Millisecond
	// listTimeout is how long the worker, which is on the same host, may take
	// beyond listWait.
	listTimeout = 400 * time.Millisecond
	// fullInterval is the least time between two full listings to the holder.
	// Listings in between are incremental: they hold ended runs only.
	fullInterval = 180 * time.Millisecond
	// acknowledgeWait bounds the wait for ended runs to be acknowledged before the
	// next listing, which would otherwise return them again immediately.
	acknowledgeWait = 60 * time.Millisecond
	// retryPause is the least time from the beginning of a failed listing to the next one where the
	// failure takes a generation of the process, of which there are runs.MaxDoubts.
	retryPause = 150 * time.Millisecond
	// shortestAbsencePause is the least time from a listing without an answer that took no
	// generation to the next one. It rises with the time for which the worker has been away, by
	// absenceShare, up to retryPause.
	shortestAbsencePause = 10 * time.Millisecond
	absenceShare         = 100
	// immediateRetryInterval is the least time between two failed listings that the next
	// one follows at once.
	immediateRetryInterval = time.Second
	// firstHeartbeatTime is how long the first heartbeat of a worker may take. Until then the
	// worker is asked after each retryPause, later after idlePause. A heartbeat ends the wait.
	firstHeartbeatTime = 5 * time.Second
	idlePause          = time.Second
	// unresponsiveAfter is the number of consecutive failed listings after which
	// the worker counts as unresponsive.
	unresponsiveAfter = 2
)

// lister is the state of the goroutine that requests listings.
type lister struct {
	agent    *Agent
	failures int
	// retriedAt is when a listing last followed a failed one at once.
	retriedAt time.Time
	// missedSince is the time since which no listing was answered, zero if the last one was.
	missedSince time.Time
	// reportedAt and examinedAt are when the worker was last reported as unresponsive, and when a
	// candidate was last examined.
	reportedAt, examinedAt time.Time
	// nextStop is when this process may next stop runs by itself.
	nextStop time.Duration
	// lastFullAt, lastFullLink and lastListed are the sending time, the link and the
	// incarnation of the last full listing.
	lastFullAt   time.Duration
	lastFullLink *entryLink
	lastListed   runs.Incarnation
	// acknowledged is the last acknowledgement that the worker has answered.
	acknowledged answeredAcknowledgement
	// checkpoints are those in the last full listing. The holder keeps them, so that
	// only changed ones are sent again over that link and under that epoch.
	checkpoints      map[runKey]string
	checkpointsEpoch carobkeel.Epoch
}

// runListings requests one listing after another until ctx ends.
func (a *Agent) runListings(ctx context.Context) {
	l := &lister{agent: a}
	for ctx.Err() == nil {
		state := a.state.Load()
		if state.Description == nil {
			l.awaitWorker(ctx, state)
			continue
		}
		l.listOnce(ctx, state)
	}
}

// awaitWorker fences whatever worker answers before the first heartbeat, and waits for a while.
func (l *lister) awaitWorker(ctx context.Context, state *gate.Worker) {
	a := l.agent
	if mayRepeat(&l.reportedAt) {
		a.reportUnknownWorker(a.holderLink.Load())
	}
	pause := a.noWorkerPause()
	if err := a.fenceUnknownWorker(ctx, state); !runs.IsUnsent(err) {
		l.missedSince = time.Time{}
	} else if short := l.absencePause(); short < retryPause {
		pause = short
	}
	a.waitForChange(ctx, pause)
}

// noWorkerPause returns the interval of the checks for a worker that has sent no heartbeat yet.
func (a *Agent) noWorkerPause() time.Duration {
	if clock.Boottime()-a.started < firstHeartbeatTime {
		return retryPause
	}
	return idlePause
}

// waitForChange waits until a change is signalled, the timeout passes or ctx ends.
func (a *Agent) waitForChange(ctx context.Context, timeout time.Duration) {
	wait(ctx, a.changed, timeout)
}

// listOnce requests one listing and forwards it to the holder.
func (l *lister) listOnce(ctx context.Context, state *gate.Worker) {
	a, d := l.agent, state.Description
	version := a.unresponsive.Version()
	number := a.listingNumber.Add(1)
	term := a.holder.Load().Term
	fence := state.Fence(term)
	request := l.nextListing(state, term)
	began, sent := time.Now(), clock.Monotonic()
	ctx, cancel := context.WithTimeout(ctx, request.wait+listTimeout)
	defer cancel()
	listing, answer, err := a.list(ctx, request.envelope, request.acknowledged, request.wait)
	if err == nil && isOfOtherIncarnation(&listing, d) {
		answer.Result = runs.ResultOtherIncarnation
	}
	if err != nil || answer.Result != runs.ResultOK {
		l.handleFailure(ctx, failedListing{state: state, term: term, began: began, answer: answer, err: err})
		return
	}
	l.failures, l.missedSince = 0, time.Time{}
	a.candidate.Store(nil)
	a.confirmState(state, fence)
	a.noteAnswered(d.Incarnation, sent)
	a.observeClock(d.Incarnation, answer)
	if request.extendsFor > 0 {
		a.extendedFor.Store(int64(request.extendsFor))
	}
	a.logLeftOut(d, listing.LeftOut)
	l.stopLateRuns(ctx, listing.Running)
	if l.forward(d, number, term, listing) {
		a.recordAnswering(d, version)
	}
	listedAgain := !l.recordAcknowledged(request, listing.Ends)
	newEnds := len(listing.Ends) > 0 && listing.Ends[len(listing.Ends)-1].Number > a.acknowledgedUpTo(a.state.Load(), fence)
	if newEnds || listedAgain || listing.LeftOut > 0 {
		a.waitForChange(ctx, acknowledgeWait)
	}
}

// isOfOtherIncarnation reports whether a listing is from another incarnation than the
// described one, under the same ID.
func isOfOtherIncarnation(listing *runs.Listing, d *runs.Description) bool {
	return listing.StartedAtMs != 0 && listing.StartedAtMs != d.StartedAtMs
}

// logLeftOut logs rows of a listing that could not be decoded.
func (a *Agent) logLeftOut(d *runs.Description, rows int) {
	if rows == 0 {
		return
	}
	if skipped, ok := a.leftOut.Allow(time.Now()); ok {
		a.log.Warn().Str("worker", d.ID).Int("rows", rows).Int64("skipped", skipped).Msg("rows of a listing left out")
	}
}

// listForNewHolder requests a listing for a new holder immediately, in parallel to one
// that may still wait under an older epoch. Once the worker has answered it, it
// refuses older holders, and the new one may order starts.
func (a *Agent) listForNewHolder(holderLink *entryLink) {
	state := a.state.Load()
	if state.Description == nil {
		a.reportUnknownWorker(holderLink)
		_ = a.fenceUnknownWorker(context.Background(), state) // the lister repeats it
		return
	}
	version, term := a.unresponsive.Version(), holderLink.term()
	sent := a.sendListing(holderLink, state, a.listingEnvelope(state, term))
	if sent && a.holderLink.Load() == holderLink && holderLink.term() == term {
		a.recordAnswering(state.Description, version)
	}
}

// sendListing requests a listing and sends it to the holder, under the epoch by which it has
// fenced the worker. A failure is left to the lister, whose next listing reports the state. It
// reports whether a listing was sent.
func (a *Agent) sendListing(holderLink *entryLink, state *gate.Worker, e runs.Envelope) bool {
	number := a.listingNumber.Add(1)
	listing, ok := a.requestListing(state, e)
	if !ok || !a.isReached(state.Description.Incarnation) {
		return false
	}
	holderLink.send(wire.TypeListing, wire.FromListing(dispatch.WorkerListing{
		Incarnation: state.Description.Incarnation, Number: number, Requested: a.listingNumber.Load(), Full: true,
		Running: withFewCheckpoints(listing.Running), Ends: listing.Ends, Partial: listing.Partial,
		LateLease: a.lateLease(state.Description.Incarnation),
	}, e.Fence.Epoch))
	return true
}

// requestListing requests a listing that does not wait for a run to end. It returns false if
// the described incarnation has not listed.
func (a *Agent) requestListing(state *gate.Worker, e runs.Envelope) (runs.Listing, bool) {
	d := state.Description
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	sent := clock.Monotonic()
	listing, answer, err := a.list(ctx, e, a.acknowledgedUpTo(state, e.Fence), 0)
	if err != nil || answer.Result != runs.ResultOK || isOfOtherIncarnation(&listing, d) {
		return runs.Listing{}, false
	}
	a.confirmState(state, e.Fence)
	a.noteAnswered(d.Incarnation, sent)
	a.observeClock(d.Incarnation, answer)
	return listing, true
}

// confirmState records that the worker has answered a listing that was requested in the given
// state, under the fence. The holder hears of an incarnation once it has answered.
func (a *Agent) confirmState(state *gate.Worker, fence runs.Fence) {
	first := false
	a.updateState(func(w gate.Worker) gate.Worker {
		if !w.Describes(state.Description.Incarnation) {
			return w
		}
		first = !w.Verified
		return a.reach(w.ConfirmAsked(state, fence), fence)
	})
	if first {
		a.sendDescription(a.holderLink.Load())
	}
}

// noteAnswered records that an incarnation has answered a listing that was sent at a time, by the clock of
// calls' ages.
func (a *Agent) noteAnswered(incarnation runs.Incarnation, sent time.Duration) {
	a.updateState(func(w gate.Worker) gate.Worker {
		if !w.Describes(incarnation) {
			return w
		}
		return w.Answered(sent)
	})
}

// forward sends a listing to the holder. A listing that was requested in another term is
// dropped, as it has not fenced the worker for this holder: under the same epoch, but without
// the number of this process, calls of an earlier process may still be carried out after it. So is one
// of an incarnation that has not been reached yet. It reports whether the holder knows the worker's
// state.
func (l *lister) forward(d *runs.Description, number uint64, term gate.Term, listing runs.Listing) bool {
	holderLink := l.agent.holderLink.Load()
	if holderLink == nil || holderLink.term() != term || !l.agent.isReached(d.Incarnation) {
		return false
	}
	now := clock.Boottime()
	first := holderLink != l.lastFullLink || d.Incarnation != l.lastListed
	full := first || l.agent.unresponsive.Load() || now-l.lastFullAt >= fullInterval
	if !full && len(listing.Ends) == 0 {
		return true
	}
	report := dispatch.WorkerListing{
		Incarnation: d.Incarnation, Number: number, Requested: l.agent.listingNumber.Load(), Full: full, Ends: listing.Ends,
		Partial: listing.Partial, LateLease: l.agent.lateLease(d.Incarnation),
	}
	if first {
		l.agent.sendDescription(holderLink) // who has verified the worker may not have sent it yet
	}
	if full {
		report.Running = l.withoutKnownCheckpoints(listing.Running, holderLink, term.Epoch)
		l.lastFullAt, l.lastFullLink, l.lastListed = now, holderLink, d.Incarnation
	}
	holderLink.send(wire.TypeListing, wire.FromListing(report, term.Epoch))
	return true
}

// withoutKnownCheckpoints returns the runs without the checkpoints that the holder knows
// from the last full listing.
func (l *lister) withoutKnownCheckpoints(running []runs.Running, holderLink *entryLink, epoch carobkeel.Epoch) []runs.Running {
	known := l.checkpoints
	if holderLink != l.lastFullLink || epoch != l.checkpointsEpoch {
		known = nil
	}
	l.checkpoints, l.checkpointsEpoch = make(map[runKey]string, len(running)), epoch
	reported := slices.Clone(running)
	left := checkpointBytes
	for i := range reported {
		r := &reported[i]
		key := runKey{task: r.Task, run: r.Run}
		if r.Checkpoint == known[key] {
			l.checkpoints[key] = r.Checkpoint
			r.Checkpoint = ""
			continue
		}
		if left -= len(r.Checkpoint); left < 0 {
			l.checkpoints[key], r.Checkpoint = known[key], "" // it follows with the next listing
			continue
		}
		l.checkpoints[key] = r.Checkpoint
	}
	return reported
}

// checkpointBytes bounds the checkpoints of running tasks in one listing, which has room for the most runs
// of a worker, and for as many ends with checkpoints as a worker lists at a time.
const checkpointBytes = 48 << 10

// withFewCheckpoints returns runs without the checkpoints that don't fit in one listing.
func withFewCheckpoints(running []runs.Running) []runs.Running {
	reported := slices.Clone(running)
	left := checkpointBytes
	for i := range reported {
		if left -= len(reported[i].Checkpoint); left < 0 {
			reported[i].Checkpoint = ""
		}
	}
	return reported
}
