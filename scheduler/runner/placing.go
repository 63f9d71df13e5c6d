package runner

import (
	"context"
	"sync"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/worker"
)

// exchangeWidth bounds the exchanges under way at once.
const exchangeWidth = 64

// answer is the outcome of one exchange.
type answer struct {
	member Member
	report scheduler.Report
	err    error
}

// exchangeAll talks to the workers whose heartbeat is due or who have to be
// told something. A worker has one exchange under way at a time.
func (r *Runner) exchangeAll(ctx context.Context) {
	now := r.config.Now()
	var due []Member
	var commands [][]scheduler.Command
	for _, member := range r.config.Workers.Members() {
		last, ok := r.exchanged[member.ID]
		if ok && now.Sub(last) < r.config.Heartbeat && !r.shard.IsPressing(member.ID) {
			continue
		}
		r.exchanged[member.ID] = now
		due = append(due, member)
		commands = append(commands, r.shard.Commands(now, member.ID, r.lease.KeepUntil()))
	}
	for _, a := range r.exchange(ctx, due, commands) {
		if a.err != nil {
			r.config.Metrics.lostReports.Inc(1)
			continue
		}
		if r.shard.Report(r.config.Now(), a.report) {
			r.join(a.member, a.report)
		}
	}
}

func (r *Runner) exchange(ctx context.Context, due []Member, commands [][]scheduler.Command) []answer {
	answers := make([]answer, len(due))
	slots := make(chan struct{}, exchangeWidth)
	var running sync.WaitGroup
	for i := range due {
		slots <- struct{}{}
		running.Go(func() {
			report, err := r.config.Workers.Exchange(ctx, due[i].ID, commands[i])
			answers[i] = answer{member: due[i], report: report, err: err}
			<-slots
		})
	}
	running.Wait()
	return answers
}

// join brings the planner's fleet in line with a report.
func (r *Runner) join(member Member, report scheduler.Report) {
	known, ok := r.registry.Fleet().Worker(member.ID)
	if ok && known.Capacity == report.Capacity && known.Status == worker.StatusReady {
		return
	}
	now := r.config.Wall()
	r.registry.Update(func(e *worker.Edit) {
		e.Join(worker.Worker{ID: member.ID, Location: member.Location, Capacity: report.Capacity})
		for _, job := range r.shard.Placed(member.ID) {
			request := requestFor(&job)
			e.Restore(member.ID, &worker.Task{
				ID: request.Task, Job: job.ID, Owner: job.Owner, Entry: job.Entry, Group: request.Group,
				Class: job.Class, Urgency: request.Urgency, Reserved: job.Demand, StartedAt: now,
			})
		}
	})
	r.fleetChanged = true
}

// settleFleet takes tasks that have left their workers out of the fleet and
// marks silent workers.
func (r *Runner) settleFleet() {
	if r.fleetChanged {
		// What fitted nowhere may fit now.
		r.shard.Release(carobkeel.CodeNeverFits)
		r.fleetChanged = false
	}
	freed := r.shard.Freed()
	now := r.config.Now()
	var silent []worker.ID
	r.registry.Fleet().Each(func(w *worker.Worker) bool {
		if w.Status == worker.StatusReady && r.shard.IsSilent(now, w.ID) {
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
// has lapsed: the claims could not be written anyway.
func (r *Runner) place(ctx context.Context) {
	now := r.config.Now()
	if now >= r.lease.LapsesAt() || r.shard.IsSuperseded() {
		return
	}
	r.startClaimed(ctx)
	jobs := r.shard.Waiting(r.config.Placements)
	if len(jobs) == 0 {
		return
	}
	requests := make([]worker.Request, len(jobs))
	for i := range jobs {
		requests[i] = requestFor(&jobs[i])
	}
	fleet := r.registry.Fleet()
	plan, decisions := worker.PlaceAll(fleet, requests, worker.DefaultPolicy(), r.config.Seed+r.rounds, r.config.Wall())
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
		r.take(ctx, &jobs[i], decisions[i], outcomes)
	}
}

// take acts on the decision about one job.
func (r *Runner) take(ctx context.Context, job *scheduler.Job, d worker.Decision, outcomes map[carobkeel.TaskID]worker.Outcome) {
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

// claim claims the next generation of a job for a worker that has room.
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

// checkpoint returns the whole checkpoint that a job resumes from, empty where
// it has none.
func (r *Runner) checkpoint(ctx context.Context, job *scheduler.Job) (string, error) {
	if job.Generation == 0 || r.config.Objects == nil {
		return "", nil
	}
	return store.LastWholeCheckpoint(ctx, r.config.Objects, job.Ref().Task)
}

// startClaimed places the jobs whose evictions have made room.
func (r *Runner) startClaimed(ctx context.Context) {
	var ready []scheduler.Freed
	r.registry.Fleet().Each(func(w *worker.Worker) bool {
		if w.Claimed.IsZero() {
			return true
		}
		for _, task := range w.Startable() {
			ready = append(ready, scheduler.Freed{Task: task.ID, Worker: w.ID})
		}
		return true
	})
	for _, claimed := range ready {
		r.startOne(ctx, claimed)
	}
}

func (r *Runner) startOne(ctx context.Context, claimed scheduler.Freed) {
	started := false
	r.registry.Update(func(e *worker.Edit) {
		started = e.Started(claimed.Worker, claimed.Task, r.config.Wall())
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
