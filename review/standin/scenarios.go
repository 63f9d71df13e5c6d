package main

import (
	"errors"
	"slices"
	"time"
)

var scenarios = map[string]scenario{
	"silent-worker": {entries: 3, capacities: slices.Repeat([]int{32000}, 11), play: silentWorker},
	"store-away":    {entries: 3, capacities: []int{48000, 48000, 48000}, play: storeAway},
	"late-beat":     {entries: 3, capacities: []int{32000, 32000, 32000}, play: lateBeat},
	"hosts-lost":    {entries: 3, capacities: slices.Repeat([]int{32000}, 5), play: hostsLost},
	"holder-frozen": {entries: 3, capacities: slices.Repeat([]int{32000}, 6), play: holderFrozen},
	"large-job":     {entries: 3, capacities: []int{48000, 48000, 48000}, play: largeJob},
}

// errNotReady reports that the deployment did not do its work before the disruption.
var errNotReady = errors.New("the tasks of the first jobs did not start")

// warmUp runs one small job, so that a holder leads and all workers are known.
func warmUp(f *fleet) error {
	time.Sleep(2 * time.Second)
	first := newJob(gateQueue, 200*time.Millisecond, step{Count: 3, CPU: 480, Memory: 960})
	if err := f.submit(0, first); err != nil {
		return err
	}
	if f.awaitState([]*job{first}, "completed", 15*time.Second) > 0 {
		return errNotReady
	}
	return nil
}

