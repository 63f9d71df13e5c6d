package jobs

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/platform/standin"
)

const service carobkeel.Service = "dispatch"

const callerHost = "desk.example"

var (
	urgent = carobkeel.Queue{
		Name: "urgent", Host: callerHost, PathPrefix: "/urgent/", Service: service, Priority: 0, MaxAttempts: 3,
		Timeout: 3 * time.Second, SlowdownFactor: 1.5, Objective: 300 * time.Millisecond,
	}
	batch = carobkeel.Queue{
		Name: "batch", Host: callerHost, PathPrefix: "/batch/", Service: service, Priority: 2, MaxAttempts: 3,
		Timeout: 3 * time.Second, SlowdownFactor: 2, Objective: time.Second,
	}
	configuration = carobkeel.QueueConfig{
		Version: 7, Queues: []carobkeel.Queue{urgent, batch}, Pools: []carobkeel.WorkerPool{{Service: service}},
		MaxBodyBytes: 256 << 10,
	}
)

// What callers draw.
const (
	urgentShare  = 0.6
	twoStepShare = 0.4
	// moreStepsShare is the share of jobs of two steps that have more.
	moreStepsShare = 0.5
	cancelShare    = 0.05
	saveShare      = 0.3
	// repeatShare is the share of submissions that are repeated, seconds after their
	// answers, while callers repeat requests.
	repeatShare   = 0.5
	mostTasks     = 9
	meanTasks     = 5.8
	tasksASecond  = 50
	jobMemory     = 960 << 20
	lastingTasks  = 6
	estimateError = 10
	submitTries   = 8
	submitPause   = 300 * time.Millisecond
	statePause    = time.Second
)

// generator draws jobs by a seed.
type generator struct {
	random *rand.Rand
	// more draws the steps beyond the second, so that all else is drawn alike without them.
	more *generator
	// mostSteps is how many steps a job has at most.
	mostSteps int
}

func newGenerator(seed uint64, mostSteps int) *generator {
	return &generator{
		random: rand.New(rand.NewPCG(seed, 1)), mostSteps: mostSteps,
		more: &generator{random: rand.New(rand.NewPCG(seed, 2))},
	}
}

func (g *generator) between(least, most float64) float64 {
	return least + (most-least)*g.random.Float64()
}

func (g *generator) spec(queue carobkeel.Queue) *carobkeel.JobSpec {
	return &carobkeel.JobSpec{ID: carobkeel.JobID(fmt.Sprintf("%016x", g.random.Uint64())), Queue: queue, ConfigVersion: configuration.Version}
}

// next returns the next job. Estimates are off by up to estimateError.
func (g *generator) next() *carobkeel.JobSpec {
	job, longest, largest := g.spec(urgent), 2.5, 1400.0
	if g.random.Float64() > urgentShare {
		job, longest, largest = g.spec(batch), 6, 4000
	}
	work := time.Duration(g.between(0.1, longest) * float64(time.Second))
	saves := g.random.Float64() < saveShare
	job.Payload = standin.Spec(work, saves)
	job.Steps = []carobkeel.Step{g.step(work, largest)}
	if g.random.Float64() < twoStepShare {
		job.Steps = append(job.Steps, g.following(work, largest, 0))
		job.Steps = append(job.Steps, g.more.moreSteps(work, largest, g.mostSteps)...)
	}
	for i := range job.Steps {
		job.Steps[i].SavesProgress = saves
	}
	return job
}

// following returns a step that follows others.
func (g *generator) following(work time.Duration, largest float64, after ...int) carobkeel.Step {
	s := g.step(work, largest)
	s.Count = 1 + s.Count/3
	s.After = after
	return s
}

// moreSteps returns the steps beyond the second. Each follows the one before it, some follow
// an earlier one too.
func (g *generator) moreSteps(work time.Duration, largest float64, most int) []carobkeel.Step {
	var steps []carobkeel.Step
	for number := 2; number < most && g.random.Float64() < moreStepsShare; number++ {
		after := []int{number - 1}
		if g.random.IntN(2) == 0 {
			after = []int{g.random.IntN(number - 1), number - 1}
		}
		steps = append(steps, g.following(work, largest, after...))
	}
	return steps
}

func (g *generator) step(work time.Duration, largest float64) carobkeel.Step {
	wrong := math.Pow(estimateError, g.between(-1, 1))
	return carobkeel.Step{
		Count: 1 + g.random.IntN(mostTasks), Demand: carobkeel.Resources{MilliCPU: int64(g.between(200, largest)), MemoryBytes: jobMemory},
		Estimate: time.Duration(float64(work) * wrong).Truncate(time.Millisecond),
	}
}

// lasting returns a job whose tasks last.
func (g *generator) lasting() *carobkeel.JobSpec {
	job := g.spec(batch)
	job.Payload = standin.EndlessSpec
	job.Steps = []carobkeel.Step{{Count: lastingTasks, Demand: carobkeel.Resources{MilliCPU: 3000, MemoryBytes: jobMemory}, LongRunning: true}}
	return job
}

// caller sends the requests of callers to entries.
type caller interface {
	Submit(ctx context.Context, entry string, job *carobkeel.JobSpec, connected func()) standin.Reply
	State(ctx context.Context, entry string, job *carobkeel.JobSpec) standin.Reply
	Cancel(ctx context.Context, entry string, job *carobkeel.JobSpec) standin.Reply
}

