// Package interference models the interference between tasks on the same worker. It
// learns, for each pair of images, how much best-effort tasks raise the tail
// latency of latency-critical ones, and computes the pace at which best-effort
// tasks may run so that the latency stays below its target.
//
// A latency-critical task is modelled as a queue whose tail latency is that of an
// idle task divided by 1 minus its utilization. The utilization is the sum of that
// of its own load, which the tasks of its step share, and of what best-effort tasks
// add in proportion to the processors that they use. A step is a set of equal tasks
// of a job.
//
// The package does no I/O and reads no clock.
package interference

import (
	"math"
	"time"
)

const (
	// priorIdleRatio is the assumed tail latency of an idle task as a share of its
	// target, until a lower one is observed.
	priorIdleRatio = 0.2
	// targetRatio is the tail latency to aim at, as a share of the target. It is
	// below 1 because measurements are half a second old, and the load changes
	// within seconds.
	targetRatio = 0.85
	// forecastHorizon is how far ahead a load is forecast: measurements are a
	// quarter of a second old on average, and a pace is effective from 100 ms
	// later until the next measurements.
	forecastHorizon = 500 * time.Millisecond
	// lightSensitivity is the sensitivity below which a best-effort image counts
	// as light.
	lightSensitivity = 0.35
	// saturation is the utilization from which on the tail latency no longer shows
	// how high the utilization is. Best-effort tasks wait until the queue is gone.
	saturation = 0.92
	// plannedDeviations is the number of standard deviations by which plans differ from
	// what is expected. A target that is exceeded costs more than a best-effort task that
	// waits, and a queue takes a second to go.
	plannedDeviations = 1.0
	// uniformVariance is the variance of the error of rounding to integers.
	uniformVariance = 1.0 / 12
	// maxUtilization is the upper bound of utilizations. It also represents a queue
	// that grows without limit.
	maxUtilization = 0.98
)

// FullPace is the pace, in percent, of a task whose CPU use is not capped.
const FullPace = 100

// LatencyCritical is a measurement of a latency-critical task.
type LatencyCritical struct {
	// Step is the name of the step that the task belongs to. The tasks of a step
	// share its load.
	Step  string
	Image string
	// Ratio is the tail latency as a share of its target, zero if it was not
	// measured.
	Ratio float64
	// Rounding is the rounding unit of the measured latency, as a share of the
	// target.
	Rounding float64
}

// BestEffort is a best-effort task.
type BestEffort struct {
	Image string
	// Share is the share of the worker's processors that the task used during the
	// measurement.
	Share float64
	// FullShare is the share that it would use at full pace.
	FullShare float64
}

// Model holds what was learned about the images. Create one with New.
type Model struct {
	filters map[string]*filter
	// idle is the lowest observed tail latency of each latency-critical image, as a
	// share of the target.
	idle map[string]float64
}

// New returns a model that has learned nothing yet.
func New() *Model {
	return &Model{filters: make(map[string]*filter), idle: make(map[string]float64)}
}

// Sensitivity returns how much a best-effort image that uses all processors of a
// worker would raise the utilization of a latency-critical one.
func (m *Model) Sensitivity(critical, bestEffort string) float64 {
	f := m.filters[critical]
	if f == nil {
		return priorSensitivity
	}
	i, known := f.sensitivities[bestEffort]
	if !known {
		return priorSensitivity
	}
	return f.mean[i]
}

// cautiousSensitivity returns the sensitivity that plans are made with: it is above the
// expected one by plannedDeviations, so that an image that is not known well starts with
// few tasks.
func (m *Model) cautiousSensitivity(critical, bestEffort string) float64 {
	mean, variance := priorSensitivity, priorSensitivityVariance
	if f := m.filters[critical]; f != nil {
		if i, known := f.sensitivities[bestEffort]; known {
			mean, variance = f.mean[i], f.cov[i][i]
		}
	}
	return mean + plannedDeviations*math.Sqrt(max(0, variance))
}

// Load returns the utilization of the tasks of a step by their own load, as learned from
// what they report, or the prior before that.
func (m *Model) Load(critical, step string) float64 {
	if f := m.filters[critical]; f != nil {
		if s := f.steps[step]; s != nil {
			return f.mean[s.load]
		}
	}
	return priorLoad
}

// Steps returns the number of steps of a latency-critical image for which the model
// keeps a load.
func (m *Model) Steps(critical string) int {
	if f := m.filters[critical]; f != nil {
		return len(f.steps)
	}
	return 0
}

func (m *Model) filter(critical string) *filter {
	f := m.filters[critical]
	if f == nil {
		if len(m.filters) >= maxLatencyCriticalImages {
			m.dropOldest()
		}
		f = newFilter()
		m.filters[critical] = f
	}
	return f
}

// dropOldest drops the latency-critical image whose last measurement is oldest.
func (m *Model) dropOldest() {
	times := make(map[string]time.Duration, len(m.filters))
	for image, f := range m.filters {
		times[image] = f.at
	}
	image := oldest(times, "")
	delete(m.filters, image)
	delete(m.idle, image)
}

// utilization returns the utilization that corresponds to a measured tail latency.
func (m *Model) utilization(s LatencyCritical) float64 {
	return min(maxUtilization, max(0, 1-m.idleOf(s.Image)/s.Ratio))
}

func (m *Model) idleOf(image string) float64 {
	if idle, known := m.idle[image]; known {
		return idle
	}
	return priorIdleRatio
}

