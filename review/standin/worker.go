package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	// maxHold is the longest lease, and stopTime how long a stopped run takes to end.
	maxHold  = 10 * time.Second
	stopTime = 100 * time.Millisecond
	// listedEnds is how many ends are returned at a time.
	listedEnds = 500
	maxWait    = 2 * time.Second
	// checkpointInterval is the work after which a run has a new checkpoint.
	checkpointInterval = time.Second
	// tick is the interval at which runs and the lease are checked.
	tick = 2 * time.Millisecond
)

// runName names a run.
type runName struct {
	task string
	run  int
}

// workerRun is a run on a worker.
type workerRun struct {
	task     string
	run      int
	began    time.Time
	duration time.Duration
	stopping bool
}

// checkpoint returns the last checkpoint, empty before the first one.
func (r *workerRun) checkpoint() string {
	if n := time.Since(r.began) / checkpointInterval; n > 0 {
		return fmt.Sprintf("%016x", r.began.UnixNano()+int64(n))
	}
	return ""
}

// workerEnd is the end of a run that is not acknowledged.
type workerEnd struct {
	number uint64
	task   string
	run    int
	how    string
}

// worker is a stand-in for a worker that starts whatever it is told to start.
type worker struct {
	name     string
	service  string
	address  string
	registry string
	milliCPU int
	rack     string
	record   *record

	mu     sync.Mutex
	id     string
	born   time.Time
	seq    uint64
	beatAt time.Time
	fence  uint64
	lease  time.Duration
	// lapsed reports that the lease has lapsed and was not extended since.
	lapsed bool
	// slowLists is the longest time that the answer with a list takes to arrive.
	slowLists time.Duration
	// gone reports that the worker has ended for good.
	gone    bool
	running map[runName]*workerRun
	highest map[string]int
	ends    []workerEnd
	lastEnd uint64
	changed chan struct{}
	// silent is open while the worker carries nothing out and answers nothing, nil
	// otherwise.
	silent chan struct{}
}

func newWorker(name, service, address, registry string, milliCPU int, rack string, rec *record) *worker {
	w := &worker{name: name, service: service, address: address, registry: registry, milliCPU: milliCPU, rack: rack, record: rec}
	w.reset()
	return w
}

// reset begins a life of the worker, which knows nothing of earlier ones.
func (w *worker) reset() {
	w.born = time.Now()
	w.id = "i-" + w.name
	w.seq, w.fence, w.lease, w.lastEnd = 0, 0, 0, 0
	w.running = make(map[runName]*workerRun)
	w.highest = make(map[string]int)
	w.ends = nil
	w.changed = make(chan struct{})
}

// restart ends this life without listing what ran, and begins the next one under the
// same id.
func (w *worker) restart() {
	w.mu.Lock()
	for _, r := range w.running {
		w.record.end(w.name, r.task, r.run, "lost", 0)
	}
	w.record.forget(w.name)
	close(w.changed)
	w.reset()
	w.mu.Unlock()
	w.beat(nil)
}

// leave ends the worker for good, with all that runs there.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.record.end(w.name, r.task, r.run, "lost", 0)
	}
	w.running = make(map[runName]*workerRun)
	w.silent = make(chan struct{})
	w.gone = true
}

// setSilent makes the worker answer nothing, or lets it answer again. Its runs go on.
func (w *worker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if silent {
		w.silent = make(chan struct{})
	} else if w.silent != nil {
		close(w.silent)
		w.silent = nil
	}
}

func (w *worker) clock() time.Duration { return time.Second + time.Since(w.born) }

// tasks returns how many runs the worker has.
func (w *worker) tasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// run ends runs that are due, and all when the lease lapses.
func (w *worker) run(done <-chan struct{}) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		lapsed := w.clock() > w.lease
		for _, r := range w.running {
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case time.Since(r.began) < r.duration:
			case r.stopping:
				w.end(r, "stopped")
			default:
				w.end(r, "done")
			}
		}
		if lapsed && !w.lapsed && w.lease > 0 {
			w.record.lapse(w.name)
		}
		w.lapsed = lapsed
		w.mu.Unlock()
	}
}

func (w *worker) end(r *workerRun, how string) {
	delete(w.running, runName{r.task, r.run})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, workerEnd{w.lastEnd, r.task, r.run, how})
	w.record.end(w.name, r.task, r.run, how, w.lastEnd)
	close(w.changed)
	w.changed = make(chan struct{})
}

type heartbeat struct {
	Service  string         `json:"service"`
	Address  string         `json:"address"`
	Zone     string         `json:"zone"`
	Version  string         `json:"version"`
	Slots    int            `json:"slots"`
	State    string         `json:"state"`
	Cold     int            `json:"cold_ms"`
	Capacity map[string]int `json:"capacity"`
	Labels   []string       `json:"labels"`
	Clock    int64          `json:"clock_ms"`
	Sequence uint64         `json:"seq"`
	Born     int64          `json:"born"`
}

// sentHeartbeat is a heartbeat that can be delivered later.
type sentHeartbeat struct {
	url  string
	body []byte
}

