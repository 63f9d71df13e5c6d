package interference

import (
	"math"
	"time"
)

const (
	// priorSensitivity is the prior mean of a sensitivity, and
	// priorSensitivityVariance its prior variance. A sensitivity is the increase
	// of the utilization per share of the worker's processors that best-effort
	// tasks of one image use.
	priorSensitivity         = 0.8
	priorSensitivityVariance = 0.6
	// maxSensitivity bounds the sensitivities, as measurements are noisy.
	maxSensitivity = 8.0
	// sensitivityDrift is the variance that is added to a sensitivity each
	// second.
	sensitivityDrift = 0.0005
	// priorLoad is the prior mean of the utilization of a latency-critical task by
	// its own load, and priorLoadVariance its prior variance: those of a value that is
	// as likely to be anywhere between 0 and 1.
	priorLoad         = 0.5
	priorLoadVariance = 1.0 / 12
	// priorTrendVariance is the prior variance of a trend, the change of a load
	// per second, and trendDrift the variance that is added to it each second.
	priorTrendVariance = 0.005
	trendDrift         = 0.002
	// trendTimeConstant is the time constant with which a trend decays between
	// measurements.
	trendTimeConstant = 3 * time.Second
	// measurementVariance is the variance of a measured utilization in addition
	// to that of rounding: a measurement does not cover the same time span as
	// the measured usage of the best-effort tasks.
	measurementVariance = 0.002
	// outlierDeviations is the number of standard deviations to which the
	// residual of a measurement is limited: a larger one has another cause than
	// the load and the best-effort tasks.
	outlierDeviations = 3.0
	// stepRetention is the time without measurements after which a step is dropped
	// from the state.
	stepRetention = 20 * time.Second
)

// filter is a Kalman filter for one latency-critical image. Its state holds the
// sensitivity to each best-effort image, and for each step that runs the image its
// own load and the trend of that load. The tasks of a step share its load.
type filter struct {
	at time.Duration
	// sensitivities is the index of the sensitivity to each best-effort image, and
	// lastUsed the time at which that image was last observed with the
	// latency-critical one.
	sensitivities map[string]int
	lastUsed      map[string]time.Duration
	steps         map[string]*stepLoad
	mean          []float64
	cov           [][]float64
	// crossCovariance is the result of project, kept to reuse its memory.
	crossCovariance []float64
}

// stepLoad holds the indexes of a step's own load and its trend in the state of a
// filter, and the time of its last measurement.
type stepLoad struct {
	load, trend int
	seen        time.Duration
}

// observation is the measured utilization of the tasks of one step on one worker.
type observation struct {
	step        string
	utilization float64
	variance    float64
}

func newFilter() *filter {
	return &filter{sensitivities: make(map[string]int), lastUsed: make(map[string]time.Duration), steps: make(map[string]*stepLoad)}
}

// addState adds a state variable with its prior, and returns its index.
func (f *filter) addState(mean, variance float64) int {
	i := len(f.mean)
	f.mean = append(f.mean, mean)
	for row := range f.cov {
		f.cov[row] = append(f.cov[row], 0)
	}
	f.cov = append(f.cov, make([]float64, i+1))
	f.cov[i][i] = variance
	return i
}

// sensitivity returns the index of the sensitivity to a best-effort image. A
// new image is added with the prior; if there are too many, the one not used
// for the longest time is dropped.
func (f *filter) sensitivity(image string) int {
	f.lastUsed[image] = f.at
	if i, known := f.sensitivities[image]; known {
		return i
	}
	if len(f.sensitivities) >= maxBestEffortImages {
		f.dropBestEffort(oldest(f.lastUsed, image))
	}
	i := f.addState(priorSensitivity, priorSensitivityVariance)
	f.sensitivities[image] = i
	return i
}

// dropBestEffort drops the sensitivity to a best-effort image.
func (f *filter) dropBestEffort(image string) {
	f.removeState(f.sensitivities[image])
	delete(f.sensitivities, image)
	delete(f.lastUsed, image)
}

// oldest returns the name with the earliest time, other than the excluded one.
func oldest(times map[string]time.Duration, excluded string) string {
	first := ""
	for name, at := range times {
		if name != excluded && (first == "" || at < times[first] || (at == times[first] && name < first)) {
			first = name
		}
	}
	return first
}

func (f *filter) step(name string) *stepLoad {
	s := f.steps[name]
	if s == nil {
		s = &stepLoad{load: f.addState(priorLoad, priorLoadVariance), trend: f.addState(0, priorTrendVariance)}
		f.steps[name] = s
	}
	return s
}

