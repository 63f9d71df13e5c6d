package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
)

// record holds what callers sent and got, and what workers ran. It implements standin.Observer.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
	runs  []*seenRun
	// runBegan is closed and replaced at each start of a run.
	runBegan chan struct{}
}

// seenRun is a run on a worker. Its end is zero while it goes on.
type seenRun struct {
	judge.RunID
	began, ended time.Duration
	outcome      string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file), runBegan: make(chan struct{})}, nil
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func (r *record) now() time.Duration { return time.Since(r.began) }

// note adds a line about somebody.
func (r *record) note(who, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(who, fmt.Sprintf(format, values...))
}

// write writes a line. The caller holds the lock.
func (r *record) write(who, text string) {
	_, _ = fmt.Fprintf(r.out, "%9.3f s  %-10s %s\n", r.now().Seconds(), who, text)
}

// Add implements standin.Observer.
func (r *record) Add(o judge.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o := o.(type) {
	case judge.RunStarted:
		r.runs = append(r.runs, &seenRun{RunID: o.RunID, began: r.now()})
		r.write(o.Worker.ID, fmt.Sprintf("life %d runs task %s, run %d, late %v, spec %q", o.Worker.Incarnation, o.Task, o.Run, o.Late, o.Payload))
		close(r.runBegan)
		r.runBegan = make(chan struct{})
	case judge.RunEnded:
		r.end(o.RunID, string(o.Outcome))
	case judge.WorkerStarted:
		r.write(o.Worker.ID, fmt.Sprintf("life %d begins", o.Worker.Incarnation))
	case judge.WorkerEnded:
		r.write(o.Worker.ID, fmt.Sprintf("life %d ends with all that runs", o.Worker.Incarnation))
		for _, run := range r.runs {
			if run.Worker == o.Worker && run.ended == 0 {
				r.end(run.RunID, "worker ended")
			}
		}
	case judge.EndsAcknowledged:
		r.write(o.Worker.ID, fmt.Sprintf("life %d: ends up to %d are taken note of", o.Worker.Incarnation, o.Through))
	case judge.LeaseExpired:
		r.write(o.Worker.ID, fmt.Sprintf("life %d: the lease lapses", o.Worker.Incarnation))
	}
}

// end records the end of a run. The caller holds the lock.
func (r *record) end(id judge.RunID, outcome string) {
	for _, run := range r.runs {
		if run.RunID == id && run.ended == 0 {
			run.ended, run.outcome = r.now(), outcome
		}
	}
	r.write(id.Worker.ID, fmt.Sprintf("life %d ends task %s, run %d: %s", id.Worker.Incarnation, id.Task, id.Run, outcome))
}

// of returns copies of the runs of a job so far.
func (r *record) of(job carobkeel.JobID) []seenRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []seenRun
	for _, run := range r.runs {
		if run.Task.Job == job {
			runs = append(runs, *run)
		}
	}
	return runs
}

// nextRun returns a channel that is closed when the next run begins.
func (r *record) nextRun() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runBegan
}

// overlap returns how long two runs of one task of a job went on at the same time, with a
// description of the longest such time.
func (r *record) overlap(job carobkeel.JobID) (time.Duration, string) {
	now, runs := r.now(), r.of(job)
	longest, text := time.Duration(0), ""
	for i := range runs {
		for k := range runs[:i] {
			a, b := &runs[k], &runs[i]
			if a.Task != b.Task {
				continue
			}
			if both := min(a.endOr(now), b.endOr(now)) - max(a.began, b.began); both > longest {
				longest = both
				text = fmt.Sprintf("task %s ran %.3f s on both %s (life %d, run %d, %.3f to %.3f s) and %s (life %d, run %d, %.3f to %.3f s)",
					a.Task, both.Seconds(),
					a.Worker.ID, a.Worker.Incarnation, a.Run, a.began.Seconds(), a.endOr(now).Seconds(),
					b.Worker.ID, b.Worker.Incarnation, b.Run, b.began.Seconds(), b.endOr(now).Seconds())
			}
		}
	}
	return longest, text
}

// judgeLasting returns the tasks of a job that had no run for idleBound from a time on.
func (f *fleet) judgeLasting(job carobkeel.JobID, from time.Duration) string {
	runs, idle, longest := f.record.of(job), 0, time.Duration(0)
	for index := range lastingTasks {
		next, running := f.record.now(), false
		for i := range runs {
			run := &runs[i]
			if run.Task.Index != index || (run.ended > 0 && run.ended <= from) {
				continue
			}
			running = running || run.began <= from
			next = min(next, max(from, run.began))
		}
		if !running && next-from >= idleBound {
			idle++
			longest = max(longest, next-from)
		}
	}
	if idle == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d tasks that last had no run for up to %.1f s from %.3f s on, after %v without any disruption", idle, lastingTasks, longest.Seconds(), from.Seconds(), calmBound)
}

func (s *seenRun) endOr(now time.Duration) time.Duration {
	if s.ended == 0 {
		return now
	}
	return s.ended
}
