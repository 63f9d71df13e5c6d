package runner

import (
	"context"
	"sync"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/worker"
)

// maxExchanges bounds the concurrent exchanges.
const maxExchanges = 64

// exchangeResult is the outcome of one exchange.
type exchangeResult struct {
	member Member
	report scheduler.Report
	err    error
}

// exchangeAll exchanges commands and reports with the workers whose heartbeat is
// due or that need a command before it. A worker has at most one exchange in
// flight.
func (r *Runner) exchangeAll(ctx context.Context) {
	now := r.config.Now()
	var due []Member
	var commands [][]scheduler.Command
	for _, member := range r.config.Workers.Members() {
		last, ok := r.exchanged[member.ID]
		if ok && now.Sub(last) < r.config.HeartbeatInterval && !r.shard.NeedsExchange(member.ID) {
			continue
		}
		r.exchanged[member.ID] = now
		due = append(due, member)
		commands = append(commands, r.shard.Commands(now, member.ID, r.lease.GrantsEnd()))
	}
	for _, a := range r.exchange(ctx, due, commands) {
		if a.err != nil {
			r.config.Metrics.lostReports.Inc(1)
			continue
		}
		if r.shard.Report(r.config.Now(), a.report) {
			r.updateWorker(a.member, a.report)
		}
	}
}

func (r *Runner) exchange(ctx context.Context, due []Member, commands [][]scheduler.Command) []exchangeResult {
	answers := make([]exchangeResult, len(due))
	slots := make(chan struct{}, maxExchanges)
	var running sync.WaitGroup
	for i := range due {
		slots <- struct{}{}
		running.Go(func() {
			report, err := r.config.Workers.Exchange(ctx, due[i].ID, commands[i])
			answers[i] = exchangeResult{member: due[i], report: report, err: err}
			<-slots
		})
	}
	running.Wait()
	return answers
}

// updateWorker adds the worker of a report to the registry's fleet, or updates
// it if its capacity has changed or it was not ready.
func (r *Runner) updateWorker(member Member, report scheduler.Report) {
	known, ok := r.registry.Fleet().Worker(member.ID)
	if ok && known.Capacity == report.Capacity && known.Status == worker.StatusReady {
		return
	}
	now := r.config.WallClock()
	r.registry.Update(func(e *worker.Edit) {
		e.Join(worker.Worker{ID: member.ID, Location: member.Location, Capacity: report.Capacity})
		for _, job := range r.shard.PlacedOn(member.ID) {
			request := requestFor(&job)
			e.Restore(member.ID, &worker.Task{
				ID: request.Task, Job: job.ID, Owner: job.Owner, Entry: job.Entry, Group: request.Group,
				Class: job.Class, Urgency: request.Urgency, Reserved: job.Demand, StartedAt: now,
			})
		}
	})
	r.fleetChanged = true
}

// syncFleet removes tasks that have left their workers from the registry's fleet
// and marks workers that have stopped reporting as lost.
func (r *Runner) syncFleet() {
	if r.fleetChanged {
		// Jobs that fitted on no worker may fit now.
		r.shard.Release(carobkeel.CodeNeverFits)
		r.fleetChanged = false
	}
	freed := r.shard.Freed()
	now := r.config.Now()
	var silent []worker.ID
	r.registry.Fleet().Each(func(w *worker.Worker) bool {
		if w.Status == worker.StatusReady && r.shard.HasTimedOut(now, w.ID) {
			silent = append(silent, w.ID)
		}
		return true
	})
	if len(freed) == 0 && len(silent) == 0 {
		return
	}
	r.registry.Update(func(e *worker.Edit) {
		for _, f := range freed {
			e.Remove(f.Worker, f.Task)
		}
		for _, id := range silent {
			e.SetStatus(id, worker.StatusLost)
		}
	})
}