// advance predicts the state at a later time, and drops steps without recent
// measurements.
func (f *filter) advance(at time.Duration) {
	if at <= f.at {
		return
	}
	elapsed := at - f.at
	f.at = at
	for name, s := range f.steps {
		if at-s.seen > stepRetention {
			f.dropStep(name)
		}
	}
	seconds := min(elapsed, stepRetention).Seconds()
	decay := trendDecay(elapsed)
	for _, s := range f.steps {
		f.applyTrend(s, seconds, decay)
	}
	for _, i := range f.sensitivities {
		f.cov[i][i] = min(priorSensitivityVariance, f.cov[i][i]+sensitivityDrift*seconds)
	}
}

// trendDecay returns the factor by which a trend decays within a time.
func trendDecay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(trendTimeConstant))
}

// applyTrend predicts a step's load from its trend.
func (f *filter) applyTrend(s *stepLoad, seconds, decay float64) {
	f.mean[s.load] = min(maxUtilization, max(0, f.mean[s.load]+seconds*f.mean[s.trend]))
	f.mean[s.trend] *= decay
	for i := range f.mean {
		f.cov[s.load][i] += seconds * f.cov[s.trend][i]
		f.cov[s.trend][i] *= decay
	}
	for i := range f.mean {
		f.cov[i][s.load] += seconds * f.cov[i][s.trend]
		f.cov[i][s.trend] *= decay
	}
	f.cov[s.load][s.load] = min(priorLoadVariance, f.cov[s.load][s.load])
	f.cov[s.trend][s.trend] = min(priorTrendVariance, f.cov[s.trend][s.trend]+trendDrift*seconds)
}

// dropStep drops a step's load from the state.
func (f *filter) dropStep(name string) {
	s := f.steps[name]
	delete(f.steps, name)
	f.removeState(s.trend) // the trend was added after the load and has the higher index
	f.removeState(s.load)
}

// removeState removes a state variable. The indexes of those after it decrease
// by one.
func (f *filter) removeState(index int) {
	f.mean = append(f.mean[:index], f.mean[index+1:]...)
	f.cov = append(f.cov[:index], f.cov[index+1:]...)
	for row := range f.cov {
		f.cov[row] = append(f.cov[row][:index], f.cov[row][index+1:]...)
	}
	for image, i := range f.sensitivities {
		if i > index {
			f.sensitivities[image] = i - 1
		}
	}
	for _, s := range f.steps {
		if s.load > index {
			s.load--
		}
		if s.trend > index {
			s.trend--
		}
	}
}

// expect returns the expected utilization of a step's tasks, given the usage of
// each best-effort image. A new step or image is added with its prior.
func (f *filter) expect(step string, usage map[string]float64) float64 {
	u := f.mean[f.step(step).load]
	for image, share := range usage {
		u += f.mean[f.sensitivity(image)] * share
	}
	return u
}

// correct updates the state from the measured utilization of a step's tasks on one
// worker, given the usage of each best-effort image.
func (f *filter) correct(o observation, usage map[string]float64) {
	s := f.step(o.step)
	s.seen = f.at
	residual := o.utilization - f.expect(o.step, usage)
	f.project(s.load, usage)
	innovationVariance := o.variance + f.crossCovariance[s.load]
	for image, share := range usage {
		if i, known := f.sensitivities[image]; known {
			innovationVariance += share * f.crossCovariance[i]
		}
	}
	limit := outlierDeviations * math.Sqrt(innovationVariance)
	residual = min(limit, max(-limit, residual))
	for i, p := range f.crossCovariance {
		f.mean[i] += p * residual / innovationVariance
		for j, q := range f.crossCovariance {
			f.cov[i][j] -= p * q / innovationVariance
		}
	}
	f.clampState()
}

// project sets product to the covariance of each state variable with the
// measurement.
func (f *filter) project(load int, usage map[string]float64) {
	f.crossCovariance = append(f.crossCovariance[:0], f.cov[load]...)
	for image, share := range usage {
		index, known := f.sensitivities[image]
		if !known {
			continue // dropped when another image was added
		}
		for i, covariance := range f.cov[index] {
			f.crossCovariance[i] += share * covariance
		}
	}
}

// clampState limits the state to the possible range.
func (f *filter) clampState() {
	for _, i := range f.sensitivities {
		f.mean[i] = min(maxSensitivity, max(0, f.mean[i]))
	}
	for _, s := range f.steps {
		f.mean[s.load] = min(maxUtilization, max(0, f.mean[s.load]))
	}
}

// forecast returns a step's own load at a time ahead.
func (f *filter) forecast(step string, ahead time.Duration) float64 {
	s := f.step(step)
	return min(maxUtilization, max(0, f.mean[s.load]+ahead.Seconds()*f.mean[s.trend]))
}
