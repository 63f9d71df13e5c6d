// Package pressure is about tasks that share a worker: how much filling tasks
// raise the tail latency of serving ones, learned by pair of images, and the
// pace at which they may work so that the latency stays below its target.
//
// A serving task is taken as a queue whose tail latency is that of an idle task
// divided by what its utilization leaves. Filling tasks add to the utilization in
// proportion to the processors that they use.
//
// The package is pure.
package pressure

const (
	// idleShare is the tail latency of an idle task as a share of its target,
	// until a lower one is seen.
	idleShare = 1 / 4.5
	// idleMargin is the least latency seen that an idle task is assumed to have.
	idleMargin = 0.9
	// priorSensitivity is the assumed rise of the utilization for a filling image
	// that uses a whole worker, and priorVariance how sure that is.
	priorSensitivity = 1.0
	priorVariance    = 0.8
	// maxSensitivity bounds what is learned from noisy figures.
	maxSensitivity = 8.0
	// loadVariance is how far the own load of a serving task moves between two
	// figures that are compared, as a variance of its utilization.
	loadVariance = 0.012
	// driftVariance is how far a sensitivity moves in that time.
	driftVariance = 0.00002
	// leastChange is the least change of use, as a share of a worker, that
	// figures are learned from.
	leastChange = 0.02
	// headroom is the tail latency to aim at, as a share of the target: figures
	// are half a second old, and the load moves within seconds.
	headroom = 0.85
	// priorLoad is the assumed utilization by its own load of a serving task without
	// a figure.
	priorLoad = 0.45
	// maxTrend bounds the rise of an own load that is expected until the next
	// figure.
	maxTrend = 0.1
	// saturated is the utilization above which a tail latency does not tell how much
	// of it filling tasks add.
	saturated = 0.92
	// lightSensitivity is the sensitivity below which a filling image counts as
	// one that hardly presses.
	lightSensitivity = 0.35
	// maxUtilization stands for a queue that grows.
	maxUtilization = 0.98
)

// FullPace is the pace of a task that is not slowed down, in percent.
const FullPace = 100

// Serving is a figure of a serving task.
type Serving struct {
	// Task tells the serving tasks of a worker apart.
	Task  string
	Image string
	// Ratio is its tail latency as a share of its target. Zero is no figure.
	Ratio float64
}

// Filling is a filling task.
type Filling struct {
	Image string
	// Share is the part of the worker's processors that the task used while the
	// figures were taken.
	Share float64
	// FullShare is the part that it would use at full pace.
	FullShare float64
}

// estimate is what is known of how one serving image reacts to filling ones: the
// state of a Kalman filter, with a mean for each filling image and a covariance
// for each pair of them.
type estimate struct {
	index      map[string]int
	mean       []float64
	covariance [][]float64
}

// of returns the index of a filling image, which joins with the prior.
func (e *estimate) of(image string) int {
	if i, known := e.index[image]; known {
		return i
	}
	i := len(e.mean)
	e.index[image] = i
	e.mean = append(e.mean, priorSensitivity)
	for row := range e.covariance {
		e.covariance[row] = append(e.covariance[row], 0)
	}
	e.covariance = append(e.covariance, make([]float64, i+1))
	e.covariance[i][i] = priorVariance
	return i
}

// correct takes in that changes of use came with a rise of the utilization.
func (e *estimate) correct(change map[string]float64, rise float64) {
	for image := range change {
		e.of(image)
	}
	x := make([]float64, len(e.mean))
	for image, d := range change {
		x[e.index[image]] = d
	}
	gain := make([]float64, len(x))
	scale := loadVariance
	for i := range x {
		for j := range x {
			gain[i] += e.covariance[i][j] * x[j]
		}
		scale += x[i] * gain[i]
		rise -= x[i] * e.mean[i]
	}
	for i := range x {
		e.mean[i] = min(maxSensitivity, max(0, e.mean[i]+gain[i]*rise/scale))
		for j := range x {
			e.covariance[i][j] -= gain[i] * gain[j] / scale
		}
		e.covariance[i][i] = min(priorVariance, e.covariance[i][i]+driftVariance)
	}
}

// sample is what was seen of one worker.
type sample struct {
	utilization map[string]float64
	use         map[string]float64
}

// Model is what was learned of the images. Use New.
type Model struct {
	estimates map[string]*estimate
	// idle is the tail latency of an idle task by image, as a share of the target.
	idle map[string]float64
	// last holds the newest sample of each worker.
	last map[string]sample
	// own is the utilization of each serving task by its own load, as seen last.
	own map[string]float64
}

// New returns a model that has learned nothing.
func New() *Model {
	return &Model{
		estimates: make(map[string]*estimate),
		idle:      make(map[string]float64),
		last:      make(map[string]sample),
		own:       make(map[string]float64),
	}
}

// Sensitivity returns how much a filling image that uses a whole worker raises
// the utilization of a serving one.
func (m *Model) Sensitivity(serving, filling string) float64 {
	e := m.estimates[serving]
	if e == nil {
		return priorSensitivity
	}
	i, known := e.index[filling]
	if !known {
		return priorSensitivity
	}
	return e.mean[i]
}

