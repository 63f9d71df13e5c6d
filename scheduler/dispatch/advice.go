package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// maxAdviceWorkers bounds the workers of one question. The time that a job
	// should take allows for one question about 30 workers per step.
	maxAdviceWorkers = 30
	// minAdviceInterval is the least time between two questions about the same
	// step.
	minAdviceInterval = 200 * time.Millisecond
	// ticketMargin is the least remaining validity of a ticket with which a
	// start is ordered.
	ticketMargin = 300 * time.Millisecond
)

// AdviceQuestion asks the advice service which workers may run a step.
type AdviceQuestion struct {
	// Step is the step's name as returned by TaskName.StepName.
	Step    string
	Workers []runs.Incarnation
	// Policy bounds how long an answer takes.
	Policy carobkeel.AdvicePolicy
}

// Advice is the answer to the last question.
type Advice struct {
	Question AdviceQuestion
	// Tickets holds a ticket for each worker that may run the step.
	Tickets map[runs.Incarnation]string
	// Validity is how long the tickets are valid. If it is zero, the policy's
	// value is used.
	Validity time.Duration
	// Failed reports that the advice service gave no answer.
	Failed bool
}

// stepAdvice is the advice received for a step.
type stepAdvice struct {
	tickets map[runs.Incarnation]ticket
	// denied holds the workers that may not run the step. A denial is
	// permanent.
	denied map[runs.Incarnation]bool
	// nextQuestionAt is the earliest time of the next question.
	nextQuestionAt time.Duration
}

// ticket is the advice service's permission to start a step on one worker. The
// text is sent to the worker with the order. The ticket is valid until expiry, in
// monotonic time.
type ticket struct {
	text   string
	expiry time.Duration
}

// ticketFor returns the ticket with which a step may start on a worker, and
// whether it may start there. Steps of queues without advice need no ticket.
func (c *Core) ticketFor(s *stepState, w *workerState) (string, bool) {
	if c.queueOf(s.occurrence.job).Advice == nil {
		return "", true
	}
	t, known := s.advice.tickets[w.description.Incarnation]
	return t.text, known && c.now.Monotonic+ticketMargin < t.expiry
}

// askAdvice creates a question about the most urgent step that waits for
// advice. The service answers one question at a time.
func (c *Core) askAdvice(p *pass, steps []*stepState) {
	if c.adviceStep != nil {
		return
	}
	for _, s := range steps {
		policy := c.queueOf(s.occurrence.job).Advice
		if policy == nil || s.tasks.waiting() == 0 {
			continue
		}
		if c.now.Monotonic < s.advice.nextQuestionAt {
			c.wakeAt(s.advice.nextQuestionAt)
			continue
		}
		if workers := c.workersWithoutAdvice(p, s); len(workers) > 0 {
			c.adviceStep = s
			c.adviceQuestion = &AdviceQuestion{Step: s.name, Workers: workers, Policy: *policy}
			return
		}
	}
}

// workersWithoutAdvice returns the suitable workers for which the step has
// neither a valid ticket nor a denial, those with the most free processors
// first.
func (c *Core) workersWithoutAdvice(p *pass, s *stepState) []runs.Incarnation {
	var candidates []*workerState
	for _, w := range p.workers {
		_, advised := c.ticketFor(s, w)
		if !advised && !s.advice.denied[w.description.Incarnation] && c.meetsRequirements(s, w) {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *workerState) int {
		return cmp.Compare(b.free().MilliCPU, a.free().MilliCPU)
	})
	var incarnations []runs.Incarnation
	for _, w := range candidates[:min(len(candidates), maxAdviceWorkers)] {
		incarnations = append(incarnations, w.description.Incarnation)
	}
	return incarnations
}

// ApplyAdvice applies the answer to the last question.
func (c *Core) ApplyAdvice(a Advice) {
	s := c.adviceStep
	c.adviceStep = nil
	if s == nil || s.name != a.Question.Step {
		return
	}
	s.advice.nextQuestionAt = c.now.Monotonic + minAdviceInterval
	if a.Failed {
		return
	}
	if a.Validity == 0 {
		a.Validity = a.Question.Policy.Validity
	}
	if s.advice.tickets == nil {
		s.advice.tickets = make(map[runs.Incarnation]ticket)
		s.advice.denied = make(map[runs.Incarnation]bool)
	}
	for _, incarnation := range a.Question.Workers {
		text, allowed := a.Tickets[incarnation]
		if !allowed {
			s.advice.denied[incarnation] = true
			continue
		}
		s.advice.tickets[incarnation] = ticket{text: text, expiry: c.now.Monotonic + a.Validity}
	}
	s.noRoomAt = 0 // workers without any change may run the step now
	c.recordDecision(Decision{
		Kind: DecidedAdviceReceived, Job: s.occurrence.job.spec.ID,
		Detail: s.name + ": " + strconv.Itoa(len(a.Tickets)) + " of " + strconv.Itoa(len(a.Question.Workers)) + " workers",
	})
}

// dropTicket removes a ticket that a worker has rejected.
func (c *Core) dropTicket(s *stepState, incarnation runs.Incarnation) {
	delete(s.advice.tickets, incarnation)
}
