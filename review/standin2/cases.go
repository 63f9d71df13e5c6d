package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/platform/standin"
)

// Bounds of the deployment, as its sheet states them.
const (
	cancelBound = 3 * time.Second
	// longestLateWrite is the longest time after which the store carries a write out late.
	longestLateWrite = 6 * time.Second
	// hangTime is how long a grey worker hangs.
	hangTime = 5500 * time.Millisecond
	// downTime is how long a crashed worker is down.
	downTime = time.Second
	// lateAfter is how long after it was received a late call is carried out.
	lateAfter = 3 * time.Second
)

var errCancelled = errors.New("out of time")

// playCancelledSubmission submits a job whose write gets no answer, and cancels it. The job must
// not start later than cancelBound after its cancelling was acknowledged.
func playCancelledSubmission(ctx context.Context, f *fleet, trouble bool) (string, error) {
	job := newJob(2, 1000, 2*time.Second)
	if trouble {
		f.store.lose(string(job.ID), longestLateWrite)
	}
	submitted := f.submit(ctx, 0, job)
	f.store.answerAll()
	if !trouble && submitted.Answer != judge.AnswerAccepted {
		return "", fmt.Errorf("the job is not accepted: %s", describe(submitted))
	}
	f.record.note("caller", "cancels job %s at edge-1", job.ID)
	cancelled := f.caller.Cancel(ctx, f.entry(0), job)
	acknowledged := f.record.now()
	f.record.note("caller", "gets %s to the cancelling", describe(cancelled))
	if cancelled.Status != http.StatusOK && cancelled.Status != http.StatusGone {
		return "", errors.New("the cancelling is not acknowledged")
	}
	if !sleep(ctx, longestLateWrite+2*time.Second) {
		return "", errCancelled
	}
	state := f.caller.State(ctx, f.entry(0), job)
	f.record.note("caller", "asks for job %s: %s, state %s", job.ID, describe(state), state.State)
	for _, run := range f.record.of(job.ID) {
		if after := run.began - acknowledged; after > cancelBound {
			return fmt.Sprintf("task %s starts %.1f s after the cancelling was acknowledged with status %d", run.Task, after.Seconds(), cancelled.Status), nil
		}
	}
	return "", nil
}

// playLateListingCall lets a worker carry a call that extends its lease out late, after it has
// started again under its ID, and then hang. No task may have two runs at the same time.
func playLateListingCall(ctx context.Context, f *fleet, trouble bool) (string, error) {
	// The clock of the worker's next life begins anew, far behind the deadline of the late call.
	if !sleep(ctx, 10*time.Second) {
		return "", errCancelled
	}
	w := f.workers[0]
	if trouble {
		select {
		case <-w.leaveUnanswered(listingCall, ""):
		case <-ctx.Done():
			return "", errCancelled
		}
		if !sleep(ctx, lateAfter-downTime) {
			return "", errCancelled
		}
		w.crash()
		if !sleep(ctx, downTime) {
			return "", errCancelled
		}
		w.restart()
		if !sleep(ctx, 1500*time.Millisecond) {
			return "", errCancelled
		}
	}
	// Two tasks that fill the first worker. Each of the others has room for both.
	job := newJob(2, workerMilliCPU/2, 12*time.Second)
	began := f.record.nextRun()
	if submitted := f.submit(ctx, 1, job); submitted.Answer != judge.AnswerAccepted {
		return "", fmt.Errorf("the job is not accepted: %s", describe(submitted))
	}
	select {
	case <-began:
	case <-ctx.Done():
		return "", errors.New("the job does not start")
	}
	if !sleep(ctx, 300*time.Millisecond) {
		return "", errCancelled
	}
	if trouble {
		f.record.note(w.name, "hangs for %v", hangTime)
		w.worker.Change(func(t *standin.WorkerTrouble) { t.Silent = true })
	}
	if !sleep(ctx, hangTime) {
		return "", errCancelled
	}
	w.worker.Change(func(t *standin.WorkerTrouble) { t.Silent = false })
	f.record.note(w.name, "answers")
	if !sleep(ctx, 6*time.Second) {
		return "", errCancelled
	}
	if both, text := f.record.overlap(job.ID); both > 0 {
		return text, nil
	}
	return "", nil
}

// playLateStartCall lets a worker carry a start out late, after the run has ended as done and the
// worker has started again under its ID. The task must not start once more.
func playLateStartCall(ctx context.Context, f *fleet, trouble bool) (string, error) {
	// The deadline of the start lies far ahead on the clock of the worker's next life.
	if !sleep(ctx, 10*time.Second) {
		return "", errCancelled
	}
	job := newJob(1, 1000, 500*time.Millisecond)
	if trouble {
		for _, w := range f.workers {
			w.leaveUnanswered(startCall, string(job.ID))
		}
	}
	sent := f.record.now()
	if submitted := f.submit(ctx, 1, job); submitted.Answer != judge.AnswerAccepted {
		return "", fmt.Errorf("the job is not accepted: %s", describe(submitted))
	}
	for f.caller.State(ctx, f.entry(0), job).State != carobkeel.JobCompleted {
		if !sleep(ctx, poll) {
			return "", errors.New("the job is not done in time")
		}
	}
	f.record.note("caller", "is told that job %s is completed", job.ID)
	if !sleep(ctx, lateAfter-(f.record.now()-sent)) {
		return "", errCancelled
	}
	for _, w := range f.workers {
		if w.late == nil {
			continue
		}
		w.crash()
		if !sleep(ctx, downTime) {
			return "", errCancelled
		}
		w.restart()
	}
	if !sleep(ctx, 4*time.Second) {
		return "", errCancelled
	}
	runs := f.record.of(job.ID)
	if len(runs) == 0 || runs[0].outcome != string(judge.OutcomeDone) {
		return "", errors.New("the task has no run that ended as done")
	}
	for _, run := range runs[1:] {
		if run.began > runs[0].ended {
			return fmt.Sprintf("task %s starts %.1f s after a run of it had ended as done", run.Task, (run.began - runs[0].ended).Seconds()), nil
		}
	}
	return "", nil
}
