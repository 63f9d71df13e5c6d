package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
)

// Bounds of the play of long schedules.
const (
	// memoryMB is the limit of an entry, as the stand-in's settings state it.
	memoryMB = 284
	// memoryCheck is how often the platform looks at the memory of the processes, and
	// restartDelay how long after it has killed one it starts it again.
	memoryCheck  = 100 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// finishBound is how long after the end of the traffic jobs are asked for.
	finishBound = 14 * time.Second
)

const (
	schedules = 64
	// longSchedule is once a minute for a week, and shortSchedule what the site's jobs have.
	longSchedule  = 7 * 24 * 60
	shortSchedule = 6
	scheduleGap   = 150 * time.Millisecond
	trafficTime   = 20 * time.Second
	submitTries   = 5
)

// scheduledJob is a job that runs its step at fixed times, as callers send it.
type scheduledJob struct {
	Spec   string          `json:"spec"`
	Steps  []scheduledStep `json:"steps"`
	Count  int             `json:"repeat_count"`
	First  int64           `json:"first_ms"`
	Period int64           `json:"period_ms"`
}

type scheduledStep struct {
	Count    int `json:"count"`
	MilliCPU int `json:"cpu"`
	MemoryMB int `json:"mem_mb"`
}

// schedule submits a job whose first time is in an hour, and returns the status of the answer.
func (f *fleet) schedule(ctx context.Context, entry, times int) (int, error) {
	body, err := json.Marshal(scheduledJob{
		Spec: "work_ms=100", Steps: []scheduledStep{{Count: 1, MilliCPU: 100, MemoryMB: 64}}, Count: times,
		First: time.Now().Add(time.Hour).UnixMilli(), Period: time.Minute.Milliseconds(),
	})
	if err != nil {
		return 0, err
	}
	return f.post(ctx, entry, body)
}

// post submits a job with a body to the first queue, and returns the status of the answer, zero
// for none.
func (f *fleet) post(ctx context.Context, entry int, body []byte) (int, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entry(entry)+queue.PathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = queue.Host
	request.Header.Set("Content-Type", "application/json")
	f.record.note("caller", "sends job %s to edge-%d: %s", id, entry+1, body)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.record.note("caller", "gets no answer to job %s", id)
		return 0, nil
	}
	_ = response.Body.Close()
	f.record.note("caller", "gets status %d to job %s", response.StatusCode, id)
	return response.StatusCode, nil
}

// enforceMemory kills each entry that exceeds its memory, and starts it again, until the context
// ends.
func (f *fleet) enforceMemory(ctx context.Context) {
	for sleep(ctx, memoryCheck) {
		for _, p := range f.processes[:entryCount] {
			used := p.residentMB()
			if used <= memoryMB {
				continue
			}
			p.kills++
			f.record.note("platform", "kills %s, which uses %d MB of %d MB, for the %d. time", p.name, used, memoryMB, p.kills)
			p.kill()
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				f.record.note("platform", "%s does not start: %v", p.name, err)
			}
		}
	}
}

// playLongSchedules submits a few jobs with long schedules, and then small ones. No process may
// exceed its memory, and each accepted job has to run.
func playLongSchedules(ctx context.Context, f *fleet, trouble bool) (string, error) {
	times := shortSchedule
	if trouble {
		times = longSchedule
	}
	watched, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.enforceMemory(watched)
	}()
	defer func() { stop(); <-ended }()
	for i := range schedules {
		if _, err := f.schedule(ctx, i%entryCount, times); err != nil {
			return "", err
		}
		if !sleep(ctx, scheduleGap) {
			return "", errCancelled
		}
	}
	var accepted []*carobkeel.JobSpec
	for until := f.record.now() + trafficTime; f.record.now() < until; {
		job := newJob(2, 1000, 500*time.Millisecond)
		for try := range submitTries {
			if f.submit(ctx, try%entryCount, job).Answer == judge.AnswerAccepted {
				accepted = append(accepted, job)
				break
			}
		}
		if !sleep(ctx, time.Second) {
			return "", errCancelled
		}
	}
	if !sleep(ctx, finishBound) {
		return "", errCancelled
	}
	stop()
	<-ended
	return f.judgeSchedules(accepted), nil
}

// Processes must not end by themselves mostKills times on leastMachines machines.
const (
	mostKills     = 3
	leastMachines = 2
)

// judgeSchedules returns what is wrong after the play of long schedules.
func (f *fleet) judgeSchedules(accepted []*carobkeel.JobSpec) string {
	kills, machines, never := 0, 0, 0
	for _, p := range f.processes[:entryCount] {
		kills += p.kills
		if p.kills >= mostKills {
			machines++
		}
	}
	for _, job := range accepted {
		if len(f.record.of(job.ID)) == 0 {
			never++
			f.record.note("case", "job %s was accepted and has never run", job.ID)
		}
	}
	f.record.note("case", "%d small jobs accepted, %d of them never ran, %d kills for memory", len(accepted), never, kills)
	if machines < leastMachines {
		return ""
	}
	return fmt.Sprintf("the processes on %d machines exceeded their memory %d times or more, %d times in all, and %d of %d accepted small jobs have never run",
		machines, mostKills, kills, never, len(accepted))
}
