package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// sizeHalfLife is how long it takes until a report weighs half.
	sizeHalfLife = 6 * time.Hour
	// peakWindow is how long a peak of memory counts at least; it counts twice
	// as long at most.
	peakWindow = 12 * time.Hour
	// minSizeReports is the number of reports below which an estimate is never
	// smaller than the declared size.
	minSizeReports = 20
	// minSizeTasks is the number of tasks that these reports must come from.
	minSizeTasks = 3
	// cpuQuantile is the part of reports that the estimate of processors
	// covers. What is beyond is slowed, not killed.
	cpuQuantile = 0.95
	// memoryMargin is the room above the peak, as a task beyond its memory is
	// killed.
	memoryMargin = 1.2
	// outOfMemoryGrowth is how much more than its reservation a task that was
	// killed for memory is taken to need.
	outOfMemoryGrowth = 1.5
	// runTimeQuantile is the part of run times that their estimate covers.
	runTimeQuantile = 0.9
)

// Bounds limits an estimate to a range around what was declared.
type Bounds struct{ Lower, Upper float64 }

// Bounds of estimates as factors of what was declared. Memory may shrink less
// than processors.
var (
	CPUBounds     = Bounds{Lower: 0.25, Upper: 16}
	MemoryBounds  = Bounds{Lower: 0.5, Upper: 16}
	RunTimeBounds = Bounds{Lower: 0.1, Upper: 32}
)

func (b Bounds) clamp(ratio float64) float64 { return min(max(ratio, b.Lower), b.Upper) }

// TaskUsage is what one task used on average since the report before.
type TaskUsage struct {
	Task       carobkeel.TaskID
	Entry      string
	Used       carobkeel.Resources
	MeasuredAt time.Time
}

// Sizes learns how large the tasks of an entry really are. Accelerators are
// whole and are taken as declared. A Sizes is used by one goroutine at a time.
type Sizes struct{ entries map[string]*sizeHistory }

// sizeHistory is what is known of one entry.
type sizeHistory struct {
	// declared is what the ratios are relative to. A change of it empties the
	// history.
	declared carobkeel.Resources
	cpu      ratioHistogram
	runTime  ratioHistogram
	memory   recentPeak
	reports  int
	// tasks holds the first tasks that reported, up to minSizeTasks.
	tasks []carobkeel.TaskID
}

// NewSizes returns a Sizes that knows nothing.
func NewSizes() *Sizes { return &Sizes{entries: map[string]*sizeHistory{}} }

// Observe takes in a task's usage report, beside its entry's declared size.
func (s *Sizes) Observe(u TaskUsage, declared carobkeel.Resources) {
	h := s.history(u.Entry, declared)
	if declared.MilliCPU > 0 {
		h.cpu.add(ratio(u.Used.MilliCPU, declared.MilliCPU), u.MeasuredAt, sizeHalfLife)
	}
	h.memory.observe(u.Used.MemoryBytes, u.MeasuredAt)
	h.reports++
	h.noteTask(u.Task)
}

// ObserveOutOfMemory takes in that a task was killed because it needed more
// memory than it had reserved.
func (s *Sizes) ObserveOutOfMemory(entry string, declared, reserved carobkeel.Resources, at time.Time) {
	h := s.history(entry, declared)
	h.memory.observe(int64(float64(reserved.MemoryBytes)*outOfMemoryGrowth/memoryMargin), at)
}

// ObserveRunTime takes in how long a finished task ran.
func (s *Sizes) ObserveRunTime(entry string, declared carobkeel.Resources, declaredTime, ran time.Duration, at time.Time) {
	if declaredTime <= 0 {
		return
	}
	h := s.history(entry, declared)
	h.runTime.add(ran.Seconds()/declaredTime.Seconds(), at, sizeHalfLife)
}

// Estimate is the learned size of an entry's tasks.
type Estimate struct {
	// Size is what a new task should reserve.
	Size carobkeel.Resources
	// Bounded says that usage was beyond what the bounds allow, so the declared
	// size is wrong by more than the system corrects. The owner should be told.
	Bounded bool
	// Learned says that there were enough reports to go below what was declared.
	Learned bool
}

// Estimate returns the learned size of an entry's tasks at now.
func (s *Sizes) Estimate(entry string, declared carobkeel.Resources, now time.Time) Estimate {
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

// EstimateRunTime returns how long the entry's tasks run, as far as known.
func (s *Sizes) EstimateRunTime(entry string, declared time.Duration) time.Duration {
	h, ok := s.entries[entry]
	if !ok || h.runTime.total == 0 {
		return declared
	}
	factor := RunTimeBounds.clamp(h.runTime.quantile(runTimeQuantile))
	return time.Duration(float64(declared) * factor)
}

// Forget drops what is known of an entry that left the catalogue.
func (s *Sizes) Forget(entry string) { delete(s.entries, entry) }

// bounded returns the declared amount times the ratio, within the bounds, and
// no less than declared before enough is known.
func (e *Estimate) bounded(declared int64, ratio float64, bounds Bounds) int64 {
	if !e.Learned {
		ratio = max(1, ratio)
	}
	e.Bounded = e.Bounded || ratio > bounds.Upper
	return int64(float64(declared) * bounds.clamp(ratio))
}

func (s *Sizes) history(entry string, declared carobkeel.Resources) *sizeHistory {
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

func (h *sizeHistory) noteTask(id carobkeel.TaskID) {
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

// recentPeak is the largest amount in the window at hand and the one before.
type recentPeak struct {
	start             time.Time
	current, previous int64
}

func (p *recentPeak) observe(amount int64, at time.Time) {
	p.turn(at)
	p.current = max(p.current, amount)
}

func (p *recentPeak) at(now time.Time) int64 {
	copied := *p
	copied.turn(now)
	return max(copied.current, copied.previous)
}

// turn begins a new window where the one at hand is over. The peak of a gap
// without reports stays.
func (p *recentPeak) turn(at time.Time) {
	if p.start.IsZero() {
		p.start = at
		return
	}
	if at.Sub(p.start) < peakWindow || p.current == 0 {
		return
	}
	p.previous, p.current, p.start = p.current, 0, at
}
