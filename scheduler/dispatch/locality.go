package dispatch

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxIdleWait bounds how long a task waits for near room while its job has no expected run. It
	// is short enough that a holder that takes over during the wait can begin one of its own, and
	// the job still isn't starved.
	maxIdleWait = 800 * time.Millisecond
	// waitCaution is how many standard deviations the expected gain of a wait must be above zero. The
	// forecast doesn't foresee the tasks that come later and are more urgent.
	waitCaution = 0.5
	// noRoomExpected is used as the time until there is room where none is expected.
	noRoomExpected time.Duration = math.MaxInt64 / 4
)

// localityInputs are what the decision about a wait for near room depends on. All times count
// from now.
type localityInputs struct {
	// room is the expected time until near room comes free, and roomSpread its standard deviation.
	room, roomSpread time.Duration
	// penalty is how much longer the task is expected to take elsewhere, and penaltySpread the
	// standard deviation.
	penalty, penaltySpread time.Duration
	// contention is the share of the steps for the rack whose first task found no room there. It is
	// taken as the probability that another task pays the penalty because this one takes near room.
	contention float64
	// slack is how much later the job could start the task near its data and be in time. It is
	// negative if the job is late anyway.
	slack time.Duration
	// waited is how long the task has waited for near room while there was room elsewhere.
	waited time.Duration
	// idle reports that the job has no expected run, and idleFor how long the task has waited.
	idle    bool
	idleFor time.Duration
}

// waitThatPays returns the longest time for which a task should wait for near room, zero if it should
// use the room elsewhere.
func waitThatPays(in localityInputs) time.Duration {
	limit := in.penalty - in.waited
	if in.idle {
		limit = min(limit, maxIdleWait-in.idleFor)
	}
	if in.slack > 0 {
		limit = min(limit, in.slack)
	}
	if limit <= 0 || in.room > limit || in.gain() <= 0 {
		return 0
	}
	return limit
}

// gain returns the time that a wait is expected to save, less the part of it that is uncertain and
// the penalty that another task may pay.
func (in localityInputs) gain() float64 {
	gain := float64(in.penalty - in.room)
	if in.slack > 0 && in.penalty > in.slack {
		return gain // elsewhere the job would be late
	}
	spread := math.Hypot(float64(in.roomSpread), float64(in.penaltySpread))
	return gain - in.contention*float64(in.penalty) - waitCaution*spread
}

// nearWait is the wait of a task for near room, or of a gang for room on one rack. The wait of a gang is
// kept in its first task.
type nearWait struct {
	waiting bool
	// since is when the wait began, and until when it ends at the latest.
	since, until time.Duration
}

// weighsLocality reports whether the tasks of a step may wait for near room.
// Best-effort tasks share processors, so no end of a run makes room for them, and long-running
// ones have no duration.
func (c *Core) weighsLocality(s *stepState) bool {
	policy := c.config.Policy
	return policy.LocalityWait && policy.RemoteFactor > 1 && !s.spec.LongRunning && !s.spec.BestEffort
}

// isNear reports whether a worker is on a rack.
func (w *workerState) isNear(rack string) bool {
	return w.description.Rack == rack || w.description.HasLabel(rack)
}

// preferNear returns the worker on which a task should start, given one that was found to have room: a
// near worker if any has room, and nil if the task should wait for near room.
func (c *Core) preferNear(p *pass, t *task, found *workerState) *workerState {
	rack := t.step.spec.DataRack
	if rack == "" || !c.weighsLocality(t.step) {
		return found
	}
	if !found.isNear(rack) {
		if near := c.nearWorker(p, t, rack); near != nil {
			found = near
		}
	}
	c.recordContention(p, t.step, !found.isNear(rack))
	if found.isNear(rack) {
		c.endNearWait(t, DecidedNearWaitEnded)
		return found
	}
	if c.waitsForNearRoom(p, t, rack) {
		if t.hasFailedNowhere() {
			p.lastNearWait = t.step
		}
		return nil
	}
	c.endNearWait(t, DecidedNearWaitGivenUp)
	return found
}

// waitsLikeLast reports whether a task waits for near room as the task before it in its step does.
// What that one has found holds for this one too, so that a round does not look at all workers for
// each task that waits.
func (c *Core) waitsLikeLast(p *pass, t *task) bool {
	return p.lastNearWait == t.step && len(p.plans) == 0 && t.hasFailedNowhere() && c.waitsForNearRoom(p, t, t.step.spec.DataRack)
}

// hasFailedNowhere reports whether a task may run on all workers on which others of its step may.
func (t *task) hasFailedNowhere() bool { return len(t.failedHosts)+len(t.avoidedHosts) == 0 }

// nearWorker returns the best worker of a rack for a task, nil if none has room.
func (c *Core) nearWorker(p *pass, t *task, rack string) *workerState {
	return c.selectWorkerAmong(p, p.workers, t, func(w *workerState) bool { return w.isNear(rack) && !t.hasFailedOn(w) })
}

// forecastPlaceFor returns when a rack is expected to have room for a task.
func (c *Core) forecastPlaceFor(p *pass, t *task, rack string) forecastPlace {
	return p.forecastFor(c, rack).earliest(p, t.step.spec.Reserved(), func(w *workerState) bool {
		return c.isAllowed(t, w) && !c.isWithheld(p, t, w) && !t.hasFailedOn(w)
	})
}

// waitsForNearRoom decides whether a task waits for room on a rack. If it does, its place is claimed in
// the forecast for the rack, so that less urgent tasks don't count on it.
func (c *Core) waitsForNearRoom(p *pass, t *task, rack string) bool {
	place := c.forecastPlaceFor(p, t, rack)
	if !c.decideNearWait(t, rack, place, c.contention[rack]) {
		return false
	}
	p.forecastFor(c, rack).claim(place, t.step.spec.Reserved())
	return true
}

