package dispatch_test

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

const (
	vanishingTick = 50 * time.Millisecond
	// vanishingMaxLease is longer than the longest lease elsewhere, so that it goes on after all
	// that vanishes before the cut.
	vanishingMaxLease = 20 * time.Second
	// extendAuthority is how long after its last read of the store a holder answers pings, and
	// holdAuthority how long after that it ends.
	extendAuthority = 3 * time.Second
	holdAuthority   = 6 * time.Second
	// takeoverDelay is the time between the end of a holder and the takeover by the next one.
	takeoverDelay = 300 * time.Millisecond
)

// vanishingWorld plays one holder at a time, two hosts with their sidecars and workers, and what
// is stored, in virtual time. All exchange what they have to say in each tick.
type vanishingWorld struct {
	now    time.Duration
	record *standin.Record
	hosts  []*vanishingHost
	jobs   []*carobkeel.JobSpec
	broken brokenKnowledge
	store  struct {
		workers map[runs.Incarnation]dispatch.WorkerRecord
		// awayUntil is when the store answers again.
		awayUntil time.Duration
		// rejects and fails count the batches with records of h0's worker that are rejected, or fail.
		rejects, fails int
	}
	core  *dispatch.Core // nil while there is no holder
	epoch carobkeel.Epoch
	// held is when the holder last read the store, and takeoverAt when the next one takes over.
	held, takeoverAt time.Duration
	pending          *dispatch.Batch
	links            dispatch.LinkID
	// knowers are those by whom the lease of a late call to the present incarnation was counted.
	knowers []string
}

// brokenKnowledge selects knowledge of late calls that a test withholds on purpose.
type brokenKnowledge struct {
	// noEnded and noLateMarks withhold the records of ended incarnations, and the marks of late
	// leases, from the next holder.
	noEnded, noLateMarks bool
	// noRecords withholds all records of workers.
	noRecords bool
	// noAge has a process of the sidecar speak for those before it.
	noAge bool
	// noCalls has a process of the sidecar forget its calls without an answer.
	noCalls bool
	// idleLeases extends the lease of workers without runs.
	idleLeases bool
	// suspendedCounts counts the time in which a host stood still in the age of calls on it.
	suspendedCounts bool
	// shortCalls takes the lease of a call as over once the call is too old.
	shortCalls bool
	// shortEnded removes a record instead of marking it as ended.
	shortEnded bool
	// noStops has the sidecar not stop by itself what a holder need not know of.
	noStops bool
	// noLateStarts has the sidecar not report the tasks of starts without an answer.
	noLateStarts bool
}

func newVanishingWorld(broken brokenKnowledge) *vanishingWorld {
	w := &vanishingWorld{now: time.Hour, record: standin.NewRecord(), broken: broken}
	w.store.workers = make(map[runs.Incarnation]dispatch.WorkerRecord)
	w.takeOver()
	for _, name := range []string{"h0", "h1"} {
		h := &vanishingHost{world: w, name: name}
		h.worker = standin.New(standin.Config{
			Description: runs.Description{
				Incarnation: runs.Incarnation{ID: "w-" + name, StartedAtMs: 1}, Service: testService, Sequence: 1,
				Capacity: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30},
			},
			MaxLease: vanishingMaxLease, StopGrace: testStopGrace, Record: w.record,
			Work:   func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} },
			Admits: func(_ carobkeel.TaskName, ticket string) bool { return ticket != refusedTicket },
		})
		h.worker.Advance(time.Minute) // the clock is far ahead of that of the next incarnation
		w.hosts = append(w.hosts, h)
	}
	return w
}

// takeOver begins the term of a holder.
func (w *vanishingWorld) takeOver() {
	w.epoch++
	w.held, w.takeoverAt, w.pending = w.now, 0, nil
	config := dispatch.Config{Epoch: w.epoch, WorkerLease: testLease, MaxLease: vanishingMaxLease, InheritedLease: testLease}
	w.core = dispatch.New(config, w.instant(), w.storedWorkers())
	for _, job := range w.jobs {
		w.core.AddJob(job, true)
	}
	for _, h := range w.hosts {
		h.lastProcess, h.lastNumber = 0, 0
	}
}

func (w *vanishingWorld) storedWorkers() []dispatch.WorkerRecord {
	var records []dispatch.WorkerRecord
	for _, r := range w.store.workers {
		if w.broken.noRecords || (r.Ended && w.broken.noEnded) {
			continue
		}
		r.LateLease = r.LateLease && !w.broken.noLateMarks
		records = append(records, r)
	}
	return records
}

