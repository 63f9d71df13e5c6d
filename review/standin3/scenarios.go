package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// scenario is one case, with the numbers of entries and of side machines.
type scenario struct {
	entries, workers int
	play             func(*fleet)
}

var scenarios = map[string]scenario{
	"learned": {3, 3, learned},
	"recut":   {3, 3, recut},
	"silence": {3, 4, silence},
	"memory":  {3, 3, memory},
	"wide":    {3, 11, wide},
}

func spec() string { return fmt.Sprintf("work %d", rand.Uint64()) }

func smallJob(work time.Duration) *job {
	return &job{ID: newID(), Spec: spec(), Steps: []step{
		{Count: 6, CPU: 480, Memory: 900, Estimate: int(work.Milliseconds()), work: work},
		{Count: 3, CPU: 480, Memory: 900, Estimate: int(work.Milliseconds()), After: []int{0}, work: work},
	}}
}

// image returns the name of an image with its version.
func image(kind string, n int) string {
	return fmt.Sprintf("registry.msaada.example/dispatch/%s-%02d:2026.12.07-build.%04d", kind, n, 1000+n)
}

// learned runs lasting tasks that serve, and lasting tasks that fill, of many images on three workers. Then
// an empty worker is added and the one that runs most is emptied and taken away, six times.
func learned(f *fleet) {
	for n := range 24 {
		f.submit(watch, &job{ID: newID(), Spec: spec(), Steps: []step{{
			Count: 2, CPU: 1000, Memory: 900, Estimate: 1000, Perpetual: true, Image: image("watch", n), Target: 100, work: time.Hour,
		}}})
	}
	for n := range 40 {
		f.submit(batch, &job{ID: newID(), Spec: spec(), Steps: []step{{
			Count: len(f.workers), CPU: 100, Memory: 100, Estimate: 1000, Perpetual: true, Fills: true, AntiAffinity: 1, Image: image("build", n), work: time.Hour,
		}}})
	}
	time.Sleep(12 * time.Second)
	f.world.mu.Lock()
	f.world.note("learned row: %d bytes", len(f.store.read(rowID{Table: "learned", Part: "shard-0", Key: "images"}).Value))
	f.world.mu.Unlock()
	go f.watchLasting()
	for range 6 {
		busiest, runs := f.busiest()
		if runs == 0 {
			break
		}
		if f.trouble {
			if _, err := f.addSide(); err != nil {
				f.world.note("no side machine added: %v", err)
				return
			}
		}
		time.Sleep(4 * time.Second)
		if f.trouble {
			f.removeSide(busiest)
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(16 * time.Second)
}

// busiest returns the index of the worker that runs most, and how much it runs.
func (f *fleet) busiest() (index, runs int) {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	for i, w := range f.workers {
		if len(w.running) > runs {
			index, runs = i, len(w.running)
		}
	}
	return index, runs
}

// wide hands in one job with a step of many small tasks, beside lasting tasks and a stream of small
// urgent jobs of others. Less than half of the capacity is ever in use.
func wide(f *fleet) {
	for _, p := range f.entries {
		go p.limitShare(0.4)
	}
	for range 2 {
		j := &job{ID: newID(), Spec: spec(), Steps: []step{{Count: 6, CPU: 6400, Memory: 13000, Estimate: 1000, Perpetual: true, work: time.Hour}}}
		f.submit(watch, j)
	}
	if f.trouble {
		f.clients.Add(1)
		time.AfterFunc(5*time.Second, func() {
			defer f.clients.Done()
			f.world.disturb("one large job")
			f.submit(batch, &job{ID: newID(), Spec: spec(), Steps: []step{{Count: 80000, CPU: 10, Memory: 16, Estimate: 2000, work: 2 * time.Second}}})
		})
	}
	go f.watchLasting()
	var small []*job
	for begun := time.Now(); time.Since(begun) < 50*time.Second; time.Sleep(400 * time.Millisecond) {
		j := smallJob(time.Second)
		small = append(small, j)
		f.clients.Add(1)
		go func() {
			defer f.clients.Done()
			f.submit(urgent, j)
		}()
	}
	f.clients.Wait()
	f.finish(urgent, small)
}

const (
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running, and lastingGap how long before that a
	// lasting task's last run has ended.
	idleTime   = 3 * time.Second
	lastingGap = 6 * time.Second
	// calmTime is how long nothing may have disturbed the deployment: the time for which a task has
	// not run, and contact_ms and one second before.
	calmTime = idleTime + 4*time.Second
)

// inUse returns the share of the processors of all workers that is in use. The caller holds the
// world's lock.
func (f *fleet) inUse() float64 {
	used, capacity := 0, 0
	for _, w := range f.workers {
		capacity += w.cpu
		for _, r := range w.running {
			if !r.step.Fills {
				used += r.step.CPU
			}
		}
	}
	return float64(used) / float64(capacity)
}

// watchLasting judges the rule LOST on lasting tasks: none is without a run for long although there
// is room.
func (f *fleet) watchLasting() {
	since, reported := make(map[taskID]time.Time), make(map[taskID]bool)
	for {
		time.Sleep(50 * time.Millisecond)
		f.world.mu.Lock()
		now := time.Now()
		for t, h := range f.world.tasks {
			s := f.world.stepOf(t)
			if s == nil || !s.Perpetual {
				continue
			}
			if len(h.active) > 0 || f.inUse() >= 0.5 {
				delete(since, t)
				continue
			}
			if since[t].IsZero() {
				since[t] = now
			}
			if !reported[t] && now.Sub(since[t]) > lastingGap+idleTime && now.Sub(f.world.disturbed) > calmTime {
				reported[t] = true
				f.world.breakRule("LOST", "%s is to last and has not run for %v; %.0f%% of the capacity is in use", t, now.Sub(since[t]).Round(time.Millisecond), 100*f.inUse())
			}
		}
		f.world.mu.Unlock()
	}
}

// finish judges the rule LOST after the end of the traffic: each job is known, and none has nothing
// running for long although there is room.
func (f *fleet) finish(q int, jobs []*job) {
	time.Sleep(finishTime)
	idle := make(map[string]time.Time)
	broken := make(map[string]bool)
	for begun := time.Now(); time.Since(begun) < 2*idleTime; time.Sleep(50 * time.Millisecond) {
		f.world.mu.Lock()
		now := time.Now()
		for _, j := range jobs {
			if f.world.isDone(j) || f.world.runs(j) || f.inUse() >= 0.5 {
				delete(idle, j.ID)
				continue
			}
			if idle[j.ID].IsZero() {
				idle[j.ID] = now
			}
			if !broken[j.ID] && now.Sub(idle[j.ID]) > idleTime {
				broken[j.ID] = true
				f.world.breakRule("LOST", "%s has had nothing running for 3 s, %v after the end of the traffic; %.0f%% of the capacity is in use", j.ID, (finishTime + time.Since(begun)).Round(time.Second), 100*f.inUse())
			}
		}
		f.world.mu.Unlock()
	}
	for _, j := range jobs {
		status, state := f.state(q, j.ID)
		f.world.mu.Lock()
		f.world.note("job %s: %d %s", j.ID, status, state)
		if state == "completed" {
			f.world.checkCompleted(j)
		}
		f.world.mu.Unlock()
	}
}

// isDone reports whether all tasks of a job have ended as done. The caller holds the lock.
func (x *world) isDone(j *job) bool {
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if len(x.history(taskID{j.ID, 0, s, i}).doneEnds) == 0 {
				return false
			}
		}
	}
	return true
}

