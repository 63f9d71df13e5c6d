package wire

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/interference"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// maxDuration is the longest duration that a message can state. Longer ones count as
// this one, so that sums of a few durations don't overflow.
const maxDuration time.Duration = 1 << 60

func toMillis(d time.Duration) int64 { return d.Milliseconds() }

func fromMillis(n int64) time.Duration {
	const limit = int64(maxDuration / time.Millisecond)
	return time.Duration(min(limit, max(-limit, n))) * time.Millisecond
}

// FromDescription returns the message for a worker's description.
func FromDescription(d runs.Description) *Description {
	return &Description{
		Incarnation: WorkerIncarnation(d.Incarnation),
		Service:     string(d.Service),
		DataCentre:  string(d.DataCentre),
		MilliCPU:    d.Capacity.MilliCPU,
		Memory:      d.Capacity.MemoryBytes,
		GPUs:        d.Capacity.Accelerators,
		Labels:      d.Labels,
		Rack:        d.Rack,
		Draining:    d.Draining,
		Remaining:   toMillis(d.Remaining),
		Sequence:    d.Sequence,
	}
}

// Decoded returns the description in the message.
func (d *Description) Decoded() runs.Description {
	return runs.Description{
		Incarnation: runs.Incarnation(d.Incarnation),
		Service:     carobkeel.Service(d.Service),
		DataCentre:  carobkeel.DataCentre(d.DataCentre),
		Capacity:    carobkeel.Resources{MilliCPU: d.MilliCPU, MemoryBytes: d.Memory, Accelerators: d.GPUs},
		Labels:      d.Labels,
		Rack:        d.Rack,
		Draining:    d.Draining,
		Remaining:   fromMillis(d.Remaining),
		Sequence:    d.Sequence,
	}
}

// FromUnreachable returns the report that a worker is not reached.
func FromUnreachable(remaining time.Duration, lateStarts []carobkeel.TaskName) *WorkerUnreachable {
	u := &WorkerUnreachable{Remaining: remaining.Milliseconds()}
	for _, t := range lateStarts {
		u.LateStarts = append(u.LateStarts, t.String())
	}
	return u
}

// Decoded returns the time until the worker's lease expires, which is negative if it is not
// known.
func (u *WorkerUnreachable) Decoded() time.Duration { return fromMillis(u.Remaining) }

