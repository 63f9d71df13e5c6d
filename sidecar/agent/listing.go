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
	// retryPause is the delay after a failed listing. It is longer than the time in which
	// the generation of a later process of the sidecar rises by one.
	retryPause = 150 * time.Millisecond
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
	// refusals counts the listings that the worker has refused for their fence, since the
	// last one that it answered.
	refusals int
	// retriedAt is when a listing last followed a failed one at once.
	retriedAt time.Time
	// lastFullAt, lastFullLink and lastListed are the sending time, the link and the
	// incarnation of the last full listing.
	lastFullAt   time.Duration
	lastFullLink *entryLink
	lastListed   runs.Incarnation
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
			a.reportUnknownWorker(a.holderLink.Load())
			a.fenceUnknownWorker(ctx, state)
			a.waitForChange(ctx, a.noWorkerPause())
			continue
		}
		l.listOnce(ctx, state)
	}
}

// fenceUnknownWorker has whatever worker answers at the address refuse calls of earlier
// generations. It may have begun together with this process, and until its first heartbeat
// it carries out what was sent to its earlier incarnation.
func (a *Agent) fenceUnknownWorker(ctx context.Context, state *gate.Worker) {
	epoch := a.holder.Load().Epoch
	if epoch == 0 {
		return // the fence would be below those of earlier calls
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	// What it lists is not used: its ID is not known, and whose heartbeat comes first neither.
	_, _, _ = a.worker.List(ctx, runs.Envelope{Fence: runs.Fence{Epoch: epoch, Generation: state.Generation}}, 0, 0)
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
	number := a.listingNumber.Add(1)
	wait := listWait
	if !state.Confirmed || !a.clockOf(d).Known {
		wait = 0 // the answer is needed before a lease can be requested
	}
	ctx, cancel := context.WithTimeout(ctx, wait+listTimeout)
	defer cancel()
	epoch := a.holder.Load().Epoch
	listing, answer, err := a.worker.List(ctx, a.envelope(state, epoch), a.acknowledgedUpTo(state), wait)
	if err == nil && isOfOtherIncarnation(&listing, d) {
		answer.Result = runs.ResultOtherIncarnation
	}
	if err != nil || answer.Result != runs.ResultOK {
		l.handleFailure(ctx, d, epoch, answer, err)
		return
	}
	l.failures, l.refusals = 0, 0
	a.candidate.Store(nil)
	a.confirmState(state)
	a.observeClock(d.Incarnation, answer)
	a.logLeftOut(d, listing.LeftOut)
	if l.forward(d, number, epoch, listing) {
		a.recordAnswering(d)
	}
	newEnds := len(listing.Ends) > 0 && listing.Ends[len(listing.Ends)-1].Number > a.acknowledgedUpTo(a.state.Load())
	if newEnds || listing.LeftOut > 0 {
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
// refuses older holders.
func (a *Agent) listForNewHolder(holderLink *entryLink) {
	state := a.state.Load()
	if state.Description == nil {
		a.reportUnknownWorker(holderLink)
		return
	}
	a.sendListing(holderLink, state, a.envelope(state, holderLink.epoch()))
}

// sendListing requests a listing and sends it to the holder. A failure is left to the
// lister, whose next listing reports the state.
func (a *Agent) sendListing(holderLink *entryLink, state *gate.Worker, e runs.Envelope) {
	number := a.listingNumber.Add(1)
	listing, ok := a.requestListing(state, e)
	if !ok {
		return
	}
	holderLink.send(wire.TypeListing, wire.FromListing(dispatch.WorkerListing{
		Incarnation: state.Description.Incarnation, Number: number, Requested: a.listingNumber.Load(), Full: true,
		Running: listing.Running, Ends: listing.Ends, Partial: listing.Partial,
	}, holderLink.epoch()))
}

// requestListing requests a listing that does not wait for a run to end. It returns false if
// the described incarnation has not listed.
func (a *Agent) requestListing(state *gate.Worker, e runs.Envelope) (runs.Listing, bool) {
	d := state.Description
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	listing, answer, err := a.worker.List(ctx, e, a.acknowledgedUpTo(state), 0)
	if err != nil || answer.Result != runs.ResultOK || isOfOtherIncarnation(&listing, d) {
		return runs.Listing{}, false
	}
	a.confirmState(state)
	a.observeClock(d.Incarnation, answer)
	return listing, true
}

// confirmState records that the worker has answered a listing requested in the given state.
// The holder hears of an incarnation once it has answered.
func (a *Agent) confirmState(state *gate.Worker) {
	first := false
	a.updateState(func(w gate.Worker) gate.Worker {
		if !w.Describes(state.Description.Incarnation) {
			return w
		}
		first = !w.Verified
		return w.Confirm(state.Generation)
	})
	if first {
		a.sendDescription(a.holderLink.Load())
	}
}

// forward sends a listing to the holder. A listing that was requested under another
// epoch is dropped, as it has not fenced the worker for this holder. It reports whether
// the holder knows the worker's state.
func (l *lister) forward(d *runs.Description, number uint64, epoch carobkeel.Epoch, listing runs.Listing) bool {
	holderLink := l.agent.holderLink.Load()
	if holderLink == nil || holderLink.epoch() != epoch {
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
		Partial: listing.Partial,
	}
	if first {
		l.agent.sendDescription(holderLink) // who has verified the worker may not have sent it yet
	}
	if full {
		report.Running = l.withoutKnownCheckpoints(listing.Running, holderLink, epoch)
		l.lastFullAt, l.lastFullLink, l.lastListed = now, holderLink, d.Incarnation
	}
	holderLink.send(wire.TypeListing, wire.FromListing(report, epoch))
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
	for i := range reported {
		r := &reported[i]
		key := runKey{task: r.Task, run: r.Run}
		l.checkpoints[key] = r.Checkpoint
		if r.Checkpoint == known[key] {
			r.Checkpoint = ""
		}
	}
	return reported
}

// handleFailure records a listing that was refused or not answered, and waits before
// the next one.
func (l *lister) handleFailure(ctx context.Context, d *runs.Description, epoch carobkeel.Epoch, answer runs.Answer, err error) {
	a := l.agent
	l.failures++
	a.metrics.ListingsFailed.Inc(1)
	l.lastFullLink = nil
	if err == nil && answer.Result != runs.ResultUnhealthy {
		a.logRefused(d, answer.Result)
	}
	if hasEnded(answer, err) {
		a.reportShutdown(d.Incarnation)
	}
	a.examineCandidate()
	if !a.state.Load().Describes(d.Incarnation) {
		l.failures, l.refusals = 0, 0 // they say nothing about the incarnation that is known now
		return
	}
	if l.failures >= unresponsiveAfter {
		l.reportUnresponsive(d, err)
	}
	if l.suspectRestart(d, epoch, answer, err) {
		return // nothing starts on the worker before it has answered
	}
	// The listing's context may have ended, which must not cut the pause short.
	a.waitForChange(context.WithoutCancel(ctx), retryPause)
}

func (a *Agent) logRefused(d *runs.Description, result runs.Result) {
	if skipped, ok := a.listingsRefused.Allow(time.Now()); ok {
		a.log.Warn().Stringer("result", result).Str("worker", d.ID).Int64("skipped", skipped).Msg("listing refused")
	}
}

// mayRetryAtOnce reports whether the next listing follows one without an answer without a
// pause.
func (l *lister) mayRetryAtOnce() bool {
	now := time.Now()
	if l.failures > 1 || now.Sub(l.retriedAt) < immediateRetryInterval {
		return false
	}
	l.retriedAt = now
	return true
}

// suspectRestart raises the generation of the calls to the worker after a listing without a
// usable answer, and reports whether the next one is due at once. A refusal under no epoch, or
// one that is over, says nothing about the generation, nor does a worker that answers that it
// is unhealthy.
func (l *lister) suspectRestart(d *runs.Description, epoch carobkeel.Epoch, answer runs.Answer, err error) bool {
	a := l.agent
	holder := a.holder.Load()
	isCurrent := holder.Known && epoch == holder.Epoch
	switch {
	case err != nil:
		a.doubt(d.Incarnation, doubtNoAnswer, func(w gate.Worker) gate.Worker { return w.Suspect(time.Now()) })
		return l.mayRetryAtOnce()
	case answer.Result == runs.ResultOtherIncarnation:
		a.doubt(d.Incarnation, doubtOtherIncarnation, func(w gate.Worker) gate.Worker { return w.Deny(time.Now()) })
		return l.mayRetryAtOnce()
	case answer.Result == runs.ResultStaleEpoch && isCurrent:
		l.refusals++
		a.doubt(d.Incarnation, doubtOvertaken, func(w gate.Worker) gate.Worker { return w.Overtake(l.refusals) })
		return l.refusals <= gate.MaxRefusals
	}
	return false
}

// Reasons for which the generation of the calls to a worker rises.
const (
	doubtNoAnswer         = "a listing got no answer"
	doubtOtherIncarnation = "another incarnation answered"
	doubtOvertaken        = "the worker knows a later generation"
	doubtHeartbeat        = "a heartbeat under its ID states another start"
)

// doubt changes the state of an incarnation that may have ended, and returns the state. The
// first doubt about a confirmed incarnation is logged.
func (a *Agent) doubt(incarnation runs.Incarnation, reason string, change func(gate.Worker) gate.Worker) *gate.Worker {
	confirmed := false
	a.updateState(func(w gate.Worker) gate.Worker {
		if confirmed = w.Confirmed; !w.Describes(incarnation) {
			confirmed = false
			return w
		}
		return change(w)
	})
	state := a.state.Load()
	if confirmed {
		a.log.Warn().Str("reason", reason).Str("worker", incarnation.ID).Int64("born", incarnation.StartedAtMs).
			Uint32("generation", uint32(state.Generation)).Msg("generation raised")
	}
	return state
}

// reportUnresponsive tells the holder that the worker does not answer, and how long
// its lease may still be valid.
func (l *lister) reportUnresponsive(d *runs.Description, err error) {
	a := l.agent
	first := !a.unresponsive.Swap(true)
	remaining := a.leaseRemaining()
	if first {
		a.log.Warn().Err(err).Str("worker", d.ID).Dur("lease_left", remaining).Msg("worker does not answer")
	}
	sendUnreachable(a.holderLink.Load(), remaining)
}

// reportUnknownWorker tells the holder that this process knows no worker yet. It has extended no
// lease, so only one that an earlier process extended may still be valid.
func (a *Agent) reportUnknownWorker(holderLink *entryLink) {
	a.unresponsive.Store(true)
	sendUnreachable(holderLink, max(0, a.earlierLeaseRemaining()))
}

// sendUnreachable tells the holder that the worker is not reached, and how long its
// lease may still be valid.
func sendUnreachable(holderLink *entryLink, remaining time.Duration) {
	if holderLink == nil {
		return
	}
	holderLink.send(wire.TypeWorkerUnreachable, &wire.WorkerUnreachable{Remaining: remaining.Milliseconds()})
}

// leaseRemaining returns how long the worker's lease may still be valid, or
// gate.UnknownRemaining.
func (a *Agent) leaseRemaining() time.Duration {
	remaining := gate.LeaseRemaining(a.clockOf(a.state.Load().Description), time.Duration(a.deadline.Load()), clock.Boottime())
	if earlier := a.earlierLeaseRemaining(); earlier > 0 {
		return max(earlier, remaining)
	}
	return remaining
}

// earlierLeaseRemaining returns how long a lease that an earlier process of this sidecar
// extended may still be valid.
func (a *Agent) earlierLeaseRemaining() time.Duration {
	return a.started + gate.LongestLease(a.config.WorkerLease) - clock.Boottime()
}

// acknowledgedUpTo returns the number up to which the incarnation's ended runs are
// acknowledged. It is zero while another incarnation, whose ends are numbered anew, may have
// followed.
func (a *Agent) acknowledgedUpTo(state *gate.Worker) uint64 {
	if acknowledged := a.acknowledged.Load(); state.Confirmed && acknowledged.incarnation == state.Description.Incarnation {
		return acknowledged.upTo
	}
	return 0
}
