package worker

import (
	"math"
	"time"
)

const (
	// priorEffect and priorDeviation are what is assumed of a pairing that was
	// never seen, as the logarithm of the slowdown at full load.
	priorEffect    = 0.004
	priorDeviation = 0.5
	// reportDeviation is the noise of one report's logarithm of the latency.
	reportDeviation = 0.08
	// surprising is the number of deviations from which a report is taken as a
	// sign that the effects have shifted.
	surprising = 3.0
	// drift is how far a number may wander between two reports that it is part
	// of.
	drift = 0.002
	// levelDeviation is the uncertainty of the latency without interference
	// before the first report, curveDeviation that of its change with the load.
	levelDeviation = 0.5
	curveDeviation = 0.2
	// loadKnots is the number of loads, from 0 to 1, at which the latency
	// without interference is learned.
	loadKnots = 6
	// modelEntries is the most batch entries that one service's model keeps.
	// The one that was not seen for longest gives way.
	modelEntries = 64
)

// serviceModel is what is known of one service. The logarithm of a latency is
// taken as the sum of one without interference, which depends on the load, and
// of one effect for each batch entry on the worker, in proportion to its
// activity and the load. A Kalman filter estimates these numbers with their
// covariance, so that what was only ever seen together is not told apart, and a
// surprise is laid on what is least known.
type serviceModel struct {
	// mean holds loadKnots numbers of the latency without interference and one
	// effect for each entry.
	mean []float64
	// covariance is the row-major covariance of mean.
	covariance []float64
	// slots tells which number is an entry's effect.
	slots map[string]int
	// seen tells when a number was last part of a report.
	seen []time.Time
	load float64
}

// term is one number of the model and its factor in a report.
type term struct {
	number int
	factor float64
}

// newServiceModel returns a model whose latency without interference is about
// the first one seen.
func newServiceModel(latency float64) *serviceModel {
	m := &serviceModel{
		mean: make([]float64, loadKnots), covariance: make([]float64, loadKnots*loadKnots),
		seen: make([]time.Time, loadKnots), slots: map[string]int{},
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

// effect returns the effect of a batch entry. It may be asked of a nil model.
func (m *serviceModel) effect(entry string) Effect {
	if m != nil {
		if i, ok := m.slots[entry]; ok {
			return Effect{m.mean[i], math.Sqrt(m.at(i, i))}
		}
	}
	return Effect{priorEffect, priorDeviation}
}

// alone returns the logarithm of the latency without interference at a load.
func (m *serviceModel) alone(load float64) float64 {
	i, f := knot(load)
	return m.mean[i]*(1-f) + m.mean[i+1]*f
}

// knot returns the knot below the load and how far the load is to the next.
func knot(load float64) (int, float64) {
	at := min(max(load, 0), 1) * (loadKnots - 1)
	i := min(int(at), loadKnots-2)
	return i, at - float64(i)
}

// observe takes in a report.
func (m *serviceModel) observe(r ServiceReport) {
	terms := m.terms(r)
	n := len(m.mean)
	surprise := math.Log(r.P99.Seconds())
	for _, t := range terms {
		m.covariance[t.number*n+t.number] += drift * drift
		m.seen[t.number] = r.To
		surprise -= m.mean[t.number] * t.factor
	}
	along, variance := m.project(terms)
	if shift := surprise * surprise / (surprising * surprising * variance); shift > 1 {
		m.widen(terms, shift)
		along, variance = m.project(terms)
	}
	for i := range n {
		gain := along[i] / variance
		m.mean[i] += gain * surprise
		for j := range n {
			m.covariance[i*n+j] -= gain * along[j]
		}
	}
	for i := loadKnots; i < n; i++ {
		m.mean[i] = max(m.mean[i], 0)
	}
	m.load = r.Load
}

// terms returns the numbers that a report depends on.
func (m *serviceModel) terms(r ServiceReport) []term {
	i, f := knot(r.Load)
	terms := append(make([]term, 0, 2+len(r.Neighbours)), term{i, 1 - f}, term{i + 1, f})
	for _, n := range r.Neighbours {
		terms = append(terms, term{m.slot(n.Entry, r.To), n.Activity * r.Load})
	}
	return terms
}

// project returns the covariance of each number with the report, and the
// report's variance.
func (m *serviceModel) project(terms []term) ([]float64, float64) {
	along := make([]float64, len(m.mean))
	for i := range along {
		for _, t := range terms {
			along[i] += m.at(i, t.number) * t.factor
		}
	}
	variance := reportDeviation * reportDeviation
	for _, t := range terms {
		variance += along[t.number] * t.factor
	}
	return along, variance
}

// widen multiplies the variances of the report's effects, up to that of a
// pairing that was never seen.
func (m *serviceModel) widen(terms []term, by float64) {
	for _, t := range terms {
		if t.number < loadKnots {
			continue
		}
		v := &m.covariance[t.number*len(m.mean)+t.number]
		*v = max(*v, min(*v*by, priorDeviation*priorDeviation))
	}
}

// slot returns the number of an entry's effect; it makes one where there is
// none yet.
func (m *serviceModel) slot(entry string, at time.Time) int {
	if i, ok := m.slots[entry]; ok {
		return i
	}
	i := len(m.mean)
	if len(m.slots) >= modelEntries {
		i = m.giveWay()
	} else {
		m.grow()
	}
	m.slots[entry], m.seen[i] = i, at
	m.reset(i)
	return i
}

// giveWay frees the number of the entry that was not seen for longest.
func (m *serviceModel) giveWay() int {
	oldest, at := "", -1
	for entry, i := range m.slots {
		if at < 0 || m.seen[i].Before(m.seen[at]) || (m.seen[i].Equal(m.seen[at]) && entry < oldest) {
			oldest, at = entry, i
		}
	}
	delete(m.slots, oldest)
	return at
}

func (m *serviceModel) grow() {
	n := len(m.mean)
	covariance := make([]float64, (n+1)*(n+1))
	for i := range n {
		copy(covariance[i*(n+1):], m.covariance[i*n:(i+1)*n])
	}
	m.mean, m.covariance, m.seen = append(m.mean, 0), covariance, append(m.seen, time.Time{})
}

func (m *serviceModel) reset(i int) {
	n := len(m.mean)
	for j := range n {
		m.covariance[i*n+j], m.covariance[j*n+i] = 0, 0
	}
	m.mean[i] = priorEffect
	m.covariance[i*n+i] = priorDeviation * priorDeviation
}