// place finds workers for waiting jobs. It places nothing once the shard lease
// has expired, because another scheduler may already hold the shard and the
// writes of the placements would then be refused.
func (r *Runner) place(ctx context.Context) {
	now := r.config.Now()
	if now >= r.lease.ExpiresAt() || r.shard.IsSuperseded() {
		return
	}
	r.placeAfterEvictions(ctx)
	jobs := r.shard.Waiting(r.config.MaxPlacements)
	if len(jobs) == 0 {
		return
	}
	requests := make([]worker.Request, len(jobs))
	for i := range jobs {
		requests[i] = requestFor(&jobs[i])
	}
	fleet := r.registry.Fleet()
	plan, decisions := worker.PlaceAll(fleet, requests, worker.DefaultPolicy(), r.config.Seed+r.rounds, r.config.WallClock())
	result := r.registry.Commit(plan)
	for _, preemption := range result.Evicted {
		r.shard.Evict(now, preemption.Task)
		r.config.Metrics.evicted.Inc(1)
	}
	outcomes := make(map[carobkeel.TaskID]worker.Outcome, len(result.Outcomes))
	for _, outcome := range result.Outcomes {
		outcomes[outcome.Task] = outcome
	}
	for i := range jobs {
		r.applyDecision(ctx, &jobs[i], decisions[i], outcomes)
	}
}

// applyDecision executes the placement decision for one job.
func (r *Runner) applyDecision(ctx context.Context, job *scheduler.Job, d worker.Decision, outcomes map[carobkeel.TaskID]worker.Outcome) {
	if d.Verdict == worker.VerdictNeverFits || d.Verdict == worker.VerdictInvalid {
		if r.registry.Fleet().Len() > 0 {
			coded := carobkeel.AsError(d.Err)
			r.config.Metrics.neverFits.Inc(1)
			r.shard.Hold(job.ID, carobkeel.CodeNeverFits, coded.Detail)
			return
		}
	}
	outcome, ok := outcomes[job.Ref().Task]
	if !ok || outcome.Err != nil {
		r.shard.Defer(job.ID)
		return
	}
	if !outcome.Claimed {
		r.claim(ctx, job, outcome.Worker)
	}
}

// claim assigns the next run of a job to a worker that has room.
func (r *Runner) claim(ctx context.Context, job *scheduler.Job, to worker.ID) {
	checkpoint, err := r.checkpoint(ctx, job)
	if err == nil {
		err = r.shard.Place(r.config.Now(), job.ID, to, checkpoint)
	}
	if err != nil {
		r.registry.Update(func(e *worker.Edit) { e.Remove(to, job.Ref().Task) })
		r.shard.Defer(job.ID)
		return
	}
	r.config.Metrics.placed.Inc(1)
}

// checkpoint returns the name of the complete checkpoint that a job resumes from,
// empty if it has none.
func (r *Runner) checkpoint(ctx context.Context, job *scheduler.Job) (string, error) {
	if job.Run == 0 || r.config.Objects == nil {
		return "", nil
	}
	return store.LastValidCheckpoint(ctx, r.config.Objects, job.Ref().Task)
}

// placeAfterEvictions places the jobs for which evictions have made room.
func (r *Runner) placeAfterEvictions(ctx context.Context) {
	var ready []scheduler.FreedTask
	r.registry.Fleet().Each(func(w *worker.Worker) bool {
		if w.Claimed.IsZero() {
			return true
		}
		for _, task := range w.Startable() {
			ready = append(ready, scheduler.FreedTask{Task: task.ID, Worker: w.ID})
		}
		return true
	})
	for _, claimed := range ready {
		r.placeAfterEviction(ctx, claimed)
	}
}

func (r *Runner) placeAfterEviction(ctx context.Context, claimed scheduler.FreedTask) {
	started := false
	r.registry.Update(func(e *worker.Edit) {
		started = e.Started(claimed.Worker, claimed.Task, r.config.WallClock())
	})
	if !started {
		return
	}
	job, ok := r.shard.Job(carobkeel.JobID(claimed.Task))
	if !ok || !job.State.IsWaiting() {
		r.registry.Update(func(e *worker.Edit) { e.Remove(claimed.Worker, claimed.Task) })
		return
	}
	r.claim(ctx, &job, claimed.Worker)
}

func requestFor(job *scheduler.Job) worker.Request {
	request := worker.Request{
		Task: job.Ref().Task, Job: job.ID, Owner: job.Owner, Entry: job.Entry, Group: string(job.ID),
		Class: job.Class, Urgency: worker.UrgencyNormal, Demand: job.Demand,
	}
	if n := len(job.FailedOn); n > 0 {
		request.Avoid = job.FailedOn[n-1]
	}
	return request
}
