package dispatch_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// vanishingPoint is a point of a play at which processes vanish.
type vanishingPoint uint8

const (
	afterLoss vanishingPoint = iota
	workerEnded
	nextBegun
	nextListed
	nextRecorded
	taskStarted
	vanishingPoints
)

var vanishingPointNames = [...]string{
	"after the lost call", "after the worker's end", "after the next one's beginning", "after its first listing", "after its record",
	"after its first start",
}

// vanishing is what vanishes at a point.
type vanishing struct {
	name string
	play func(p *vanishingPlay)
	// endsSidecar reports that a process of the sidecar ends, so that what it knew is gone.
	endsSidecar bool
	// endsHolder reports that another holder takes over.
	endsHolder bool
}

// vanishings holds all that may vanish.
var vanishings = []vanishing{
	{name: "worker restarts", play: func(p *vanishingPlay) { p.restartWorker(100 * time.Millisecond) }},
	{name: "worker away for 5 s", play: func(p *vanishingPlay) { p.restartWorker(5 * time.Second) }},
	{name: "worker away for 28 s", play: func(p *vanishingPlay) { p.restartWorker(28 * time.Second) }},
	{name: "sidecar killed", endsSidecar: true, play: func(p *vanishingPlay) { p.host.replaceSidecar(0) }},
	{name: "sidecar away for 5 s", endsSidecar: true, play: func(p *vanishingPlay) { p.host.replaceSidecar(5 * time.Second) }},
	{name: "sidecar frozen for 1 s", play: func(p *vanishingPlay) { p.host.frozenUntil = p.world.now + time.Second }},
	{name: "sidecar frozen for 5 s", play: func(p *vanishingPlay) { p.host.frozenUntil = p.world.now + 5*time.Second }},
	{name: "host dark for 2 s", endsSidecar: true, play: func(p *vanishingPlay) { p.darken(2 * time.Second) }},
	{name: "host dark for 5 s", endsSidecar: true, play: func(p *vanishingPlay) { p.darken(5 * time.Second) }},
	{name: "host dark for 28 s", endsSidecar: true, play: func(p *vanishingPlay) { p.darken(28 * time.Second) }},
	{name: "host dark for 33 s", endsSidecar: true, play: func(p *vanishingPlay) { p.darken(33 * time.Second) }},
	{name: "host suspended for 40 s", play: func(p *vanishingPlay) { p.suspend(40 * time.Second) }},
	{name: "holder killed", endsHolder: true, play: func(p *vanishingPlay) { p.world.killHolder(false) }},
	{name: "holder killed as its batch is stored", endsHolder: true, play: func(p *vanishingPlay) { p.world.killHolder(true) }},
	{name: "store away for 2 s", play: func(p *vanishingPlay) { p.world.store.awayUntil = p.world.now + 2*time.Second }},
	{name: "store away for 8 s", endsHolder: true, play: func(p *vanishingPlay) { p.world.store.awayUntil = p.world.now + 8*time.Second }},
	{name: "batch rejected", play: func(p *vanishingPlay) { p.world.store.rejects++ }},
	{name: "batch failed", play: func(p *vanishingPlay) { p.world.store.fails++ }},
}

// vanishingHistory is what the holders know of the worker when its call gets no answer.
type vanishingHistory uint8

const (
	// recordedWorker has the incarnation recorded.
	recordedWorker vanishingHistory = iota
	// youngSidecar has the incarnation recorded, while the first process of the sidecar has just begun.
	youngSidecar
	// unrecordedWorker is an incarnation that has listed a moment ago, the first one under its ID.
	unrecordedWorker
	// unrecordedNextWorker is one that has listed a moment ago, after a recorded one.
	unrecordedNextWorker
	// unrecordedLateStart is the same, and a late start of the one before has begun there.
	unrecordedLateStart
)

var vanishingHistoryNames = [...]string{
	"recorded", "recorded, young sidecar", "first, unrecorded", "next, unrecorded", "next, unrecorded, with a late start",
}

// vanishingEvent is what vanishes at a point of a play.
type vanishingEvent struct {
	*vanishing
	at vanishingPoint
}

// vanishingRow is one row of the table.
type vanishingRow struct {
	history vanishingHistory
	lost    lostCall
	// hangs has the worker hang in the end. Otherwise its host is cut off.
	hangs  bool
	events []vanishingEvent
}

func (r vanishingRow) String() string {
	parts := []string{vanishingHistoryNames[r.history], lostCallNames[r.lost]}
	for _, e := range r.events {
		parts = append(parts, fmt.Sprintf("%s %s", e.name, vanishingPointNames[e.at]))
	}
	if r.hangs {
		return strings.Join(append(parts, "worker hangs"), "; ")
	}
	return strings.Join(append(parts, "host cut off"), "; ")
}

func (r vanishingRow) has(isOfKind func(v *vanishing) bool) bool {
	return slices.ContainsFunc(r.events, func(e vanishingEvent) bool { return isOfKind(e.vanishing) })
}

// vanishingPlay plays one row.
type vanishingPlay struct {
	row   vanishingRow
	world *vanishingWorld
	host  *vanishingHost
}

// vanishingResult is what a play has shown.
type vanishingResult struct {
	violations []string
	// ranThere reports that the task ran on the host before the cut, and lateLease that it had the
	// lease of a late call by then.
	ranThere, lateLease bool
	// hasLost reports that a call got no answer.
	hasLost bool
	// goesAstray reports that an incarnation has answered a call to an earlier one.
	goesAstray bool
	// wait is the time to the next start of the task, from the cut, from the last takeover, or from
	// when the sidecar of a worker that hangs goes on.
	wait time.Duration
	// knowers are those by whom the late lease of the last incarnation was counted.
	knowers []string
}