// heartbeat returns the next heartbeat of this life.
func (w *worker) heartbeat() sentHeartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	body, _ := wire.encode(heartbeat{
		Service: w.service, Address: w.address, Zone: "zone-a", Version: "v1", Slots: 8, State: "ready",
		Capacity: map[string]int{"cpu": w.milliCPU, "mem_mb": 128000, "gpu": 0},
		Labels:   []string{"a", w.rack}, Clock: w.clock().Milliseconds(), Sequence: w.seq, Born: w.born.UnixMilli(),
	})
	return sentHeartbeat{url: "http://" + w.registry + wire.word("heartbeat") + w.id, body: body}
}

func (b sentHeartbeat) deliver() error {
	request, err := http.NewRequest(http.MethodPut, b.url, bytes.NewReader(b.body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat answered with status %d", response.StatusCode)
	}
	return nil
}

// beat sends one heartbeat.
func (w *worker) beat(report func(error)) {
	err := w.heartbeat().deliver()
	if err != nil && report != nil {
		report(err)
	}
	if err == nil {
		w.mu.Lock()
		w.beatAt = time.Now()
		w.mu.Unlock()
	}
}

// awaitBeat waits until the worker's next heartbeat is acknowledged.
func (w *worker) awaitBeat() {
	for since := time.Now(); ; time.Sleep(tick) {
		w.mu.Lock()
		beatAt := w.beatAt
		w.mu.Unlock()
		if beatAt.After(since) {
			return
		}
	}
}

// beats sends heartbeats until done is closed.
func (w *worker) beats(done <-chan struct{}) {
	for {
		w.mu.Lock()
		gone := w.gone
		w.mu.Unlock()
		if gone {
			return
		}
		w.beat(nil)
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

type workerRequest struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"last_checkpoint"`
	Ack        uint64 `json:"acknowledged"`
	Wait       int64  `json:"wait_ms"`
}

// handler returns the HTTP handler of the worker.
func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.word("start"), w.call(w.startRun))
	mux.HandleFunc("POST "+wire.word("stop"), w.call(w.stopRun))
	mux.HandleFunc("POST /carobkeel/pace", w.call(func(*workerRequest) string { return "" }))
	mux.HandleFunc("POST /carobkeel/hold", w.hold)
	return mux
}

// admit reads a request. It returns false if the request is not carried out.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request) (*workerRequest, bool) {
	var body workerRequest
	if wire.decode(r.Body, &body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	w.mu.Lock()
	silent := w.silent
	w.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Header.Get(wire.word("target")) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	if !w.accept(&body) {
		w.refuse(rw, "fence")
		return nil, false
	}
	return &body, true
}

// accept applies the fence and the deadline of a request. It returns false for a request
// with a lower fence than the worker has seen.
func (w *worker) accept(body *workerRequest) bool {
	if body.Fence < w.fence {
		return false
	}
	w.fence = body.Fence
	if body.Deadline > 0 {
		w.lease = max(w.lease, min(time.Duration(body.Deadline)*time.Millisecond, w.clock()+maxHold))
	}
	return true
}

// setSlowLists delays the answers with lists by up to a time.
func (w *worker) setSlowLists(longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowLists = longest
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(rw).Encode(map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

// call returns a handler that carries out an order, whose result is the reason for a
// refusal.
func (w *worker) call(order func(*workerRequest) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body, ok := w.admit(rw, r)
		if !ok {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if reason := order(body); reason != "" {
			w.refuse(rw, reason)
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"clock_ms": w.clock().Milliseconds()})
	}
}

func (w *worker) startRun(body *workerRequest) string {
	name := runName{body.Task, body.Run}
	if w.running[name] != nil {
		return ""
	}
	if body.Run <= w.highest[body.Task] {
		return "old"
	}
	if time.Duration(body.Deadline)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.running[name] = &workerRun{task: body.Task, run: body.Run, began: time.Now(), duration: workOf(body.Spec)}
	w.record.start(w.name, body.Task, body.Run, body.Fence)
	return ""
}

// workOf returns the duration of a task, which its job's spec states.
func workOf(spec string) time.Duration {
	if spec == "lasts" {
		return time.Hour
	}
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "work_ms="))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) stopRun(body *workerRequest) string {
	w.highest[body.Task] = max(w.highest[body.Task], body.Run)
	if r := w.running[runName{body.Task, body.Run}]; r != nil && !r.stopping {
		r.stopping = true
		r.duration = min(r.duration, time.Since(r.began)+stopTime)
	}
	return ""
}

// hold extends the lease, forgets acknowledged ends, and lists the runs.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	body, ok := w.admit(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	for len(w.ends) > 0 && w.ends[0].number <= body.Ack {
		w.record.acknowledge(w.name, w.ends[0].number)
		w.ends = w.ends[1:]
	}
	empty, changed := len(w.ends) == 0, w.changed
	w.mu.Unlock()
	if wait := min(maxWait, time.Duration(body.Wait)*time.Millisecond); empty && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
	}
	data, delay := w.list()
	time.Sleep(delay)
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data) // fails only if the caller has gone
}

// list returns the lists of runs, and how long they take to arrive.
func (w *worker) list() ([]byte, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, l := range w.running {
		percent := 100 * time.Since(l.began) / max(l.duration, time.Millisecond)
		running = append(running, []any{l.task, l.run, l.checkpoint(), min(99, int(percent)), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.record.list(w.name, w.ends[:min(len(w.ends), listedEnds)])
	data, _ := json.Marshal(map[string]any{
		"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended_at": ended,
	})
	if w.slowLists > 0 {
		return data, rand.N(w.slowLists)
	}
	return data, 0
}