// contentionWeight is the weight of the newest step in the contention of a rack, which is a moving
// average.
const contentionWeight = 0.1

// recordContention records whether the first task of a step found no room on its rack. Racks without
// workers are left out, as callers may name any rack and each takes memory.
func (c *Core) recordContention(p *pass, s *stepState, contended bool) {
	rack := s.spec.DataRack
	if s.contentionRecorded || len(p.forecastFor(c, rack).workers) == 0 {
		return
	}
	s.contentionRecorded = true
	share := 0.0
	if contended {
		share = 1
	}
	c.contention[rack] += contentionWeight * (share - c.contention[rack])
}

// isWithheld reports whether a worker's room is planned for a gang that a task must not delay.
func (c *Core) isWithheld(p *pass, t *task, w *workerState) bool {
	plan := p.plans[w]
	return plan != nil && !c.mayBackfill(p, t, plan)
}

// gangWaitsForRack decides whether a gang that has room on several racks waits for room on one. No room
// is held back for it meanwhile.
func (c *Core) gangWaitsForRack(p *pass, s *stepState, chosen []*workerState) bool {
	if !s.spec.SameRack || !c.weighsLocality(s) {
		return false
	}
	first := s.tasks.get(0)
	if onOneRack(chosen) {
		c.endNearWait(first, DecidedNearWaitEnded)
		return false
	}
	rack, place := c.earliestRack(p, s)
	if c.decideNearWait(first, rack, place, 0) {
		return true
	}
	c.endNearWait(first, DecidedNearWaitGivenUp)
	return false
}

// onOneRack reports whether all workers are on one rack.
func onOneRack(workers []*workerState) bool {
	for _, w := range workers {
		if w.description.Rack != workers[0].description.Rack {
			return false
		}
	}
	return true
}

// earliestRack returns the rack that is expected to have room for a whole gang first.
func (c *Core) earliestRack(p *pass, s *stepState) (string, forecastPlace) {
	bestRack, best := "", noPlace()
	for _, rack := range racksByFreeCPU(p.workers) {
		if place := c.forecastGang(p, s, rack); place.after < best.after {
			bestRack, best = rack, place
		}
	}
	return bestRack, best
}

// forecastGang returns the place of the task of a gang that is expected to find room on a rack last, so
// the time at which there is room for all of them.
func (c *Core) forecastGang(p *pass, s *stepState, rack string) forecastPlace {
	forecast := c.newRackForecast(p, rack)
	count := make(map[*workerState]int)
	last := noPlace()
	for i := range s.tasks.count {
		t := s.tasks.peek(i)
		place := forecast.earliest(p, s.spec.Reserved(), func(w *workerState) bool {
			return c.isAllowed(t, w) && !c.isWithheld(p, t, w) && (s.spec.MaxPerWorker <= 0 || count[w] < s.spec.MaxPerWorker)
		})
		if place.worker == nil {
			return place
		}
		forecast.claim(place, s.spec.Reserved())
		count[place.worker.worker]++
		if last.worker == nil || place.after > last.after {
			last = place
		}
	}
	return last
}

// decideNearWait decides whether a task waits for a place on a rack, and records a wait that begins. Each
// round decides anew and may shorten the wait, but not prolong it.
func (c *Core) decideNearWait(t *task, rack string, place forecastPlace, contention float64) bool {
	now := c.now.Monotonic
	if t.near.waiting && now >= t.near.until {
		return false
	}
	in := c.localityInputs(t, place)
	in.contention = contention
	limit := c.localityRule(in)
	if limit <= 0 {
		return false
	}
	if !t.near.waiting {
		t.near = nearWait{waiting: true, since: now, until: now + limit}
		c.recordDecision(Decision{
			Kind: DecidedNearWaitBegun, Task: t.name(), Waited: now - t.waitsSince(),
			Detail: fmt.Sprintf("rack=%s limit=%v room=%v±%v penalty=%v±%v slack=%v", rack, limit, in.room, in.roomSpread, in.penalty, in.penaltySpread, in.slack),
		})
	}
	t.near.until = min(t.near.until, now+limit)
	c.wakeAt(t.near.until)
	return true
}

// localityInputs returns what the decision about a task with the given expected place depends on, except
// for the contention.
func (c *Core) localityInputs(t *task, place forecastPlace) localityInputs {
	now, factor := c.now.Monotonic, c.config.Policy.RemoteFactor-1
	duration, spread := c.expectedDuration(t.step)
	in := localityInputs{
		room: place.after, roomSpread: place.spread,
		penalty:       time.Duration(factor * float64(duration)),
		penaltySpread: time.Duration(factor * float64(spread)),
		slack:         c.dueAt(t.step) - now - c.workAfter(t.step) - duration,
		idle:          !t.job().hasExpectedRun(),
		idleFor:       now - t.waitsSince(),
	}
	if t.near.waiting {
		in.waited = now - t.near.since
	}
	return in
}

// workAfter returns the longest chain of estimated work after a step.
func (c *Core) workAfter(s *stepState) time.Duration {
	return s.occurrence.job.criticalPath(s.index) - s.spec.Estimate
}

// endNearWait ends the wait of a task that starts now, if it has waited.
func (c *Core) endNearWait(t *task, kind DecisionKind) {
	if !t.near.waiting {
		return
	}
	waited := c.now.Monotonic - t.near.since
	c.recordDecision(Decision{Kind: kind, Task: t.name(), Waited: waited, Detail: fmt.Sprintf("limit=%v", t.near.until-t.near.since)})
	t.near = nearWait{}
}
