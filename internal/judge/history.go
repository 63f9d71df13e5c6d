package judge

import (
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel"
)

// listedIsNoted is the time after which an end that was listed in calm counts as noted.
const listedIsNoted = 100 * time.Millisecond

// history is a play ordered by what the judges ask for.
type history struct {
	Play
	bounds  Bounds
	contact contact
	// runs are in order of their starts.
	runs     []*run
	byTask   map[carobkeel.TaskName][]*run
	byWorker map[Worker]*life
	lives    []*life
	jobs     map[carobkeel.JobID]*job
	// jobOrder holds the jobs in the order in which they were first seen.
	jobOrder []*job
	versions []*version
	// trafficEnd is nil while callers send.
	trafficEnd *Event

	byRun map[RunID]*run
}

// life is one incarnation of a worker.
type life struct {
	WorkerStarted
	start Event
	// end is nil while the worker lives.
	end  *Event
	runs []*run
	// ends holds the runs that ended by the numbers of their ends.
	ends map[uint64]*run
	// drainReported and drainAcknowledged are the first of their kind, the latter by a
	// process in touch. anyDrainAcknowledged is by any process.
	drainReported, drainAcknowledged, anyDrainAcknowledged *Event
	// expiries and acknowledgements are in order of time.
	expiries, acknowledgements []Event
}

// upAt reports whether the worker lives and doesn't drain.
func (l *life) upAt(at time.Duration) bool {
	if at < l.start.At || (l.end != nil && l.end.At <= at) {
		return false
	}
	return l.drainReported == nil || at < l.drainReported.At
}

// runningAt returns the runs on the worker just after the event with the number.
func (l *life) runningAt(number int) []*run {
	var running []*run
	for _, r := range l.runs {
		if r.start.Number <= number && !r.endedBy(number) {
			running = append(running, r)
		}
	}
	return running
}

// run is one run of a task.
type run struct {
	RunStarted
	start Event
	// end is nil while the run lasts. outcome is empty if it ended with its worker.
	end       *Event
	outcome   Outcome
	endNumber uint64
	// listed is the first list that holds the end.
	listed *Event
	// noted reports that the end was taken note of, at notedAt by the event notedBy.
	noted   bool
	notedAt time.Duration
	notedBy Event
}

// endedBy reports whether the run's end is no later than the event with the number.
func (r *run) endedBy(number int) bool { return r.end != nil && r.end.Number <= number }

// done reports whether the run had ended as done by the event with the number.
func (r *run) done(number int) bool { return r.endedBy(number) && r.outcome == OutcomeDone }

// until returns the end of the run, or the end of the play.
func (r *run) until(h *history) time.Duration {
	if r.end == nil {
		return h.End
	}
	return r.end.At
}

func (r *run) String() string { return fmt.Sprintf("run %d on %s", r.Run, r.Worker) }

// String returns the ID and the incarnation.
func (w Worker) String() string { return fmt.Sprintf("%s/%d", w.ID, w.Incarnation) }

// attempt is one sending of a job.
type attempt struct {
	SubmissionSent
	sent Event
	// answered is nil if there is no answer yet.
	answered *Event
	answer   Answer
}

// job is what callers saw of a job.
type job struct {
	id       carobkeel.JobID
	attempts []*attempt
	// accepted is the first answer that says so.
	accepted *Event
	// cancelSent and cancelled are the first request to cancel and its first answer.
	cancelSent, cancelled *Event
	// completed is the first answer that shows the job as completed.
	completed *Event
	states    []Event
}

// spec returns the job as first sent, nil if it never was.
func (j *job) spec() *carobkeel.JobSpec {
	if j == nil || len(j.attempts) == 0 {
		return nil
	}
	return &j.attempts[0].Spec
}

// step returns the step of a task, nil if nobody sent one like it.
func (j *job) step(task carobkeel.TaskName) *carobkeel.Step {
	spec := j.spec()
	if spec == nil || task.Step < 0 || task.Step >= len(spec.Steps) {
		return nil
	}
	return &spec.Steps[task.Step]
}

// newHistory orders a play.
func newHistory(play Play, bounds Bounds) *history {
	h := &history{
		Play: play, bounds: bounds, contact: newContact(play, bounds.Contact),
		byTask: make(map[carobkeel.TaskName][]*run), byWorker: make(map[Worker]*life),
		jobs: make(map[carobkeel.JobID]*job), byRun: make(map[RunID]*run),
	}
	for _, event := range play.Events {
		h.addCaller(event)
		h.addWorker(event)
		h.addRun(event)
		h.addOperator(event)
	}
	for _, r := range h.runs {
		h.note(r)
	}
	return h
}

