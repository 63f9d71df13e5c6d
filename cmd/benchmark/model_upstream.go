package main

import (
	"container/heap"
	"time"
)

// sharedProcessor is an upstream that slows all its requests down alike where
// there are more than it has capacity for.
type sharedProcessor struct {
	model    *model
	capacity float64
	// progress is the work in seconds that a request would have got that began
	// with the run.
	progress float64
	changed  time.Duration
	jobs     processorJobs
	epoch    uint64
}

type processorJob struct {
	finish float64
	done   func()
}

type processorJobs []processorJob

func (s processorJobs) Len() int           { return len(s) }
func (s processorJobs) Less(i, j int) bool { return s[i].finish < s[j].finish }
func (s processorJobs) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *processorJobs) Push(x any)        { *s = append(*s, x.(processorJob)) }
func (s *processorJobs) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// start runs work and calls done at its end.
func (p *sharedProcessor) start(work time.Duration, done func()) {
	p.advance()
	heap.Push(&p.jobs, processorJob{finish: p.progress + work.Seconds(), done: done})
	p.schedule()
}

// rate is the progress of a request in a second.
func (p *sharedProcessor) rate() float64 {
	return min(1, p.capacity/float64(max(len(p.jobs), 1)))
}

func (p *sharedProcessor) advance() {
	p.progress += (p.model.now - p.changed).Seconds() * p.rate()
	p.changed = p.model.now
}

// schedule plans the end of the job that ends first.
func (p *sharedProcessor) schedule() {
	p.epoch++
	if len(p.jobs) == 0 {
		return
	}
	epoch := p.epoch
	left := max(p.jobs[0].finish-p.progress, 0) / p.rate()
	p.model.after(time.Duration(left*float64(time.Second))+1, func() {
		if p.epoch != epoch {
			return
		}
		p.advance()
		job := heap.Pop(&p.jobs).(processorJob)
		p.schedule()
		job.done()
	})
}