// runs reports whether a task of a job runs. The caller holds the lock.
func (x *world) runs(j *job) bool {
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if len(x.history(taskID{j.ID, 0, s, i}).active) > 0 {
				return true
			}
		}
	}
	return false
}

// recut leaves a start on a worker unanswered. The worker crashes and begins again under its id, and is cut
// off as it begins. The start is carried out there.
func recut(f *fleet) {
	time.Sleep(12 * time.Second) // so that the workers' clocks are ahead of that of a new life
	if f.trouble {
		f.world.mu.Lock()
		for _, w := range f.workers {
			w.startsLate = true
		}
		f.world.mu.Unlock()
	}
	j := &job{ID: newID(), Spec: spec(), Steps: []step{{Count: 1, CPU: 3500, Memory: 6400, Estimate: 6000, work: 6 * time.Second}}}
	f.submit(batch, j)
	if w := f.awaitLateStart(); w != nil {
		time.Sleep(100 * time.Millisecond)
		f.world.mu.Lock()
		w.crash()
		f.world.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		f.world.mu.Lock()
		w.begin()
		w.cut = true
		f.world.note("%s begins again and is cut off", w.name)
		f.world.mu.Unlock()
		time.Sleep(5500 * time.Millisecond)
		f.world.mu.Lock()
		w.cut = false
		f.world.note("%s is not cut off any more", w.name)
		f.world.mu.Unlock()
	}
	f.finish(batch, []*job{j})
}

