package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Paths of the queues.
const (
	gateQueue   = "/gate/"
	rosterQueue = "/roster/"
)

// requestBudget is how long a client waits for an answer.
const requestBudget = 3 * time.Second

// step is a step of a job.
type step struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	Memory   int   `json:"mem_mb"`
	Estimate int   `json:"estimate_ms"`
	After    []int `json:"after,omitempty"`
	Saves    bool  `json:"saves,omitempty"`
	Lasts    bool  `json:"perpetual,omitempty"`
}

// job is a job that a client submits.
type job struct {
	id    string
	queue string
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// newJob returns a job whose tasks take the given time.
func newJob(queue string, work time.Duration, steps ...step) *job {
	for i := range steps {
		steps[i].Estimate = int(work.Milliseconds())
	}
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), queue: queue, Spec: fmt.Sprintf("work_ms=%d", work.Milliseconds()), Steps: steps}
}

var httpClient = &http.Client{Timeout: requestBudget}

// request sends a request about a job through an entry, and returns the status, zero for
// none, and the state in the answer.
func (f *fleet) request(entry int, method string, j *job, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+f.address(firstEntry+entry, callerPort)+j.queue+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = callerHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.word("budget"), fmt.Sprint(requestBudget.Milliseconds()))
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer.State
}

// submit submits a job through an entry until it is accepted.
func (f *fleet) submit(entry int, j *job) error {
	body, err := wire.encode(j)
	if err != nil {
		return err
	}
	status := 0
	for range 5 {
		status, _ = f.request(entry, http.MethodPost, j, body)
		f.record.note("submit  %s: %d", j.id, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
		entry = (entry + 1) % len(f.entries)
	}
	return fmt.Errorf("job %s is not accepted: status %d", j.id, status)
}

// cancel cancels a job.
func (f *fleet) cancel(entry int, j *job) int {
	status, _ := f.request(entry, http.MethodDelete, j, nil)
	f.record.note("cancel  %s: %d", j.id, status)
	return status
}

// state returns the state of a job.
func (f *fleet) state(entry int, j *job) string {
	status, state := f.request(entry, http.MethodGet, j, nil)
	f.record.note("state   %s: %d %s", j.id, status, state)
	return state
}

// awaitStates waits until the jobs are in a state, and returns how many are not.
func (f *fleet) awaitState(jobs []*job, state string, timeout time.Duration) int {
	deadline := time.Now().Add(timeout)
	for {
		var left []*job
		for i, j := range jobs {
			if f.state(i%len(f.entries), j) != state {
				left = append(left, j)
			}
		}
		if jobs = left; len(jobs) == 0 || time.Now().After(deadline) {
			return len(jobs)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// awaitRuns waits until tasks of a job have begun, and returns whether they have.
func (f *fleet) awaitRuns(j *job, runs int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f.record.runsOf(j.id) >= runs {
			return true
		}
	}
	return false
}