// silentWorker lets one of eleven workers leave all calls unanswered for silentTime. Just
// then two of five jobs are cancelled, and the next ones come.
func silentWorker(f *fleet, trouble bool) ([]string, error) {
	const silentTime = 5500 * time.Millisecond
	if err := warmUp(f); err != nil {
		return nil, err
	}
	cancelled := []*job{gateCall(30), gateCall(30)}
	for i, j := range cancelled {
		if err := f.submit(i, j); err != nil {
			return nil, err
		}
	}
	for _, j := range cancelled {
		if !f.awaitRuns(j, 30, 5*time.Second) {
			return nil, errNotReady
		}
	}
	busiest := f.busiest()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	if trouble {
		f.record.note("silent  %s leaves calls unanswered", f.workers[busiest].name)
		f.workers[busiest].setSilent(true)
	}
	time.Sleep(100 * time.Millisecond)
	for i, j := range cancelled {
		f.cancel(i, j)
	}
	time.Sleep(100 * time.Millisecond)
	next := []*job{gateCall(6), gateCall(6), gateCall(6)}
	for i, j := range next {
		if err := f.submit(i, j); err != nil {
			return nil, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(silentTime - time.Since(began))
	if trouble {
		f.record.note("answers %s answers again", f.workers[busiest].name)
		f.workers[busiest].setSilent(false)
	}
	f.awaitState(next, "completed", 20*time.Second)
	time.Sleep(time.Second)
	return f.record.twice(), nil
}

// gateCall returns an urgent job of one step.
func gateCall(tasks int) *job {
	return newJob(gateQueue, 2500*time.Millisecond, step{Count: tasks, CPU: 480, Memory: 960})
}

// storeAway takes the store away for awayTime while more urgent tasks run than one worker
// lists the ends of.
func storeAway(f *fleet, trouble bool) ([]string, error) {
	const (
		awayTime = 4200 * time.Millisecond
		flood    = 80
	)
	if err := warmUp(f); err != nil {
		return nil, err
	}
	var jobs []*job
	for i := range flood {
		j := newJob(gateQueue, 500*time.Millisecond, step{Count: 36, CPU: 480, Memory: 960})
		if err := f.submit(i%len(f.entries), j); err != nil {
			return nil, err
		}
		jobs = append(jobs, j)
	}
	if trouble {
		f.record.note("away    the store does not answer")
		f.store.setAway(true)
		time.Sleep(awayTime)
		f.record.note("back    the store answers")
		f.store.setAway(false)
	}
	time.Sleep(10 * time.Second)
	f.awaitState(jobs, "completed", 40*time.Second)
	time.Sleep(time.Second)
	return f.record.twice(), nil
}

// lateBeat restarts the sidecar of a worker whose earlier life crashed, and delivers a
// heartbeat of that life to the new process.
func lateBeat(f *fleet, trouble bool) ([]string, error) {
	late := make([]sentHeartbeat, len(f.workers))
	if err := warmUp(f); err != nil {
		return nil, err
	}
	for i, w := range f.workers {
		late[i] = w.heartbeat()
		w.restart()
	}
	time.Sleep(2 * time.Second)
	j := newJob(gateQueue, 5*time.Second, step{Count: 6, CPU: 480, Memory: 960})
	if err := f.submit(0, j); err != nil {
		return nil, err
	}
	if !f.awaitRuns(j, 6, 5*time.Second) {
		return nil, errNotReady
	}
	time.Sleep(500 * time.Millisecond)
	busy := f.busiest()
	f.workers[busy].awaitBeat()
	f.record.note("kill    %s", f.sidecars[busy].name)
	f.sidecars[busy].kill()
	if err := f.sidecars[busy].start(); err != nil {
		return nil, err
	}
	if trouble {
		f.deliverLate(late[busy])
	}
	f.awaitState([]*job{j}, "completed", 20*time.Second)
	time.Sleep(time.Second)
	return f.record.twice(), nil
}

// deliverLate delivers a heartbeat as soon as the sidecar accepts connections.
func (f *fleet) deliverLate(beat sentHeartbeat) {
	for range 100 {
		err := beat.deliver()
		if err == nil {
			f.record.note("beat    of an earlier life delivered: %s", beat.body)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// largeJob submits tasks in one job, or as many in jobs of smallJob tasks.
func largeJob(f *fleet, trouble bool) ([]string, error) {
	const (
		tasks    = 5000
		smallJob = 100
		// ackTime is the bound ack_ms.
		ackTime = 4 * time.Second
	)
	if err := warmUp(f); err != nil {
		return nil, err
	}
	size := tasks
	if !trouble {
		size = smallJob
	}
	var jobs []*job
	for i := range tasks / size {
		j := newJob(rosterQueue, 1200*time.Millisecond, step{Count: size, CPU: 240, Memory: 480, Saves: true})
		if err := f.submit(i%len(f.entries), j); err != nil {
			return nil, err
		}
		jobs = append(jobs, j)
	}
	left := f.awaitState(jobs, "completed", 40*time.Second)
	f.record.note("%d of %d jobs are not completed 40 s after the last one was accepted", left, len(jobs))
	other := gateCall(6)
	if err := f.submit(0, other); err != nil {
		return nil, err
	}
	left = f.awaitState([]*job{other}, "completed", 20*time.Second)
	f.record.note("%d of 1 job of 6 tasks is not completed 20 s after it was accepted", left)
	return append(f.record.ends(ackTime), f.record.twice()...), nil
}

// hostsLost loses the holder's host and a worker's host for good, while tasks that last
// run there.
func hostsLost(f *fleet, trouble bool) ([]string, error) {
	const (
		tasks = 6
		// calmTime and idleTime are the bounds of LOST for a task that lasts: without a
		// run for idleTime, which begins calmTime after its last run and the disruption.
		calmTime = 6 * time.Second
		idleTime = 3 * time.Second
	)
	if err := warmUp(f); err != nil {
		return nil, err
	}
	j := newJob(gateQueue, 0, step{Count: tasks, CPU: 4800, Memory: 9600, Lasts: true})
	j.Spec = "lasts"
	if err := f.submit(0, j); err != nil {
		return nil, err
	}
	if !f.awaitRuns(j, tasks, 5*time.Second) {
		return nil, errNotReady
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	if trouble {
		busiest, holder := f.busiest(), f.holder()
		f.record.note("lost    the host of %s, which holds the shard, and the host of %s", f.entries[holder].name, f.workers[busiest].name)
		f.entries[holder].kill()
		f.sidecars[busiest].kill()
		f.workers[busiest].leave()
	}
	time.Sleep(20 * time.Second)
	return f.record.idle(j.id, began.Add(calmTime), idleTime), nil
}

// holderFrozen freezes the process that holds the shard again and again: first for so long
// that another one takes over, then for so short that none does. Urgent jobs come
// meanwhile, through the other entries.
func holderFrozen(f *fleet, trouble bool) ([]string, error) {
	const (
		rounds      = 24
		shortRounds = 5
		longFreeze  = 2500 * time.Millisecond
		shortFreeze = 1400 * time.Millisecond
		jobs        = 4
		jobPause    = 250 * time.Millisecond
		pause       = 1800 * time.Millisecond
		slowLists   = 100 * time.Millisecond
	)
	if err := warmUp(f); err != nil {
		return nil, err
	}
	for _, w := range f.workers {
		w.setSlowLists(slowLists)
	}
	for i := range rounds {
		holder := f.holder()
		submitted := make(chan struct{})
		go func() {
			defer close(submitted)
			for n := range jobs {
				time.Sleep(jobPause)
				j := newJob(gateQueue, 500*time.Millisecond, step{Count: 36, CPU: 1400, Memory: 1900})
				_ = f.submit((holder+1+n%2)%len(f.entries), j)
			}
		}()
		freezeTime := shortFreeze
		if i%(shortRounds+1) == 0 {
			freezeTime = longFreeze
		}
		if trouble {
			f.freeze(holder, freezeTime)
		}
		<-submitted
		time.Sleep(pause)
	}
	time.Sleep(5 * time.Second)
	return f.record.twice(), nil
}
