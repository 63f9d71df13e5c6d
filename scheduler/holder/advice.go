package holder

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Advisor asks the advice service which of the workers, named by their IDs, may
// run a step. It returns a ticket for each of these workers and the validity of
// the tickets, zero if the service does not state it.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, validity time.Duration, err error)
}

// adviceSlack is how much longer than stated in the queue's policy an answer
// may take.
const adviceSlack = time.Second

// requestAdvice sends a question of the core to the advice service.
func (l *loop) requestAdvice(q *dispatch.AdviceQuestion) {
	if q == nil {
		return
	}
	n, term := l.node, l.term
	go func() {
		advice := n.advise(term, q)
		n.events.Push(func(l *loop) {
			if l.core != nil && l.term == term {
				l.core.ApplyAdvice(advice)
			}
		})
	}()
}

func (n *Node) advise(ctx context.Context, q *dispatch.AdviceQuestion) dispatch.Advice {
	advice := dispatch.Advice{Question: *q}
	if n.config.Advisor == nil {
		n.log.Error().Str("step", q.Step).Msg("queue needs advice but no advice service is configured")
		advice.Failed = true
		return advice
	}
	limit := q.Policy.BaseDelay + time.Duration(len(q.Workers))*q.Policy.DelayPerWorker + adviceSlack
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ids := make([]string, len(q.Workers))
	for i, incarnation := range q.Workers {
		ids[i] = incarnation.ID
	}
	tickets, validity, err := n.config.Advisor.Advise(ctx, q.Step, ids)
	if err != nil {
		n.log.Warn().Err(err).Str("step", q.Step).Int("workers", len(ids)).Msg("advice request failed")
		advice.Failed = true
		return advice
	}
	advice.Validity = validity
	advice.Tickets = make(map[runs.Incarnation]string, len(tickets))
	for _, incarnation := range q.Workers {
		if text, allowed := tickets[incarnation.ID]; allowed {
			advice.Tickets[incarnation] = text
		}
	}
	return advice
}