// knownBy returns who knew of the longer lease.
func (r vanishingResult) knownBy() string {
	if len(r.knowers) == 0 {
		return "nobody"
	}
	return strings.Join(r.knowers, ", then ")
}

// vanishingWaitBound is how long a play waits for the task's next start.
const vanishingWaitBound = 2 * vanishingMaxLease

func playVanishing(row vanishingRow, broken brokenKnowledge) vanishingResult {
	w := newVanishingWorld(broken)
	p := &vanishingPlay{row: row, world: w, host: w.hosts[0]}
	p.prepare()
	p.loseCall()
	p.vanish(afterLoss)
	p.host.endWorker()
	p.vanish(workerEnded)
	w.run(200 * time.Millisecond)
	p.beginWorker()
	p.vanish(nextBegun)
	w.until(3*time.Second, p.host.hasListed)
	p.vanish(nextListed)
	w.until(3*time.Second, p.host.isRecorded)
	p.vanish(nextRecorded)
	if len(w.jobs) == 0 {
		w.submit()
	}
	w.until(4*time.Second, p.host.isRunning)
	p.vanish(taskStarted)
	w.until(10*time.Second, p.host.isRunning)
	return p.cut()
}

// prepare plays what goes before the lost call.
func (p *vanishingPlay) prepare() {
	w, h := p.world, p.host
	w.run(200 * time.Millisecond)
	h.isUp = true
	h.beginSidecar()
	switch p.row.history {
	case recordedWorker:
		h.sidecar.started -= time.Minute
		h.sidecar.startedAwake -= time.Minute
		w.run(time.Second)
	case youngSidecar:
		w.run(time.Second)
		p.submitBeforeLoss()
	case unrecordedWorker:
		p.listWithoutStore()
	case unrecordedNextWorker:
		w.run(time.Second)
		p.restartWithoutStore()
	case unrecordedLateStart:
		w.run(time.Second)
		h.loses = lostStart
		w.submit()
		w.until(2*time.Second, func() bool { return h.late != nil })
		h.late.begins = true
		p.restartWithoutStore()
		h.late = nil
	}
}

// submitBeforeLoss has the task run before the lost call, if that is a listing. A start that is lost is
// one of the task.
func (p *vanishingPlay) submitBeforeLoss() {
	if p.row.lost == lostListing {
		p.world.submit()
		p.world.until(2*time.Second, p.host.isRunning)
	}
}

// restartWithoutStore has the worker begin anew while nothing can be recorded.
func (p *vanishingPlay) restartWithoutStore() {
	p.host.endWorker()
	p.world.run(100 * time.Millisecond)
	p.host.worker.Advance(time.Minute) // its clock is far ahead of that of the next incarnation
	p.host.beginWorker()
	p.listWithoutStore()
}

// listWithoutStore has the worker list while nothing can be recorded.
func (p *vanishingPlay) listWithoutStore() {
	p.world.store.awayUntil = p.world.now + 1500*time.Millisecond
	p.world.until(time.Second, p.host.hasListed)
}

// loseCall has a call get no answer that extends the lease, if there is one.
func (p *vanishingPlay) loseCall() {
	w, h := p.world, p.host
	wait := 2 * time.Second
	if p.row.history >= unrecordedWorker {
		wait = 600 * time.Millisecond // until the worker is recorded
	}
	h.loses = p.row.lost
	if p.row.lost == lostStart || p.row.lost == lostFirstTry {
		w.submit()
	}
	if p.row.lost == noLostCall {
		wait = 500 * time.Millisecond
	}
	w.until(wait, func() bool { return h.late != nil })
	if p.row.lost == lostListing {
		h.loses = noLostCall
	}
}

// vanish has all vanish that does so at a point.
func (p *vanishingPlay) vanish(at vanishingPoint) {
	for _, e := range p.row.events {
		if e.at == at {
			e.play(p)
		}
	}
}

func (p *vanishingPlay) beginWorker() {
	if !p.host.isUp {
		p.host.beginWorker()
	}
}

// restartWorker has the worker begin anew, after it was away.
func (p *vanishingPlay) restartWorker(away time.Duration) {
	p.host.endWorker()
	p.world.run(away)
	p.host.beginWorker()
}

// darken has the host be without power.
func (p *vanishingPlay) darken(d time.Duration) {
	p.host.endWorker()
	p.host.endSidecar()
	p.world.run(d)
	p.host.beginSidecar()
	p.host.beginWorker()
}

// suspend has the host stand still with all that is under way on it, but for its clocks.
func (p *vanishingPlay) suspend(d time.Duration) {
	p.host.frozenUntil = math.MaxInt64
	p.world.run(d)
	p.host.suspended += d
	p.host.frozenUntil = p.world.now
}

// cut has the host be cut off, or its worker hang, while another host has room.
func (p *vanishingPlay) cut() vanishingResult {
	w, h := p.world, p.host
	result := vanishingResult{ranThere: h.isRunning(), lateLease: h.isRunning() && h.worker.Lease() > testLease}
	w.store.rejects, w.store.fails = 0, 0
	other := w.hosts[1]
	other.isUp = true
	other.beginSidecar()
	if p.row.hangs {
		h.hangs = true
	} else {
		if h.sidecar != nil && h.sidecar.isLinked() {
			w.core.HostLost(h.name)
		}
		h.isCutOff = true
	}
	from := w.now
	w.until(vanishingWaitBound, func() bool {
		if w.core == nil || (h.hangs && w.now < h.frozenUntil) {
			from = w.now
		}
		return other.isRunning()
	})
	result.wait = w.now - from
	w.run(time.Second)
	result.goesAstray, result.hasLost = h.goesAstray, h.late != nil
	result.violations, result.knowers = w.record.Violations, slices.Compact(w.knowers)
	return result
}
