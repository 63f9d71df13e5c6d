package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold    = 10 * time.Second
	stopGrace  = 100 * time.Millisecond
	gangWait   = 3 * time.Second
	restore    = 250 * time.Millisecond
	checkpoint = time.Second
	maxListed  = 500
)

// step and job are a job as a client submits it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Memory       int    `json:"mem_mb,omitempty"`
	Estimate     int    `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Saves        bool   `json:"saves,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	SameRack     bool   `json:"same_rack,omitempty"`
	Requires     string `json:"requires,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	AllowDup     bool   `json:"copies,omitempty"`
	Perpetual    bool   `json:"perpetual,omitempty"`
	GPU          int    `json:"gpu,omitempty"`
	Image        string `json:"image,omitempty"`
	Target       int    `json:"target_ms,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	MayMiss      int    `json:"may_lack,omitempty"`
	// work is how long a task works, and failures how many of its first runs fail.
	work     time.Duration
	failures int
}

type job struct {
	ID     string `json:"-"`
	Spec   string `json:"spec"`
	Steps  []step `json:"steps"`
	Repeat int    `json:"repeat_count,omitempty"`
	First  int64  `json:"first_ms,omitempty"`
	Period int64  `json:"period_ms,omitempty"`
}

// taskID names a task.
type taskID struct {
	job         string
	k, step, ix int
}

func (t taskID) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.job, t.k, t.step, t.ix) }

func parseTask(text string) (t taskID, ok bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return t, false
	}
	t.job = parts[0]
	for i, to := range []*int{&t.k, &t.step, &t.ix} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return t, false
		}
		*to = n
	}
	return t, true
}

// order is the body of each call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"last_checkpoint"`
	Ack        uint64 `json:"acknowledged"`
	Wait       int64  `json:"wait_ms"`
	Percent    *int   `json:"percent"`
}

// run is a run on a worker.
type run struct {
	worker   *worker
	task     taskID
	number   int
	step     *step
	started  time.Time
	present  time.Time
	done     time.Duration
	last     time.Time
	percent  int
	saved    string
	stopAt   time.Time
	gang     *gang
	finished bool
}

// gang is one run of a gang.
type gang struct {
	members []*run
	since   time.Time
}

type end struct {
	number uint64
	run    *run
	how    string
	at     time.Time
	noted  bool
}

// worker is a stand-in of a worker.
type worker struct {
	world   *world
	name    string
	address string
	control string
	rack    string
	cpu     int
	memory  int

	id       string
	up       bool
	born     time.Time
	seq      int
	fence    uint64
	lease    time.Duration
	running  map[string]*run
	highest  map[taskID]int
	ends     []*end
	lastEnd  uint64
	endAdded chan struct{}
	draining bool
	// cut is set while the worker is cut off and runs on: no call reaches it, and none of its own gets out.
	cut bool
	// startsLate lets the next start get no answer. It is then carried out after lateBy.
	startsLate bool
	// lateAt is when a start was left without an answer.
	lateAt time.Time
	// lapsedAt is when the lease was last seen to have lapsed.
	lapsedAt time.Time
}

func (w *worker) begin() {
	w.up, w.born, w.seq, w.fence, w.lease, w.lastEnd = true, time.Now(), 0, 0, 0, 0
	w.running, w.highest, w.ends = make(map[string]*run), make(map[taskID]int), nil
	w.endAdded = make(chan struct{})
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Second }

// crash loses all that runs. The caller holds the world's lock.
func (w *worker) crash() {
	for _, r := range w.running {
		r.finished = true
		w.world.history(r.task).remove(r)
		w.world.breakGang(r)
	}
	w.running = make(map[string]*run)
	w.up = false
	close(w.endAdded)
	w.world.note("crash %s", w.name)
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.word("start"), w.serve((*worker).start))
	mux.HandleFunc("POST "+wire.word("stop"), w.serve((*worker).stop))
	mux.HandleFunc("POST "+wire.word("pace"), w.serve((*worker).pace))
	mux.HandleFunc("POST "+wire.word("hold"), w.serve((*worker).hold))
	return mux
}

func abort() { panic(http.ErrAbortHandler) }

