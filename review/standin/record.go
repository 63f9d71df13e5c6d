package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// taskRun is what the stand-ins saw of one run.
type taskRun struct {
	worker string
	run    int
	began  time.Time
	ended  time.Time
	how    string
	// listed is when the end was first listed, zero if it was not.
	listed time.Time
	// number is the number of the end, and noted reports that it was acknowledged.
	number uint64
	noted  bool
	// voided reports that the worker's lease lapsed before the acknowledgement.
	voided bool
}

// record holds what was sent, answered and run, as the stand-ins saw it.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
	tasks map[string][]*taskRun
	// unacknowledged holds the listed and the unlisted ends of each worker's life.
	unacknowledged map[string]map[uint64]*taskRun
	mostUnlisted   map[string]int
}

func newRecord() *record {
	return &record{
		began: time.Now(), tasks: make(map[string][]*taskRun),
		unacknowledged: make(map[string]map[uint64]*taskRun), mostUnlisted: make(map[string]int),
	}
}

// note adds a line to the record.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

func (r *record) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) start(worker, task string, run int, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks[task] = append(r.tasks[task], &taskRun{worker: worker, run: run, began: time.Now()})
	r.add("start   %s run %d on %s, fence %d", task, run, worker, fence)
}

func (r *record) end(worker, task string, run int, how string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks[task] {
		if t.worker == worker && t.run == run && t.ended.IsZero() {
			t.ended, t.how, t.number = time.Now(), how, number
			if r.unacknowledged[worker] == nil {
				r.unacknowledged[worker] = make(map[uint64]*taskRun)
			}
			r.unacknowledged[worker][number] = t
		}
	}
	r.add("end     %s run %d on %s: %s, end %d", task, run, worker, how, number)
}

// acknowledge records that an end was taken note of.
func (r *record) acknowledge(worker string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.unacknowledged[worker][number]; t != nil {
		t.noted = !t.voided
		delete(r.unacknowledged[worker], number)
	}
}

// list records how many ends a worker lists.
func (r *record) list(worker string, ends []workerEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range ends {
		if t := r.unacknowledged[worker][e.number]; t != nil && t.listed.IsZero() {
			t.listed = time.Now()
		}
	}
	unlisted := len(r.unacknowledged[worker]) - len(ends)
	if unlisted > r.mostUnlisted[worker] {
		if r.mostUnlisted[worker] == 0 {
			r.add("listing %s has %d ends that do not fit in a listing", worker, unlisted)
		}
		r.mostUnlisted[worker] = unlisted
	}
}

// lapse records that a worker's lease lapsed: ends that are not acknowledged yet never
// count as taken note of.
func (r *record) lapse(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.unacknowledged[worker] {
		t.voided = true
	}
	r.add("lapse   the lease of %s lapsed", worker)
}

// forget records that a life of a worker ended.
func (r *record) forget(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unacknowledged, worker)
	r.add("restart %s", worker)
}

// runsOf returns how many runs began of the tasks of a job.
func (r *record) runsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task, all := range r.tasks {
		if strings.HasPrefix(task, job+".") {
			n += len(all)
		}
	}
	return n
}

// twice returns how the rule TWICE was broken: two runs of a task at the same time, or a
// start after an end "done" that was taken note of then or later.
func (r *record) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for task, all := range r.tasks {
		for i, a := range all {
			for _, b := range all[i+1:] {
				switch {
				case a.ended.IsZero() || b.began.Before(a.ended):
					broken = append(broken, fmt.Sprintf("%s: run %d on %s began at %.3f while run %d ran on %s (%.3f to %s)",
						task, b.run, b.worker, r.at(b.began), a.run, a.worker, r.at(a.began), r.until(a)))
				case a.how == "done" && a.noted:
					broken = append(broken, fmt.Sprintf("%s: run %d on %s began at %.3f, after run %d on %s had ended done at %.3f (end %d, acknowledged)",
						task, b.run, b.worker, r.at(b.began), a.run, a.worker, r.at(a.ended), a.number))
				}
			}
		}
	}
	sort.Strings(broken)
	return broken
}

// ends returns how the rule on acknowledgements was broken: more than a fifth of the ends
// that workers listed, ackTime ago or earlier, are not taken note of.
func (r *record) ends(ackTime time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed, noted, runs := 0, 0, 0
	for _, all := range r.tasks {
		runs += len(all)
		for _, t := range all {
			if t.listed.IsZero() || time.Since(t.listed) < ackTime {
				continue
			}
			listed++
			if t.noted {
				noted++
			}
		}
	}
	line := fmt.Sprintf("%d of %d ends that were listed %v ago or earlier are not taken note of; %d runs of %d tasks began",
		listed-noted, listed, ackTime, runs, len(r.tasks))
	r.add("%s", line)
	if 5*(listed-noted) <= listed {
		return nil
	}
	return []string{line}
}

// idle returns how the rule LOST was broken for the tasks of a job that lasts: a task has
// no run for a time, which begins at from or later.
func (r *record) idle(job string, from time.Time, limit time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for task, all := range r.tasks {
		if !strings.HasPrefix(task, job+".") {
			continue
		}
		since := from
		for _, t := range all {
			if t.began.Sub(since) >= limit && t.began.After(since) {
				broken = append(broken, fmt.Sprintf("%s: no run from %.3f to %.3f", task, r.at(since), r.at(t.began)))
			}
			if t.ended.IsZero() {
				since = time.Now()
			} else if t.ended.After(since) {
				since = t.ended
			}
		}
		if time.Since(since) >= limit {
			broken = append(broken, fmt.Sprintf("%s: no run from %.3f to the end", task, r.at(since)))
		}
	}
	sort.Strings(broken)
	return broken
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) until(t *taskRun) string {
	if t.ended.IsZero() {
		return "the end"
	}
	return fmt.Sprintf("%.3f, %s", r.at(t.ended), t.how)
}

// write writes the record to a file.
func (r *record) write(path string, verdict []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.Join(verdict, "\n") + "\n\nseconds\n" + strings.Join(r.lines, "\n") + "\n"
	return os.WriteFile(path, []byte(text), 0o644)
}
