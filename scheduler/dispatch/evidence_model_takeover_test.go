package dispatch_test

import (
	"slices"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// modelStore holds what the holders have stored.
type modelStore struct {
	jobs     []*carobkeel.JobSpec
	progress map[carobkeel.JobID]dispatch.Progress
	workers  map[runs.Incarnation]dispatch.WorkerRecord
}

func newModelStore() modelStore {
	return modelStore{progress: make(map[carobkeel.JobID]dispatch.Progress), workers: make(map[runs.Incarnation]dispatch.WorkerRecord)}
}

func (s *modelStore) apply(b *dispatch.Batch) {
	for _, p := range b.Progress {
		s.progress[p.Job] = p
	}
	for _, record := range slices.Concat(b.Workers, b.Ended) {
		s.workers[record.Incarnation] = record
	}
	for _, incarnation := range b.Forgotten {
		delete(s.workers, incarnation)
	}
	for _, job := range b.Expired {
		delete(s.progress, job)
		s.jobs = slices.DeleteFunc(s.jobs, func(spec *carobkeel.JobSpec) bool { return spec.ID == job })
	}
}

// finishBatch has the batch in flight stored.
func (m *messageModel) finishBatch() {
	if m.pending == nil {
		return
	}
	m.durable.apply(m.pending)
	m.core.BatchStored(*m.pending)
	m.pending = nil
}

// startHolder begins the term of the next holder. The one before has ended by now.
func (m *messageModel) startHolder() {
	m.epoch++
	m.handledUpTo = m.now
	config := dispatch.Config{Epoch: m.epoch, WorkerLease: testLease, InheritedLease: testLease}
	if m.broken.earlyInheritance {
		config.InheritedLease = 0
	}
	var workers []dispatch.WorkerRecord
	for _, record := range m.durable.workers {
		workers = append(workers, record)
	}
	if m.broken.forgottenWorkers {
		workers = nil
	}
	m.core = dispatch.New(config, m.time(), workers)
	for _, job := range m.durable.jobs {
		m.core.AddJob(job, true)
	}
	for _, p := range m.durable.progress {
		m.core.Restore(p)
	}
}

// takeOver replaces the holder by another process. The links to the earlier one end, but what
// it had sent may still arrive. The batch in flight may have been stored.
func (m *messageModel) takeOver(stored bool) {
	if stored && m.pending != nil {
		m.durable.apply(m.pending)
	}
	m.pending, m.events = nil, nil
	for _, s := range m.sidecars {
		s.current, s.lastProcess, s.lastNumber = nil, 0, 0
	}
	m.startHolder()
}

// takeoverEvents holds the further events of the model with takeovers.
var takeoverEvents = []modelEvent{
	{1, func(_ *messageModel, s *modelSidecar, index int) { s.loseListing(index) }},
	{1, func(m *messageModel, _ *modelSidecar, index int) { m.takeOver(index%2 == 0) }},
	{1, func(_ *messageModel, s *modelSidecar, index int) { s.loseFirstListing(index) }},
	{1, func(_ *messageModel, s *modelSidecar, index int) { s.linkBriefly(index) }},
}

// modelUnresponsiveAfter is the number of consecutive failed listings after which a sidecar
// takes its worker for unresponsive.
const modelUnresponsiveAfter = 2

// modelListedEnds is how many ends a worker lists at a time.
const modelListedEnds = 2

// loseFirstListing has a new holder take over while a host is cut off, and the host's first
// listing for it get lost.
func (s *modelSidecar) loseFirstListing(index int) {
	s.model.takeOver(true)
	s.delay(index)
	s.linkBriefly(index)
	s.delay(3 - index)
}

// linkBriefly opens a link, which ends as soon as the holder has answered its first ping. The
// worker carries out the request for a listing that follows the answer.
func (s *modelSidecar) linkBriefly(index int) {
	s.dial()
	s.deliverAll()
	s.model.handle()
	s.deliverAll()
	for i := range s.listings {
		s.loseListing(i)
	}
	s.hangUp()
	if index%2 == 0 {
		s.deliverAll()
		s.model.handle()
	}
}