func (w *worker) serve(carryOut func(*worker, *order) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if wire.decode(r.Body, &o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		m := &w.world.mu
		m.Lock()
		if !w.up {
			m.Unlock()
			abort()
		}
		if w.cut {
			m.Unlock()
			<-r.Context().Done()
			abort()
		}
		target := r.Header.Get(wire.word("target"))
		if w.startsLate && r.URL.Path == wire.word("start") {
			w.startsLate, w.lateAt = false, time.Now()
			w.carryOutLate(&o, target)
			m.Unlock()
			<-r.Context().Done()
			abort()
		}
		if target != "" && target != w.id {
			m.Unlock()
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if o.Fence < w.fence {
			clock := w.clock().Milliseconds()
			m.Unlock()
			writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence", "born": w.born.UnixMilli()})
			return
		}
		w.admit(&o)
		reason := carryOut(w, &o)
		isHold := r.URL.Path == wire.word("hold")
		if isHold && o.Wait > 0 && len(w.ends) == 0 {
			added, born := w.endAdded, w.born
			m.Unlock()
			select {
			case <-added:
			case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
			case <-r.Context().Done():
			}
			m.Lock()
			if !w.up || w.born != born {
				m.Unlock()
				abort()
			}
		}
		body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
		status := http.StatusOK
		switch {
		case reason == "invalid":
			status = http.StatusBadRequest
		case reason != "":
			status = http.StatusConflict
			body["reason"] = reason
		case isHold:
			w.list(body)
		}
		m.Unlock()
		writeJSON(rw, status, body)
	}
}

// lateBy is how much later than it was sent a start without an answer is carried out.
const lateBy = 2500 * time.Millisecond

// carryOutLate carries a start out later, if the worker, or its next life under the same id, then accepts
// it. The caller holds the world's lock.
func (w *worker) carryOutLate(o *order, target string) {
	w.world.note("start %s run %d on %s gets no answer", o.Task, o.Run, w.name)
	time.AfterFunc(lateBy, func() {
		w.world.mu.Lock()
		defer w.world.mu.Unlock()
		if !w.up || (target != "" && target != w.id) || o.Fence < w.fence {
			w.world.note("the late start is refused")
			return
		}
		w.world.note("the late start is carried out, deadline %d on a clock of %d", o.Deadline, w.clock().Milliseconds())
		w.admit(o)
		w.start(o)
	})
}

// admit applies the fence and the deadline of a call.
func (w *worker) admit(o *order) {
	w.fence = o.Fence
	if o.Deadline > 0 {
		w.lease = max(w.lease, min(time.Duration(o.Deadline)*time.Millisecond, w.clock()+maxHold))
	}
}

func (w *worker) runs() []*run {
	all := make([]*run, 0, len(w.running))
	for _, r := range w.running {
		all = append(all, r)
	}
	return all
}

func (w *worker) list(body map[string]any) {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task.String(), r.number, r.saved, r.listedPercent(), r.metric()})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		ended = append(ended, []any{e.number, e.run.task.String(), e.run.number, e.how, e.run.saved})
	}
	body["running"], body["ended_at"] = running, ended
}

// metric is the rough figure of the last half second.
func (r *run) metric() int {
	if r.step.Target > 0 {
		return r.step.Target / 5
	}
	return r.step.CPU * r.percent / 100
}

func (r *run) listedPercent() int {
	if r.step.Perpetual {
		return 100
	}
	return min(99, int(100*r.done/max(1, r.step.work)))
}

func (w *worker) hold(o *order) string {
	for len(w.ends) > 0 && w.ends[0].number <= o.Ack {
		w.world.noted(w.ends[0])
		w.ends = w.ends[1:]
	}
	return ""
}

func (w *worker) pace(o *order) string {
	if r := w.running[o.Task+"/"+strconv.Itoa(o.Run)]; r != nil && o.Percent != nil {
		r.percent = *o.Percent
	}
	return ""
}

func (w *worker) stop(o *order) string {
	t, ok := parseTask(o.Task)
	if !ok {
		return "invalid"
	}
	w.highest[t] = max(w.highest[t], o.Run)
	if r := w.running[o.Task+"/"+strconv.Itoa(o.Run)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopGrace)
	}
	return ""
}

func (w *worker) start(o *order) string {
	t, ok := parseTask(o.Task)
	if !ok {
		return "invalid"
	}
	key := o.Task + "/" + strconv.Itoa(o.Run)
	switch {
	case w.running[key] != nil:
		return ""
	case o.Run <= w.highest[t]:
		return "old"
	case time.Duration(o.Deadline)*time.Millisecond <= w.clock():
		return "late"
	}
	r := w.world.started(w, t, o)
	if r != nil {
		w.running[key] = r
	}
	return ""
}

