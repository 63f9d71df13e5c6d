package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// sizeHalfLife is the time in which the weight of a report halves.
	sizeHalfLife = 6 * time.Hour
	// peakWindow is the minimum time for which a memory peak counts. The
	// maximum is twice as long.
	peakWindow = 12 * time.Hour
	// minSizeReports is the number of reports below which an estimate is never
	// smaller than the declared size.
	minSizeReports = 20
	// minSizeTasks is the minimum number of tasks that these reports come from.
	minSizeTasks = 3
	// cpuQuantile is the quantile of the reports that the CPU estimate covers.
	// A task that exceeds its CPU reservation is slowed, not killed.
	cpuQuantile = 0.95
	// memoryMargin is the factor of the memory estimate over the peak, as a
	// task that exceeds its memory reservation is killed.
	memoryMargin = 1.2
	// outOfMemoryGrowth is the factor over its reservation that a task killed
	// for lack of memory is assumed to need.
	outOfMemoryGrowth = 1.5
	// runTimeQuantile is the quantile of the run times that their estimate
	// covers.
	runTimeQuantile = 0.9
)

// Bounds limits an estimate to a range of factors of the declared amount.
type Bounds struct{ Lower, Upper float64 }

// Bounds of estimates. The memory estimate may be reduced less than the CPU
// estimate, as a task that exceeds its memory reservation is killed.
var (
	CPUBounds     = Bounds{Lower: 0.25, Upper: 16}
	MemoryBounds  = Bounds{Lower: 0.5, Upper: 16}
	RunTimeBounds = Bounds{Lower: 0.1, Upper: 32}
)

func (b Bounds) clamp(ratio float64) float64 { return min(max(ratio, b.Lower), b.Upper) }

// TaskUsage is the average usage of one task since its previous report.
type TaskUsage struct {
	Task       carobkeel.TaskID
	Entry      string
	Used       carobkeel.Resources
	MeasuredAt time.Time
}

// SizeEstimator estimates how much the tasks of each entry use. Accelerators are not
// divided between tasks and are always reserved as declared. A SizeEstimator is not
// safe for concurrent use.
type SizeEstimator struct{ entries map[string]*sizeHistory }

// sizeHistory is the usage history of one entry.
type sizeHistory struct {
	// declared is the declared size that the ratios are relative to. When it
	// changes, the history starts again.
	declared carobkeel.Resources
	cpu      ratioHistogram
	runTime  ratioHistogram
	memory   recentPeak
	reports  int
	// tasks holds the ids of the first tasks that reported, up to minSizeTasks.
	tasks []carobkeel.TaskID
}

// NewSizeEstimator returns a SizeEstimator without any history.
func NewSizeEstimator() *SizeEstimator { return &SizeEstimator{entries: map[string]*sizeHistory{}} }

// Observe adds a task's usage report. The declared size is that of its entry.
func (s *SizeEstimator) Observe(u TaskUsage, declared carobkeel.Resources) {
	h := s.history(u.Entry, declared)
	if declared.MilliCPU > 0 {
		h.cpu.add(ratio(u.Used.MilliCPU, declared.MilliCPU), u.MeasuredAt, sizeHalfLife)
	}
	h.memory.observe(u.Used.MemoryBytes, u.MeasuredAt)
	h.reports++
	h.recordTask(u.Task)
}

// ObserveOutOfMemory records that a task was killed because it needed more memory
// than it had reserved.
func (s *SizeEstimator) ObserveOutOfMemory(entry string, declared, reserved carobkeel.Resources, at time.Time) {
	h := s.history(entry, declared)
	h.memory.observe(int64(float64(reserved.MemoryBytes)*outOfMemoryGrowth/memoryMargin), at)
}

// ObserveRunTime records the run time of a finished task.
func (s *SizeEstimator) ObserveRunTime(entry string, declared carobkeel.Resources, declaredTime, ran time.Duration, at time.Time) {
	if declaredTime <= 0 {
		return
	}
	h := s.history(entry, declared)
	h.runTime.add(ran.Seconds()/declaredTime.Seconds(), at, sizeHalfLife)
}

// Estimate is the estimated size of an entry's tasks.
type Estimate struct {
	// Size is the reservation for a new task.
	Size carobkeel.Resources
	// Clamped reports whether usage was above the upper bound, so that the
	// declared size is too small by more than the system corrects. The owner
	// should be notified.
	Clamped bool
	// Learned reports whether there were enough reports for an estimate below
	// the declared size.
	Learned bool
}

// Estimate returns the estimated size of an entry's tasks at now.
func (s *SizeEstimator) Estimate(entry string, declared carobkeel.Resources, now time.Time) Estimate {
	h, ok := s.entries[entry]
	if !ok || h.declared != declared {
		return Estimate{Size: declared}
	}
	e := Estimate{Size: declared, Learned: h.learned()}
	e.Size.MilliCPU = e.bounded(declared.MilliCPU, h.cpu.quantile(cpuQuantile), CPUBounds)
	memory := memoryMargin * ratio(h.memory.at(now), declared.MemoryBytes)
	e.Size.MemoryBytes = e.bounded(declared.MemoryBytes, memory, MemoryBounds)
	return e
}

// EstimateRunTime returns the estimated run time of the entry's tasks, the
// declared one if no run time was observed.
func (s *SizeEstimator) EstimateRunTime(entry string, declared time.Duration) time.Duration {
	h, ok := s.entries[entry]
	if !ok || h.runTime.total == 0 {
		return declared
	}
	factor := RunTimeBounds.clamp(h.runTime.quantile(runTimeQuantile))
	return time.Duration(float64(declared) * factor)
}

// Forget drops the history of an entry that was removed from the catalogue.
func (s *SizeEstimator) Forget(entry string) { delete(s.entries, entry) }

// bounded returns the declared amount times the ratio, within the bounds. Before
// there are enough reports it is no less than declared.
func (e *Estimate) bounded(declared int64, ratio float64, bounds Bounds) int64 {
	if !e.Learned {
		ratio = max(1, ratio)
	}
	e.Clamped = e.Clamped || ratio > bounds.Upper
	return int64(float64(declared) * bounds.clamp(ratio))
}

func (s *SizeEstimator) history(entry string, declared carobkeel.Resources) *sizeHistory {
	h, ok := s.entries[entry]
	if !ok || h.declared != declared {
		h = &sizeHistory{declared: declared}
		s.entries[entry] = h
	}
	return h
}

func (h *sizeHistory) learned() bool {
	return h.reports >= minSizeReports && len(h.tasks) >= minSizeTasks
}

func (h *sizeHistory) recordTask(id carobkeel.TaskID) {
	if len(h.tasks) >= minSizeTasks {
		return
	}
	for _, known := range h.tasks {
		if known == id {
			return
		}
	}
	h.tasks = append(h.tasks, id)
}

// recentPeak is the largest amount in the current window and the previous one.
type recentPeak struct {
	start             time.Time
	current, previous int64
}

func (p *recentPeak) observe(amount int64, at time.Time) {
	p.rotate(at)
	p.current = max(p.current, amount)
}

func (p *recentPeak) at(now time.Time) int64 {
	rotated := *p
	rotated.rotate(now)
	return max(rotated.current, rotated.previous)
}

// rotate starts a new window if the current one is over. Without reports no new
// window starts, so the last peak stays valid.
func (p *recentPeak) rotate(at time.Time) {
	if p.start.IsZero() {
		p.start = at
		return
	}
	if at.Sub(p.start) < peakWindow || p.current == 0 {
		return
	}
	p.previous, p.current, p.start = p.current, 0, at
}