// traffic submits jobs and follows them until they have ended.
type traffic struct {
	fleet  *fleet
	caller caller
	jobs   *generator
	// repeats reports that callers repeat requests.
	repeats  atomic.Bool
	submits  sync.WaitGroup
	sent     atomic.Int64
	accepted atomic.Int64
	ended    atomic.Int64
}

func newTraffic(f *fleet, seed uint64, mostSteps int) *traffic {
	return &traffic{fleet: f, caller: standin.NewCaller(), jobs: newGenerator(seed, mostSteps)}
}

// run submits jobs for a time. It returns once all are submitted; they are followed until
// follow ends.
func (t *traffic) run(ctx, follow context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	t.start(follow, t.jobs.lasting(), handling{})
	gap := float64(time.Second) * meanTasks / tasksASecond
	for clock.Sleep(ctx, time.Duration(t.jobs.random.ExpFloat64()*gap)) == nil {
		t.start(follow, t.jobs.next(), t.handling())
	}
	t.submits.Wait()
	t.fleet.record.Add(judge.TrafficEnded{})
}

// handling is what a caller does with a job.
type handling struct {
	// entry is where the caller begins.
	entry int
	// repeatAfter and cancelAfter count from the acceptance; zero for never.
	repeatAfter, cancelAfter time.Duration
}

func (t *traffic) handling() handling {
	h := handling{entry: t.jobs.random.IntN(len(t.fleet.entries))}
	repeat, cancel := t.jobs.random.Float64() < repeatShare, t.jobs.random.Float64() < cancelShare
	if repeat && t.repeats.Load() {
		h.repeatAfter = time.Duration(t.jobs.between(1, 4) * float64(time.Second))
	}
	if cancel {
		h.cancelAfter = time.Duration(t.jobs.between(0.1, 3) * float64(time.Second))
	}
	return h
}

func (t *traffic) start(ctx context.Context, job *carobkeel.JobSpec, h handling) {
	t.sent.Add(1)
	t.submits.Add(1)
	go t.play(ctx, job, h)
}

// play submits a job, and then repeats, cancels and follows it as planned.
func (t *traffic) play(ctx context.Context, job *carobkeel.JobSpec, h handling) {
	accepted := t.submit(ctx, job, h.entry)
	t.submits.Done()
	if !accepted {
		return
	}
	t.accepted.Add(1)
	if h.repeatAfter > 0 && clock.Sleep(ctx, h.repeatAfter) == nil {
		t.attempt(ctx, job, h.entry+1, submitTries)
	}
	if h.cancelAfter > 0 && clock.Sleep(ctx, h.cancelAfter) == nil {
		t.cancel(ctx, job, h.entry)
	}
	t.follow(ctx, job, h.entry)
}

// submit submits a job through one entry after the other until it is accepted.
func (t *traffic) submit(ctx context.Context, job *carobkeel.JobSpec, entry int) bool {
	for attempt := range submitTries {
		if t.attempt(ctx, job, entry+attempt, attempt) {
			return true
		}
		if clock.Sleep(ctx, submitPause) != nil {
			return false
		}
	}
	return false
}

// attempt submits a job once and returns whether it was accepted.
func (t *traffic) attempt(ctx context.Context, job *carobkeel.JobSpec, entry, attempt int) bool {
	to, address := t.to(entry)
	target := judge.Target{Host: job.Queue.Host, Path: job.Queue.PathPrefix}
	sent := false
	reply := t.caller.Submit(ctx, address, job, func() {
		sent = true
		t.fleet.record.Add(judge.SubmissionSent{Job: job.ID, Attempt: attempt, Entry: to, Target: target, Spec: *job})
	})
	if sent {
		t.fleet.record.Add(judge.SubmissionAnswered{Job: job.ID, Attempt: attempt, Answer: reply.Answer})
	}
	return reply.Answer == judge.AnswerAccepted
}

// to returns an entry as the record names it, and its address.
func (t *traffic) to(entry int) (judge.Process, string) {
	entry %= len(t.fleet.entries)
	return judge.Process{Name: t.fleet.entries[entry].name}, t.fleet.caller(entry)
}

// cancel cancels a job through one entry after the other until that is acknowledged.
func (t *traffic) cancel(ctx context.Context, job *carobkeel.JobSpec, entry int) {
	for ctx.Err() == nil {
		to, address := t.to(entry)
		t.fleet.record.Add(judge.CancelSent{Job: job.ID, Entry: to})
		reply := t.caller.Cancel(ctx, address, job)
		if reply.Answer == judge.AnswerAccepted || reply.Answer == judge.AnswerGone {
			t.fleet.record.Add(judge.CancelAcknowledged{Job: job.ID})
			return
		}
		entry++
		_ = clock.Sleep(ctx, submitPause)
	}
}

// follow asks for the state of a job until it has ended.
func (t *traffic) follow(ctx context.Context, job *carobkeel.JobSpec, entry int) {
	for clock.Sleep(ctx, statePause) == nil {
		entry++
		to, address := t.to(entry)
		asked := t.fleet.record.Elapsed()
		reply := t.caller.State(ctx, address, job)
		if ctx.Err() != nil {
			return
		}
		t.fleet.record.Add(judge.StateAnswered{Job: job.ID, Entry: to, AskedAt: asked, Answer: reply.Answer, State: reply.State})
		if reply.Answer == judge.AnswerAccepted && reply.State >= carobkeel.JobCompleted {
			t.ended.Add(1)
			return
		}
	}
}