// Observe learns from the measurements of one worker over one time span, and
// returns the budget that best-effort tasks may use from then on.
func (m *Model) Observe(at time.Duration, critical []LatencyCritical, bestEffort []BestEffort) Budget {
	usage := make(map[string]float64)
	for _, f := range bestEffort {
		usage[f.Image] += f.Share
	}
	var b Budget
	for _, group := range groupByStep(critical) {
		b.add(group[0].Image, m.observeStep(at, group, usage))
	}
	return b
}

// groupByStep returns the latency-critical tasks of each step.
func groupByStep(critical []LatencyCritical) [][]LatencyCritical {
	var groups [][]LatencyCritical
	index := make(map[string]int)
	for _, s := range critical {
		i, known := index[s.Step]
		if !known {
			i = len(groups)
			index[s.Step] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], s)
	}
	return groups
}

// observeStep learns from the tasks of one step on one worker, and returns how much
// utilization best-effort tasks may add to that of the step's own load.
func (m *Model) observeStep(at time.Duration, tasks []LatencyCritical, usage map[string]float64) float64 {
	image, step := tasks[0].Image, tasks[0].Step
	f := m.filter(image)
	f.advance(at)
	target := 1 - m.idleOf(image)/targetRatio
	o, seen := m.summarize(tasks)
	if !seen {
		return target - f.forecast(step, forecastHorizon)
	}
	if o.utilization < saturation || f.expect(step, usage) < o.utilization {
		f.correct(o, usage)
	}
	if o.utilization >= saturation {
		return target - maxUtilization
	}
	excess := max(0, o.utilization-f.expect(step, usage))
	return target - f.forecast(step, forecastHorizon) - excess
}

// summarize returns the mean utilization of the tasks of one step on one worker,
// and false if none of them was measured.
func (m *Model) summarize(tasks []LatencyCritical) (observation, bool) {
	o := observation{step: tasks[0].Step}
	n, rounding := 0.0, 0.0
	for _, s := range tasks {
		if s.Ratio <= 0 {
			continue
		}
		n++
		m.idle[s.Image] = min(m.idleOf(s.Image), s.Ratio)
		o.utilization += m.utilization(s)
		slope := m.idleOf(s.Image) / (s.Ratio * s.Ratio)
		rounding += slope * slope * s.Rounding * s.Rounding * uniformVariance
	}
	if n == 0 {
		return observation{}, false
	}
	o.utilization /= n
	o.variance = measurementVariance + rounding/(n*n)
	return o, true
}

// Budget is the utilization that best-effort tasks may add to the latency-critical
// tasks of a worker, by the image of the task.
type Budget struct {
	images    []string
	remaining []float64
}

func (b *Budget) add(image string, left float64) {
	b.images = append(b.images, image)
	b.remaining = append(b.remaining, left)
}

// isLight reports whether a best-effort image has little effect on every
// latency-critical task of a worker.
func (m *Model) isLight(b *Budget, image string) bool {
	for _, critical := range b.images {
		if m.cautiousSensitivity(critical, image) >= lightSensitivity {
			return false
		}
	}
	return true
}

// Plan is the distribution of a worker's budget to its best-effort tasks. Tasks of
// light images come first, the others in the order given.
type Plan struct {
	// Paces are the paces of the best-effort tasks, in percent.
	Paces []int
	// afterLight and afterAll are the remaining budgets after the tasks of light
	// images, and after all tasks.
	afterLight, afterAll Budget
	heavy                []BestEffort
}

// Plan returns the paces at which best-effort tasks together stay within a budget.
func (m *Model) Plan(b Budget, bestEffort []BestEffort) Plan {
	p := Plan{Paces: make([]int, len(bestEffort)), afterAll: b.clone()}
	for i, f := range bestEffort {
		if m.isLight(&b, f.Image) {
			p.Paces[i] = m.allocate(&p.afterAll, f)
		}
	}
	p.afterLight = p.afterAll.clone()
	for i, f := range bestEffort {
		if !m.isLight(&b, f.Image) {
			p.Paces[i] = m.allocate(&p.afterAll, f)
			p.heavy = append(p.heavy, f)
		}
	}
	return p
}

// PlanOneMore returns the pace that one more best-effort task would have, and the
// smallest budget of a latency-critical task that would then remain.
func (m *Model) PlanOneMore(p *Plan, f BestEffort) (pace int, least float64) {
	if !m.isLight(&p.afterAll, f.Image) {
		b := p.afterAll.clone()
		pace = m.allocate(&b, f)
		return pace, b.minRemaining()
	}
	b := p.afterLight.clone()
	pace = m.allocate(&b, f)
	for _, heavy := range p.heavy {
		m.allocate(&b, heavy)
	}
	return pace, b.minRemaining()
}

// allocate returns the highest pace at which a best-effort task stays within the
// budget, and subtracts what the task adds at that pace.
func (m *Model) allocate(b *Budget, f BestEffort) int {
	pace := 1.0
	for i, image := range b.images {
		need := m.cautiousSensitivity(image, f.Image) * f.FullShare
		if need > 0 {
			pace = min(pace, max(0, b.remaining[i])/need)
		}
	}
	for i, image := range b.images {
		b.remaining[i] -= pace * m.cautiousSensitivity(image, f.Image) * f.FullShare
	}
	return int(FullPace * pace)
}

// minRemaining returns the smallest remaining budget of a latency-critical
// task, 1 if there is no such task.
func (b Budget) minRemaining() float64 {
	least := 1.0
	for _, left := range b.remaining {
		least = min(least, left)
	}
	return least
}

// clone returns a copy with its own amounts, which allocate can change.
func (b Budget) clone() Budget {
	b.remaining = append([]float64(nil), b.remaining...)
	return b
}
