package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/platform/standin"
)

const (
	// lastingTasks of lastingMilliCPU each use less than half of the service's capacity.
	lastingTasks    = 7
	lastingMilliCPU = 6400
	// gangTasks of gangMilliCPU each fit on empty workers, and not beside the lasting tasks.
	gangTasks     = 36
	gangMilliCPU  = 1400
	smallJobs     = 5
	smallMilliCPU = 3500
	// idleBound is how long a job may have nothing running while there is capacity.
	idleBound = 3 * time.Second
)

// gangJob is a job of one step whose tasks work only together, as callers send it.
type gangJob struct {
	Spec  string     `json:"spec"`
	Steps []gangStep `json:"steps"`
}

type gangStep struct {
	scheduledStep
	Gang bool `json:"gang"`
}

// playWaitingGang submits a gang that finds no room beside lasting tasks, and then small jobs of a
// lower priority, for which there is room many times over. Each of them has to run.
func playWaitingGang(ctx context.Context, f *fleet, trouble bool) (string, error) {
	lasting := newJob(lastingTasks, lastingMilliCPU, time.Second)
	lasting.Payload, lasting.Steps[0].LongRunning = standin.EndlessSpec, true
	if f.submit(ctx, 0, lasting).Answer != judge.AnswerAccepted {
		return "", errors.New("the lasting job is not accepted")
	}
	for len(f.record.of(lasting.ID)) < lastingTasks {
		if !sleep(ctx, poll) {
			return "", errors.New("the lasting tasks do not run")
		}
	}
	if trouble {
		body, err := json.Marshal(gangJob{Spec: "work_ms=1000", Steps: []gangStep{{
			scheduledStep: scheduledStep{Count: gangTasks, MilliCPU: gangMilliCPU, MemoryMB: 480}, Gang: true,
		}}})
		if err != nil {
			return "", err
		}
		if status, err := f.post(ctx, 0, body); err != nil || status != http.StatusOK {
			return "", fmt.Errorf("the gang is not accepted: %d, %v", status, err)
		}
	}
	if !sleep(ctx, 2*time.Second) {
		return "", errCancelled
	}
	var small []*carobkeel.JobSpec
	for range smallJobs {
		job := newJob(2, smallMilliCPU, time.Second)
		job.Queue = batchQueue
		if f.submit(ctx, 1, job).Answer != judge.AnswerAccepted {
			return "", errors.New("a small job is not accepted")
		}
		small = append(small, job)
		if !sleep(ctx, time.Second) {
			return "", errCancelled
		}
	}
	if !sleep(ctx, finishBound+idleBound) {
		return "", errCancelled
	}
	never := 0
	for _, job := range small {
		reply := f.caller.State(ctx, f.entry(0), job)
		runs := len(f.record.of(job.ID))
		f.record.note("caller", "asks for job %s: %s, state %s; it has had %d runs", job.ID, describe(reply), reply.State, runs)
		if runs == 0 {
			never++
		}
	}
	used, capacity := lastingTasks*lastingMilliCPU, workerCount*workerMilliCPU
	f.record.note("case", "the lasting tasks use %d of %d thousandths of a core", used, capacity)
	if never > 0 {
		return fmt.Sprintf("%d of %d accepted jobs have never run in %v, with %d%% of the capacity in use", never, smallJobs, finishBound+idleBound, 100*used/capacity), nil
	}
	return "", nil
}