func (w *worker) finish(r *run, how string) {
	if r.finished {
		return
	}
	r.finished = true
	delete(w.running, r.task.String()+"/"+strconv.Itoa(r.number))
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	e := &end{number: w.lastEnd, run: r, how: how, at: time.Now()}
	w.ends = append(w.ends, e)
	w.world.ended(e)
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

// advance ends what is due. The caller holds the world's lock.
func (w *worker) advance(now time.Time) {
	if !w.up {
		return
	}
	lapsed := w.clock() > w.lease
	if lapsed {
		w.lapsedAt = now
	}
	for _, r := range w.running {
		switch {
		case r.finished:
		case lapsed:
			w.finish(r, "lapsed")
			w.world.breakGang(r)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			if r.step.Saves && r.done > 0 {
				r.saved = encodeSaved(r.done)
			}
			w.finish(r, "stopped")
			w.world.breakGang(r)
		default:
			w.work(r, now)
		}
	}
}

func encodeSaved(done time.Duration) string { return fmt.Sprintf("%016x", done.Milliseconds()) }

func decodeSaved(text string) time.Duration {
	ms, _ := strconv.ParseInt(text, 16, 64)
	return time.Duration(ms) * time.Millisecond
}

// work advances a run that is neither stopped nor lapsed.
func (w *worker) work(r *run, now time.Time) {
	if g := r.gang; g != nil {
		if g.since.IsZero() && now.Sub(r.started) > gangWait {
			w.finish(r, "alone")
			return
		}
		if g.since.IsZero() {
			r.last = now
			return
		}
	}
	if now.Before(r.present) {
		r.last = now
		return
	}
	r.done += now.Sub(r.last) * time.Duration(r.percent) / 100
	r.last = now
	if r.step.Saves && r.done-decodeSaved(r.saved) >= checkpoint {
		r.saved = encodeSaved(r.done)
	}
	if r.step.Perpetual || r.done < r.step.work {
		return
	}
	how := "done"
	if r.number > 0 && w.world.failsNow(r) {
		how = "failed"
	}
	w.finish(r, how)
	if r.gang == nil {
		return
	}
	for _, m := range r.gang.members {
		if m != r && !m.finished && m.worker.up {
			if how == "done" {
				m.worker.finish(m, "done")
			} else {
				m.worker.finish(m, "broken")
			}
		}
	}
}

// beat sends heartbeats until the process ends.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.world.mu.Lock()
		up, id := w.up && !w.cut, w.id
		w.seq++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body := wire.encode(map[string]any{
			"service": service, "address": w.address, "zone": zone, "version": "v1", "slots": 8, "state": state, "cold_ms": 0,
			"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0}, "labels": []string{"a", w.rack},
			"clock_ms": w.clock().Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli(), "remaining_ms": 2000,
		})
		w.world.mu.Unlock()
		if up {
			request, _ := http.NewRequest(http.MethodPut, "http://"+w.control+wire.word("instances")+id, strings.NewReader(string(body)))
			request.Header.Set("Content-Type", "application/json")
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		time.Sleep(1100 * time.Millisecond)
	}
}

// world is what all workers share, and the judge of what they run.
type world struct {
	mu     sync.Mutex
	begun  time.Time
	jobs   map[string]*job
	tasks  map[taskID]*history
	gangs  map[string]*gang
	shown  map[string]string
	cancel map[string]time.Time
	broken map[string][]string
	lines  []string
	starts int
	dones  int
	// kills counts how often each process has exceeded its memory.
	kills map[string]int
	// disturbed is when something was last done to the deployment.
	disturbed time.Time
}

// history is what has run of a task.
type history struct {
	active    []*run
	doneEnds  []*end
	noted     time.Time
	afterDone []*run
	failures  int
}

// remove records that a run is over.
func (h *history) remove(r *run) {
	h.active = slices.DeleteFunc(h.active, func(other *run) bool { return other == r })
}

func newWorld() *world {
	return &world{
		begun: time.Now(), jobs: make(map[string]*job), tasks: make(map[taskID]*history), gangs: make(map[string]*gang),
		shown: make(map[string]string), cancel: make(map[string]time.Time), broken: make(map[string][]string), kills: make(map[string]int),
	}
}

func (x *world) note(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf("%9.3f ", time.Since(x.begun).Seconds())+fmt.Sprintf(format, args...))
}

// disturb notes that something is done to the deployment.
func (x *world) disturb(what string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.disturbed = time.Now()
	x.note("disruption: %s", what)
}

func (x *world) breakRule(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	x.note("BROKEN %s: %s", rule, text)
	x.broken[rule] = append(x.broken[rule], text)
}

func (x *world) history(t taskID) *history {
	h := x.tasks[t]
	if h == nil {
		h = &history{}
		x.tasks[t] = h
	}
	return h
}

// stepOf returns the step of a task, nil if nobody has sent the task.
func (x *world) stepOf(t taskID) *step {
	j := x.jobs[t.job]
	if j == nil || t.step >= len(j.Steps) || t.ix >= j.Steps[t.step].Count || t.k >= max(1, j.Repeat) || t.ix < 0 || t.step < 0 || t.k < 0 {
		return nil
	}
	return &j.Steps[t.step]
}

func (x *world) failsNow(r *run) bool {
	h := x.history(r.task)
	if h.failures < r.step.failures {
		h.failures++
		return true
	}
	return false
}