func (h *history) addCaller(event Event) {
	switch seen := event.Observation.(type) {
	case SubmissionSent:
		j := h.job(seen.Job)
		j.attempts = append(j.attempts, &attempt{SubmissionSent: seen, sent: event, answer: AnswerNone})
	case SubmissionAnswered:
		h.job(seen.Job).answer(seen, event)
	case CancelSent:
		setFirst(&h.job(seen.Job).cancelSent, event)
	case CancelAcknowledged:
		setFirst(&h.job(seen.Job).cancelled, event)
	case StateAnswered:
		j := h.job(seen.Job)
		j.states = append(j.states, event)
		if seen.Answer == AnswerAccepted && seen.State == carobkeel.JobCompleted {
			setFirst(&j.completed, event)
		}
	case TrafficEnded:
		setFirst(&h.trafficEnd, event)
	}
}

func (j *job) answer(seen SubmissionAnswered, event Event) {
	for _, a := range j.attempts {
		if a.Attempt == seen.Attempt && a.answered == nil {
			a.answered, a.answer = &event, seen.Answer
		}
	}
	if seen.Answer == AnswerAccepted {
		setFirst(&j.accepted, event)
	}
}

func (h *history) addWorker(event Event) {
	switch seen := event.Observation.(type) {
	case WorkerStarted:
		l := h.life(seen.Worker)
		l.WorkerStarted, l.start = seen, event
	case WorkerEnded:
		l := h.life(seen.Worker)
		setFirst(&l.end, event)
		for _, r := range l.runs {
			setFirst(&r.end, event)
		}
	case LeaseExpired:
		l := h.life(seen.Worker)
		l.expiries = append(l.expiries, event)
	case EndsAcknowledged:
		l := h.life(seen.Worker)
		l.acknowledgements = append(l.acknowledgements, event)
	case DrainReported:
		setFirst(&h.life(seen.Worker).drainReported, event)
	case DrainAcknowledged:
		l := h.life(seen.Worker)
		setFirst(&l.anyDrainAcknowledged, event)
		if h.contact.inTouch(seen.By.Name, event.At) {
			setFirst(&l.drainAcknowledged, event)
		}
	}
}

func (h *history) addRun(event Event) {
	switch seen := event.Observation.(type) {
	case RunStarted:
		r := &run{RunStarted: seen, start: event}
		h.runs = append(h.runs, r)
		h.byRun[seen.RunID] = r
		h.byTask[seen.Task] = append(h.byTask[seen.Task], r)
		l := h.life(seen.Worker)
		l.runs = append(l.runs, r)
	case RunEnded:
		if r := h.byRun[seen.RunID]; r != nil && r.end == nil {
			r.end, r.outcome, r.endNumber = &event, seen.Outcome, seen.EndNumber
			h.life(seen.Worker).ends[seen.EndNumber] = r
		}
	case EndsListed:
		for _, number := range seen.Numbers {
			if r := h.life(seen.Worker).ends[number]; r != nil {
				setFirst(&r.listed, event)
			}
		}
	}
}

// note finds out when the end of a run was taken note of: when an acknowledgement reached
// it, or shortly after a calm listing. That stands for good.
func (h *history) note(r *run) {
	if r.outcome == "" {
		return
	}
	l := h.byWorker[r.Worker]
	if event, ok := l.acknowledged(r); ok {
		r.noted, r.notedAt, r.notedBy = true, event.At, event
	}
	if r.listed == nil {
		return
	}
	known := r.listed.At + listedIsNoted
	if r.noted && r.notedAt <= known {
		return
	}
	if l.holds(r, known) && h.contact.calm(span{r.listed.At, known}) {
		r.noted, r.notedAt, r.notedBy = true, known, *r.listed
	}
}

// acknowledged returns the acknowledgement that took note of an end: it reached the end,
// and the lease hadn't lapsed between the two.
func (l *life) acknowledged(r *run) (Event, bool) {
	for _, event := range l.acknowledgements {
		if event.Number <= r.end.Number || event.Observation.(EndsAcknowledged).Through < r.endNumber {
			continue
		}
		for _, lapse := range l.expiries {
			if lapse.Number > r.end.Number && lapse.Number < event.Number {
				return Event{}, false
			}
		}
		return event, true
	}
	return Event{}, false
}

// holds reports whether the worker lived until at and its lease hadn't lapsed since the end
// of the run.
func (l *life) holds(r *run, at time.Duration) bool {
	if l.end != nil && l.end.At <= at {
		return false
	}
	for _, lapse := range l.expiries {
		if lapse.Number > r.end.Number && lapse.At <= at {
			return false
		}
	}
	return true
}

func (h *history) job(id carobkeel.JobID) *job {
	j := h.jobs[id]
	if j == nil {
		j = &job{id: id}
		h.jobs[id] = j
		h.jobOrder = append(h.jobOrder, j)
	}
	return j
}

func (h *history) life(w Worker) *life {
	l := h.byWorker[w]
	if l == nil {
		l = &life{WorkerStarted: WorkerStarted{Worker: w}, ends: make(map[uint64]*run)}
		h.byWorker[w] = l
		h.lives = append(h.lives, l)
	}
	return l
}

// step returns the step of a run's task, nil if it isn't known.
func (h *history) step(task carobkeel.TaskName) *carobkeel.Step {
	return h.jobs[task.Job].step(task)
}

func setFirst(into **Event, event Event) {
	if *into == nil {
		*into = &event
	}
}
