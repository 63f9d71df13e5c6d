package worker

import (
	"math"
	"time"
)

const (
	// priorEffect and priorDeviation are the prior mean and standard deviation
	// of the effect of an entry on a service, as the logarithm of the slowdown
	// at full load.
	priorEffect    = 0.004
	priorDeviation = 0.5
	// reportDeviation is the standard deviation of the noise in the log latency
	// of one report.
	reportDeviation = 0.08
	// outlierDeviations is the number of standard deviations from which the
	// residual of a report is taken as a sign that the effects have changed.
	outlierDeviations = 3.0
	// driftDeviation is the standard deviation of the change of a state variable
	// between two reports that depend on it.
	driftDeviation = 0.002
	// levelDeviation is the prior standard deviation of the log latency
	// without interference, curveDeviation that of its dependence on the load.
	levelDeviation = 0.5
	curveDeviation = 0.2
	// loadKnots is the number of evenly spaced loads, from 0 to 1, at which the
	// latency without interference is estimated.
	loadKnots = 6
	// maxModelEntries is the maximum number of batch entries in one service's
	// model. Beyond it, the entry whose last report is oldest is evicted.
	maxModelEntries = 64
)

// serviceModel models the latency of one service. The log latency is the sum of
// a baseline without interference, which depends on the load, and one effect for
// each batch entry on the worker, in proportion to its activity and the load. A
// Kalman filter estimates these state variables with their covariance. Effects of
// entries that were only ever observed together therefore stay correlated, and an
// unexpected latency is attributed to the least certain variables.
type serviceModel struct {
	// mean holds the state variables: loadKnots baselines, followed by one
	// effect for each entry.
	mean []float64
	// covariance is the covariance matrix of mean, in row-major order.
	covariance []float64
	// indexes maps an entry to the index of its effect in mean.
	indexes map[string]int
	// lastSeen is when a report last depended on each state variable.
	lastSeen []time.Time
	load     float64
}

// term is the index of a state variable and its factor in a report.
type term struct {
	index  int
	factor float64
}

// newServiceModel returns a model whose prior baseline is the given log latency.
func newServiceModel(latency float64) *serviceModel {
	m := &serviceModel{
		mean: make([]float64, loadKnots), covariance: make([]float64, loadKnots*loadKnots),
		lastSeen: make([]time.Time, loadKnots), indexes: map[string]int{},
	}
	for i := range loadKnots {
		m.mean[i] = latency
		for j := range loadKnots {
			m.covariance[i*loadKnots+j] = levelDeviation * levelDeviation
		}
		m.covariance[i*loadKnots+i] += curveDeviation * curveDeviation
	}
	return m
}

func (m *serviceModel) at(i, j int) float64 { return m.covariance[i*len(m.mean)+j] }

// effect returns the effect of a batch entry, the prior if the entry is unknown
// or the model is nil.
func (m *serviceModel) effect(entry string) Effect {
	if m != nil {
		if i, ok := m.indexes[entry]; ok {
			return Effect{m.mean[i], math.Sqrt(m.at(i, i))}
		}
	}
	return Effect{priorEffect, priorDeviation}
}

// baseline returns the baseline, the log latency without interference, at a load.
func (m *serviceModel) baseline(load float64) float64 {
	i, f := knotBelow(load)
	return m.mean[i]*(1-f) + m.mean[i+1]*f
}

// knotBelow returns the index of the knot below the load, and the fraction of the
// distance to the next knot.
func knotBelow(load float64) (int, float64) {
	at := min(max(load, 0), 1) * (loadKnots - 1)
	i := min(int(at), loadKnots-2)
	return i, at - float64(i)
}

// observe updates the model from a report.
func (m *serviceModel) observe(r ServiceReport) {
	terms := m.terms(r)
	n := len(m.mean)
	residual := math.Log(r.P99.Seconds())
	for _, t := range terms {
		m.covariance[t.index*n+t.index] += driftDeviation * driftDeviation
		m.lastSeen[t.index] = r.To
		residual -= m.mean[t.index] * t.factor
	}
	crossCovariance, variance := m.project(terms)
	if shift := residual * residual / (outlierDeviations * outlierDeviations * variance); shift > 1 {
		m.inflateVariance(terms, shift)
		crossCovariance, variance = m.project(terms)
	}
	for i := range n {
		gain := crossCovariance[i] / variance
		m.mean[i] += gain * residual
		for j := range n {
			m.covariance[i*n+j] -= gain * crossCovariance[j]
		}
	}
	for i := loadKnots; i < n; i++ {
		m.mean[i] = max(m.mean[i], 0)
	}
	m.load = r.Load
}

// terms returns the state variables that a report depends on, with their factors.
func (m *serviceModel) terms(r ServiceReport) []term {
	i, f := knotBelow(r.Load)
	terms := append(make([]term, 0, 2+len(r.Neighbours)), term{i, 1 - f}, term{i + 1, f})
	for _, n := range r.Neighbours {
		terms = append(terms, term{m.index(n.Entry, r.To), n.Activity * r.Load})
	}
	return terms
}

// project returns the covariance of each state variable with the log latency of
// the report, and the variance of that latency.
func (m *serviceModel) project(terms []term) ([]float64, float64) {
	crossCovariance := make([]float64, len(m.mean))
	for i := range crossCovariance {
		for _, t := range terms {
			crossCovariance[i] += m.at(i, t.index) * t.factor
		}
	}
	variance := reportDeviation * reportDeviation
	for _, t := range terms {
		variance += crossCovariance[t.index] * t.factor
	}
	return crossCovariance, variance
}

// inflateVariance multiplies the variances of the report's effects by the given
// factor, up to the prior variance.
func (m *serviceModel) inflateVariance(terms []term, by float64) {
	for _, t := range terms {
		if t.index < loadKnots {
			continue
		}
		v := &m.covariance[t.index*len(m.mean)+t.index]
		*v = max(*v, min(*v*by, priorDeviation*priorDeviation))
	}
}

// index returns the index of an entry's effect. A new entry gets an index and the
// prior effect.
func (m *serviceModel) index(entry string, at time.Time) int {
	if i, ok := m.indexes[entry]; ok {
		return i
	}
	i := len(m.mean)
	if len(m.indexes) >= maxModelEntries {
		i = m.evictOldest()
	} else {
		m.grow()
	}
	m.indexes[entry], m.lastSeen[i] = i, at
	m.reset(i)
	return i
}

// evictOldest removes the entry whose last report is oldest, and returns the
// index of its effect for reuse.
func (m *serviceModel) evictOldest() int {
	oldest, at := "", -1
	for entry, i := range m.indexes {
		if at < 0 || m.lastSeen[i].Before(m.lastSeen[at]) || (m.lastSeen[i].Equal(m.lastSeen[at]) && entry < oldest) {
			oldest, at = entry, i
		}
	}
	delete(m.indexes, oldest)
	return at
}

func (m *serviceModel) grow() {
	n := len(m.mean)
	covariance := make([]float64, (n+1)*(n+1))
	for i := range n {
		copy(covariance[i*(n+1):], m.covariance[i*n:(i+1)*n])
	}
	m.mean, m.covariance, m.lastSeen = append(m.mean, 0), covariance, append(m.lastSeen, time.Time{})
}

func (m *serviceModel) reset(i int) {
	n := len(m.mean)
	for j := range n {
		m.covariance[i*n+j], m.covariance[j*n+i] = 0, 0
	}
	m.mean[i] = priorEffect
	m.covariance[i*n+i] = priorDeviation * priorDeviation
}
