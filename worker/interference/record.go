package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxLatencyCriticalImages bounds the latency-critical images that a model
// keeps, and maxBestEffortImages the best-effort images of each, so that an update of a filter stays
// below 10,000 operations. Who stores the records bounds their bytes, which depend on the images' names.
const (
	maxLatencyCriticalImages = 32
	maxBestEffortImages      = 48
)

// ImageRecord is what was learned about one latency-critical image.
type ImageRecord struct {
	Image string
	// Idle is the tail latency of an idle task as a share of its target.
	Idle  float64
	Pairs []PairRecord
	// MeasuredAt is when the image was last measured. It is not stored.
	MeasuredAt time.Duration
}

// PairRecord is the learned sensitivity of a latency-critical image to one
// best-effort image.
type PairRecord struct {
	BestEffort string
	// Sensitivity is the increase of the utilization if the best-effort image uses
	// all processors of a worker, and Variance the variance of this estimate.
	Sensitivity, Variance float64
	// UsedAt is when the two images were last seen together. It is not stored.
	UsedAt time.Duration
}

// Export returns what was learned about the images, ordered by image, to restore a
// later model from.
func (m *Model) Export() []ImageRecord {
	var records []ImageRecord
	for image, f := range m.filters {
		records = append(records, ImageRecord{Image: image, Idle: m.idleOf(image), Pairs: f.record(), MeasuredAt: f.at})
	}
	slices.SortFunc(records, func(a, b ImageRecord) int { return cmp.Compare(a.Image, b.Image) })
	return records
}

// record returns the pairs of the filter, ordered by best-effort image.
func (f *filter) record() []PairRecord {
	var pairs []PairRecord
	for bestEffort, i := range f.sensitivities {
		pairs = append(pairs, PairRecord{BestEffort: bestEffort, Sensitivity: f.mean[i], Variance: f.cov[i][i], UsedAt: f.lastUsed[bestEffort]})
	}
	slices.SortFunc(pairs, func(a, b PairRecord) int {
		return cmp.Compare(a.BestEffort, b.BestEffort)
	})
	return pairs
}

// Restore initializes the model from the records of an earlier one. It must be
// called before the first Observe.
func (m *Model) Restore(records []ImageRecord) {
	for _, r := range records {
		if r.Idle > 0 {
			m.idle[r.Image] = min(priorIdleRatio, r.Idle)
		}
		f := m.filter(r.Image)
		for _, p := range r.Pairs {
			i := f.sensitivity(p.BestEffort)
			if math.IsNaN(p.Sensitivity) || math.IsNaN(p.Variance) {
				continue
			}
			f.mean[i] = min(maxSensitivity, max(0, p.Sensitivity))
			f.cov[i][i] = min(priorSensitivityVariance, max(0, p.Variance))
		}
	}
}