// awaitLateStart returns the worker on which a start was left without an answer, and lets all others
// answer. It returns nil if there is none for a second.
func (f *fleet) awaitLateStart() *worker {
	for begun := time.Now(); time.Since(begun) < time.Second; time.Sleep(time.Millisecond) {
		f.world.mu.Lock()
		var found *worker
		for _, w := range f.workers {
			if !w.lateAt.IsZero() {
				found = w
			}
		}
		for _, w := range f.workers {
			w.startsLate = w.startsLate && found == nil
		}
		f.world.mu.Unlock()
		if found != nil {
			return found
		}
	}
	return nil
}

// silence freezes the holder twice, for 4 s each, and then takes away the machine of the one that holds the
// shard then, and that of a worker, for good.
func silence(f *fleet) {
	j := &job{ID: newID(), Spec: spec(), Steps: []step{{Count: 6, CPU: 6400, Memory: 13000, Estimate: 1000, Perpetual: true, AntiAffinity: 2, work: time.Hour}}}
	f.submit(watch, j)
	time.Sleep(3 * time.Second)
	go f.watchLasting()
	for range 2 {
		p := f.holder()
		if f.trouble && p != nil {
			f.world.disturb(p.name + " is frozen")
			p.signal(syscall.SIGSTOP)
		}
		time.Sleep(4 * time.Second)
		if f.trouble && p != nil {
			p.signal(syscall.SIGCONT)
			f.world.disturb(p.name + " wakes")
		}
		time.Sleep(4 * time.Second)
	}
	if p := f.holder(); f.trouble && p != nil {
		lost, _ := f.busiest()
		p.signal(syscall.SIGSTOP) // its addresses stay silent for good
		f.sidecars[lost].signal(syscall.SIGSTOP)
		f.world.mu.Lock()
		f.workers[lost].crash()
		f.world.mu.Unlock()
		f.world.disturb(p.name + " and " + f.workers[lost].name + " are gone for good")
	}
	time.Sleep(16 * time.Second)
}

const (
	entryMemory = 284 << 20
	// mostKills is how often a process may end by itself in a day, and mostMachines on how many machines
	// it may do so more often.
	mostKills, mostMachines = 2, 1
)

// memory hands in sixteen jobs of many tasks, 2.5 a second, and then a few small ones.
func memory(f *fleet) {
	for _, p := range f.entries {
		go f.limitMemory(p, entryMemory)
	}
	count := 6
	if f.trouble {
		count = 120000
	}
	for range 16 {
		f.clients.Add(1)
		go func() {
			defer f.clients.Done()
			f.submit(batch, &job{ID: newID(), Spec: spec(), Steps: []step{{Count: count, CPU: 3500, Memory: 6400, Estimate: 2700, work: 2700 * time.Millisecond}}})
		}()
		time.Sleep(400 * time.Millisecond)
	}
	f.clients.Wait()
	var small []*job
	for range 5 {
		if j := smallJob(time.Second); f.submit(urgent, j) {
			small = append(small, j)
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(finishTime)
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	machines, ended := 0, 0
	for name, kills := range f.world.kills {
		f.world.note("%s was killed %d times", name, kills)
		if kills > mostKills {
			machines++
		}
	}
	for _, j := range small {
		if f.world.isDone(j) {
			ended++
		}
	}
	f.world.note("%d of %d small jobs that were accepted have ended", ended, len(small))
	if machines > mostMachines {
		f.world.breakRule("Fault", "processes of %d machines have ended by themselves three times or more: memory over the limit", machines)
	}
}