// DecodedLateStarts returns the tasks of which the worker may have carried out a late start, but for
// names that can't be read: those name no task.
func (u *WorkerUnreachable) DecodedLateStarts() []carobkeel.TaskName {
	var tasks []carobkeel.TaskName
	for _, name := range u.LateStarts {
		if t, err := carobkeel.ParseTaskName(name); err == nil {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// FromAnswer returns the message for the answer to an order.
func FromAnswer(a dispatch.OrderAnswer, epoch carobkeel.Epoch) *Answer {
	return &Answer{
		Incarnation: WorkerIncarnation(a.Incarnation), Kind: uint8(a.Kind), Task: a.Task.String(), Run: a.Run,
		Result: uint8(a.Result), Listing: a.Listing, Epoch: uint64(epoch),
	}
}

// Decoded returns the answer in the message, for the worker of the given host.
func (a *Answer) Decoded(host string) (dispatch.OrderAnswer, error) {
	name, err := carobkeel.ParseTaskName(a.Task)
	return dispatch.OrderAnswer{
		Host: host, Incarnation: runs.Incarnation(a.Incarnation), Kind: dispatch.OrderKind(a.Kind), Task: name, Run: a.Run,
		Result: runs.Result(a.Result), Listing: a.Listing,
	}, err
}

// FromJob returns the row for an accepted job.
func FromJob(j *carobkeel.JobSpec) *JobRow {
	row := &JobRow{
		Queue:       string(j.Queue.Name),
		QueueHost:   j.Queue.Host,
		QueuePrefix: j.Queue.PathPrefix,
		Service:     string(j.Queue.Service),
		Priority:    j.Queue.Priority,
		MaxAttempts: j.Queue.MaxAttempts,
		Stretch:     j.Queue.SlowdownFactor,
		Objective:   toMillis(j.Queue.Objective),
		Payload:     j.Payload,
		Repeats:     j.Repeats,
		Period:      toMillis(j.Period),

		ConfigVersion: uint64(j.ConfigVersion),
	}
	if a := j.Queue.Advice; a != nil {
		row.Advice = &Advice{Decision: toMillis(a.BaseDelay), Interval: toMillis(a.DelayPerWorker), Validity: toMillis(a.Validity)}
	}
	if j.Repeats > 0 {
		row.First = j.First.UnixMilli()
	}
	for i := range j.Steps {
		row.Steps = append(row.Steps, fromStep(&j.Steps[i]))
	}
	return row
}

func fromStep(s *carobkeel.Step) Step {
	return Step{
		Count: s.Count, MilliCPU: s.Demand.MilliCPU, Memory: s.Demand.MemoryBytes, GPUs: s.Demand.Accelerators,
		Estimate: toMillis(s.Estimate), After: s.After, SavesProgress: s.SavesProgress, Gang: s.Gang,
		SameRack: s.SameRack, RequiredLabel: s.RequiredLabel, DataRack: s.DataRack, MaxPerWorker: s.MaxPerWorker,
		AllowsDuplicates: s.AllowsDuplicates, LongRunning: s.LongRunning, Image: s.Image,
		LatencyTarget: toMillis(s.LatencyTarget), BestEffort: s.BestEffort, MaxUnavailable: s.MaxUnavailable,
	}
}

// Decoded returns the job in the row, which has the given id.
func (r *JobRow) Decoded(id carobkeel.JobID) *carobkeel.JobSpec {
	j := &carobkeel.JobSpec{
		ID: id,
		Queue: carobkeel.Queue{
			Name: carobkeel.QueueName(r.Queue), Host: r.QueueHost, PathPrefix: r.QueuePrefix,
			Service: carobkeel.Service(r.Service), Priority: r.Priority, MaxAttempts: r.MaxAttempts,
			SlowdownFactor: r.Stretch, Objective: fromMillis(r.Objective),
		},
		ConfigVersion: carobkeel.Revision(r.ConfigVersion),
		Payload:       r.Payload,
		Repeats:       r.Repeats,
		Period:        fromMillis(r.Period),
	}
	if a := r.Advice; a != nil {
		j.Queue.Advice = &carobkeel.AdvicePolicy{
			BaseDelay: fromMillis(a.Decision), DelayPerWorker: fromMillis(a.Interval), Validity: fromMillis(a.Validity),
		}
	}
	if r.Repeats > 0 {
		j.First = time.UnixMilli(r.First)
	}
	for i := range r.Steps {
		j.Steps = append(j.Steps, r.Steps[i].decoded())
	}
	return j
}

func (s *Step) decoded() carobkeel.Step {
	return carobkeel.Step{
		Count:    s.Count,
		Demand:   carobkeel.Resources{MilliCPU: s.MilliCPU, MemoryBytes: s.Memory, Accelerators: s.GPUs},
		Estimate: fromMillis(s.Estimate), After: s.After, SavesProgress: s.SavesProgress, Gang: s.Gang,
		SameRack: s.SameRack, RequiredLabel: s.RequiredLabel, DataRack: s.DataRack, MaxPerWorker: s.MaxPerWorker,
		AllowsDuplicates: s.AllowsDuplicates, LongRunning: s.LongRunning, Image: s.Image,
		LatencyTarget: fromMillis(s.LatencyTarget), BestEffort: s.BestEffort, MaxUnavailable: s.MaxUnavailable,
	}
}

// FromInterference returns the row for the measured records of images.
func FromInterference(records []interference.ImageRecord) *InterferenceRow {
	row := &InterferenceRow{}
	for _, r := range records {
		image := ImageInterference{Image: r.Image, Idle: r.Idle}
		for _, p := range r.Pairs {
			image.Pairs = append(image.Pairs, fromPair(&p))
		}
		row.Images = append(row.Images, image)
	}
	return row
}

func fromPair(p *interference.PairRecord) PairInterference {
	return PairInterference{BestEffort: p.BestEffort, Sensitivity: p.Sensitivity, Variance: p.Variance}
}

// Decoded returns the records of images in the row.
func (r *InterferenceRow) Decoded() []interference.ImageRecord {
	var records []interference.ImageRecord
	for _, image := range r.Images {
		record := interference.ImageRecord{Image: image.Image, Idle: image.Idle}
		for _, p := range image.Pairs {
			record.Pairs = append(record.Pairs, interference.PairRecord{BestEffort: p.BestEffort, Sensitivity: p.Sensitivity, Variance: p.Variance})
		}
		records = append(records, record)
	}
	return records
}