// started judges a start and returns the run, nil for one that nobody sent.
func (x *world) started(w *worker, t taskID, o *order) *run {
	x.starts++
	s := x.stepOf(t)
	if s == nil {
		x.breakRule("UNASKED", "%s on %s", o.Task, w.name)
		return nil
	}
	j := x.jobs[t.job]
	if o.Spec != j.Spec {
		x.breakRule("UNASKED", "%s run %d on %s with the spec %q, sent was %q", o.Task, o.Run, w.name, o.Spec, j.Spec)
	}
	if at, cancelled := x.cancel[t.job]; cancelled && time.Since(at) > 3*time.Second {
		x.breakRule("UNASKED", "%s run %d on %s %v after its cancelling was acknowledged", o.Task, o.Run, w.name, time.Since(at))
	}
	now := time.Now()
	if j.Repeat > 0 {
		if due := time.UnixMilli(j.First + int64(t.k)*j.Period); now.Before(due.Add(-250 * time.Millisecond)) {
			x.breakRule("ORDER", "%s run %d on %s %v before its time", o.Task, o.Run, w.name, due.Sub(now))
		}
	}
	for _, a := range s.After {
		x.checkDone(t, a, o)
	}
	h := x.history(t)
	if !s.AllowDup {
		for _, other := range h.active {
			if !other.finished && other.worker.up {
				x.breakRule("TWICE", "%s run %d on %s while run %d runs on %s", o.Task, o.Run, w.name, other.number, other.worker.name)
			}
		}
	}
	r := &run{worker: w, task: t, number: o.Run, step: s, started: now, last: now, percent: 100, present: now, saved: o.Checkpoint}
	if o.Checkpoint != "" {
		r.done, r.present = decodeSaved(o.Checkpoint), now.Add(restore)
	}
	if !h.noted.IsZero() && now.Sub(h.noted) > time.Second {
		x.breakRule("TWICE", "%s run %d on %s %v after its end as done was taken note of", o.Task, o.Run, w.name, now.Sub(h.noted))
	}
	if len(h.doneEnds) > 0 && !s.AllowDup {
		h.afterDone = append(h.afterDone, r)
	}
	h.active = append(h.active, r)
	used := 0
	for _, other := range append([]*run{r}, w.runs()...) {
		if !other.step.Fills {
			used += other.step.CPU
		}
	}
	if used > w.cpu {
		x.breakRule("LIMIT", "%s run %d on %s: %d of %d", o.Task, o.Run, w.name, used, w.cpu)
	}
	x.note("start %s run %d on %s fence %x", o.Task, o.Run, w.name, o.Fence)
	if s.Gang {
		key := fmt.Sprintf("%s.%d.%d/%d", t.job, t.k, t.step, o.Run)
		g := x.gangs[key]
		if g == nil {
			g = &gang{}
			x.gangs[key] = g
		}
		g.members = append(g.members, r)
		r.gang = g
		present := 0
		for _, m := range g.members {
			if !m.finished {
				present++
			}
		}
		if present == s.Count {
			g.since = now
		}
	}
	return r
}

func (x *world) checkDone(t taskID, earlier int, o *order) {
	s := x.stepOf(taskID{t.job, t.k, earlier, 0})
	for i := 0; i < s.Count; i++ {
		if len(x.history(taskID{t.job, t.k, earlier, i}).doneEnds) == 0 && !s.Gang {
			x.breakRule("ORDER", "%s run %d before %d.%d was done", o.Task, o.Run, earlier, i)
			return
		}
	}
}

func (x *world) breakGang(r *run) {
	if r.gang == nil {
		return
	}
	for _, m := range r.gang.members {
		if m != r && !m.finished && m.worker.up && !r.gang.since.IsZero() {
			m.worker.finish(m, "broken")
		}
	}
}

func (x *world) ended(e *end) {
	x.note("end %s run %d on %s %s", e.run.task, e.run.number, e.run.worker.name, e.how)
	h := x.history(e.run.task)
	h.remove(e.run)
	if e.how == "done" {
		x.dones++
		h.doneEnds = append(h.doneEnds, e)
	}
}

func (x *world) noted(e *end) {
	if e.run.worker.lapsedAt.After(e.at) {
		return // the lease has lapsed between the end and its acknowledgement
	}
	e.noted = true
	if e.how != "done" || e.run.step.AllowDup {
		return
	}
	h := x.history(e.run.task)
	if h.noted.IsZero() {
		h.noted = time.Now()
	}
	x.note("noted %s run %d", e.run.task, e.run.number)
}

// judge adds what only the whole record shows.
func (x *world) judge() {
	for t, h := range x.tasks {
		for _, r := range h.afterDone {
			for _, e := range h.doneEnds {
				if e.noted && e.run.number < r.number {
					x.breakRule("TWICE", "%s run %d on %s after run %d had ended as done on %s", t, r.number, r.worker.name, e.run.number, e.run.worker.name)
				}
			}
		}
	}
}