func (m *Model) estimate(serving string) *estimate {
	e := m.estimates[serving]
	if e == nil {
		e = &estimate{index: make(map[string]int)}
		m.estimates[serving] = e
	}
	return e
}

// utilization returns the utilization that a tail latency shows.
func (m *Model) utilization(s Serving) float64 {
	return min(maxUtilization, max(0, 1-m.idleOf(s.Image)/s.Ratio))
}

func (m *Model) idleOf(image string) float64 {
	if idle, known := m.idle[image]; known {
		return idle
	}
	return idleShare
}

// Observe learns from the figures of one worker over one span of time.
func (m *Model) Observe(worker string, serving []Serving, filling []Filling) {
	now := sample{utilization: make(map[string]float64), use: make(map[string]float64)}
	for _, f := range filling {
		now.use[f.Image] += f.Share
	}
	for _, s := range serving {
		if s.Ratio <= 0 {
			continue
		}
		m.idle[s.Image] = min(m.idleOf(s.Image), idleMargin*s.Ratio)
		now.utilization[s.Task] = m.utilization(s)
	}
	before := m.last[worker]
	for task := range before.utilization {
		if _, still := now.utilization[task]; !still {
			delete(m.own, task)
		}
	}
	m.last[worker] = now
	if before.use != nil {
		m.learn(serving, before, now)
	}
}

// Forget drops what was seen last of a worker.
func (m *Model) Forget(worker string) {
	for task := range m.last[worker].utilization {
		delete(m.own, task)
	}
	delete(m.last, worker)
}

// learn compares the change of each utilization with the change of use.
func (m *Model) learn(serving []Serving, before, now sample) {
	change := make(map[string]float64)
	for image, use := range now.use {
		change[image] = use - before.use[image]
	}
	for image, use := range before.use {
		change[image] = now.use[image] - use
	}
	squares := 0.0
	for _, d := range change {
		squares += d * d
	}
	if squares < leastChange*leastChange {
		return
	}
	for _, s := range serving {
		was, seen := before.utilization[s.Task]
		is, sees := now.utilization[s.Task]
		if seen && sees {
			m.estimate(s.Image).correct(change, is-was)
		}
	}
}

// Budget is how much more utilization each serving task of a worker bears,
// beside that of its own load.
type Budget struct {
	images []string
	left   []float64
}

// Budget returns what the serving tasks of a worker bear, given their figures
// and what filled at that time.
func (m *Model) Budget(serving []Serving, filling []Filling) Budget {
	var b Budget
	for _, s := range serving {
		aim := 1 - m.idleOf(s.Image)/headroom
		b.images = append(b.images, s.Image)
		b.left = append(b.left, aim-m.expectedLoad(s, filling))
	}
	return b
}

// expectedLoad returns the utilization of a serving task by its own load at the
// time of the next figure: as it is now, and a rise goes on.
func (m *Model) expectedLoad(s Serving, filling []Filling) float64 {
	if s.Ratio <= 0 {
		return priorLoad
	}
	own := m.utilization(s)
	if own > saturated {
		return maxUtilization
	}
	for _, f := range filling {
		own -= m.Sensitivity(s.Image, f.Image) * f.Share
	}
	own = max(0, own)
	before, known := m.own[s.Task]
	m.own[s.Task] = own
	if !known {
		return own
	}
	return own + min(maxTrend, max(0, own-before))
}

// IsLight reports whether a filling image hardly presses any serving task of a
// worker.
func (m *Model) IsLight(b *Budget, image string) bool {
	for _, serving := range b.images {
		if m.Sensitivity(serving, image) >= lightSensitivity {
			return false
		}
	}
	return true
}

// TakeAll returns the paces at which filling tasks together keep within the
// budget, and takes what they need. Those that hardly press come first, the others
// in the order given.
func (m *Model) TakeAll(b *Budget, filling []Filling) []int {
	paces := make([]int, len(filling))
	for _, light := range []bool{true, false} {
		for i, f := range filling {
			if m.IsLight(b, f.Image) == light {
				paces[i] = m.Take(b, f)
			}
		}
	}
	return paces
}

// Take returns the pace at which a filling task keeps within the budget, and
// takes what it needs at that pace.
func (m *Model) Take(b *Budget, f Filling) int {
	pace := 1.0
	for i, image := range b.images {
		need := m.Sensitivity(image, f.Image) * f.FullShare
		if need > 0 {
			pace = min(pace, max(0, b.left[i])/need)
		}
	}
	for i, image := range b.images {
		b.left[i] -= pace * m.Sensitivity(image, f.Image) * f.FullShare
	}
	return int(FullPace * pace)
}

// Least returns the least utilization that is left to a serving task, 1 where
// none serves.
func (b Budget) Least() float64 {
	least := 1.0
	for _, left := range b.left {
		least = min(least, left)
	}
	return least
}

// Clone returns a copy that can be taken from.
func (b Budget) Clone() Budget {
	b.left = append([]float64(nil), b.left...)
	return b
}
