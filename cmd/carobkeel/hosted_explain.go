package main

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/platform"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/holder"
)

// hostedExplainer explains jobs of the users' platform where this entry holds the shard. Elsewhere
// it names the holder's listener, which has the same port on each host.
type hostedExplainer struct {
	node *holder.Node
	// metricsAddress is the address of this host's listener for operators and metrics, of which the
	// port is used.
	metricsAddress string
}

// Explain implements httpapi.Explainer.
func (h *hostedExplainer) Explain(ctx context.Context, name string, body []byte) (operator.Explanation, error) {
	queue, found := queueByName(h.node.Queues(), name)
	if !found {
		return operator.Explanation{}, carobkeel.NewError(carobkeel.CodeUnknownEntry, "the configuration has no queue %q", name)
	}
	spec, err := platform.DecodeJob(queue, body)
	if err != nil {
		return operator.Explanation{}, err
	}
	host, ip := h.node.HolderHost()
	explained, err := h.node.Explain(ctx, &spec)
	if errors.Is(err, holder.ErrNoHolder) && ip != "" && !h.node.Leading() {
		_, port, _ := net.SplitHostPort(h.metricsAddress)
		return operator.Explanation{}, &operator.ElsewhereError{Address: net.JoinHostPort(ip, port)}
	}
	if errors.Is(err, holder.ErrNoHolder) {
		return operator.Explanation{}, carobkeel.NewError(carobkeel.CodeStoreUnavailable, "no process decides on jobs now")
	}
	if err != nil {
		return operator.Explanation{}, err
	}
	return viewExplanation(name, host, &explained), nil
}

// queueByName returns the queue of a name, and false if there is none.
func queueByName(config *carobkeel.QueueConfig, name string) (carobkeel.Queue, bool) {
	for _, q := range config.Queues {
		if string(q.Name) == name {
			return q, true
		}
	}
	return carobkeel.Queue{}, false
}

// viewExplanation converts an explanation to its representation for operators.
func viewExplanation(name, host string, explained *holder.Explained) operator.Explanation {
	e := operator.Explanation{Name: name, Holder: host, AgeSeconds: explained.Age.Seconds(), Jobs: explained.Jobs}
	for i := range explained.Steps {
		e.Steps = append(e.Steps, viewStep(&explained.Steps[i]))
	}
	return e
}

// viewStep converts the explanation of a step.
func viewStep(s *dispatch.StepExplanation) operator.StepExplanation {
	e := operator.StepExplanation{
		Tasks: s.Tasks, Placement: string(s.Placement), Hosts: s.Hosts, Victims: s.Victims, StepsAhead: s.StepsAhead, TasksAhead: s.TasksAhead,
	}
	for _, w := range s.Workers {
		e.AddWorker(operator.WorkerExplanation{Host: w.Host, Rack: w.Rack, Near: w.Near, Reason: w.Reason}, w.Free)
	}
	return e
}