// killHolder ends the holder, whose batch in flight may still be stored. Another one takes over.
func (w *vanishingWorld) killHolder(stored bool) {
	if w.core == nil {
		return
	}
	if stored && w.pending != nil && w.isStoreThere() {
		w.apply(w.pending)
	}
	w.core, w.pending = nil, nil
	w.takeoverAt = w.now + takeoverDelay
}

func (w *vanishingWorld) isStoreThere() bool { return w.now >= w.store.awayUntil }

func (w *vanishingWorld) instant() dispatch.Now {
	return dispatch.Now{Monotonic: w.now, Held: w.held, Wall: time.Unix(1_000_000, 0).Add(w.now)}
}

// run lets time pass.
func (w *vanishingWorld) run(d time.Duration) {
	w.until(d, func() bool { return false })
}

// until lets time pass until a condition holds, for d at most.
func (w *vanishingWorld) until(d time.Duration, holds func() bool) bool {
	for end := w.now + d; w.now < end; {
		if holds() {
			return true
		}
		w.tick()
	}
	return holds()
}

func (w *vanishingWorld) tick() {
	w.now += vanishingTick
	for _, h := range w.hosts {
		h.tick()
	}
	switch {
	case w.core != nil:
		w.tickHolder()
	case w.isStoreThere() && w.now >= w.takeoverAt:
		w.takeOver()
	}
}

func (w *vanishingWorld) tickHolder() {
	if w.isStoreThere() {
		w.held = w.now
	}
	if w.now-w.held > holdAuthority {
		w.killHolder(false)
		return
	}
	w.core.Advance(w.instant())
	out := w.core.Finish()
	for _, o := range slices.Concat(out.RecordedWorkers, out.Orders) {
		w.host(o.Host).receive(o)
	}
	w.noteKnowers(out.Decisions)
	w.persist()
}

// persist stores each batch one tick after it was taken.
func (w *vanishingWorld) persist() {
	if !w.isStoreThere() {
		return
	}
	if w.pending != nil {
		w.finishBatch(*w.pending)
		w.pending = nil
	}
	if w.core.HasBatch() {
		batch := w.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10, Single: w.store.rejects > 0})
		w.pending = &batch
	}
}

func (w *vanishingWorld) finishBatch(b dispatch.Batch) {
	ofWorkers := isAboutHost(&b, "h0")
	switch {
	case ofWorkers && w.store.rejects > 0:
		w.store.rejects--
		w.core.BatchRejected(b)
	case ofWorkers && w.store.fails > 0:
		w.store.fails--
		w.core.BatchFailed(b)
	default:
		w.apply(&b)
		w.core.BatchStored(b)
	}
}

// isAboutHost reports whether a batch writes a record of a host's worker.
func isAboutHost(b *dispatch.Batch, host string) bool {
	return slices.ContainsFunc(slices.Concat(b.Workers, b.Ended), func(r dispatch.WorkerRecord) bool { return r.Host == host })
}

func (w *vanishingWorld) apply(b *dispatch.Batch) {
	for _, r := range slices.Concat(b.Workers, b.Ended) {
		w.store.workers[r.Incarnation] = r
		if r.Ended && w.broken.shortEnded {
			delete(w.store.workers, r.Incarnation)
		}
	}
	for _, incarnation := range b.Forgotten {
		delete(w.store.workers, incarnation)
	}
}

func (w *vanishingWorld) host(name string) *vanishingHost {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *vanishingHost) bool { return h.name == name })]
}

// submit has the holder know a job of one task that lasts and fills a worker.
func (w *vanishingWorld) submit() {
	job := &carobkeel.JobSpec{
		ID: "0000000000000001", Queue: testQueue(0, 99), Payload: "payload",
		Steps: []carobkeel.Step{{
			Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1}, Estimate: time.Minute, LongRunning: true,
		}},
	}
	w.jobs = append(w.jobs, job)
	if w.core != nil {
		w.core.AddJob(job, false)
	}
}

// noteKnowers notes by whom the lease of a late call is counted.
func (w *vanishingWorld) noteKnowers(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.Kind == dispatch.DecidedLateLease && d.Host == "h0" {
			w.knowers = append(w.knowers, w.hosts[0].knower())
		}
	}
}
