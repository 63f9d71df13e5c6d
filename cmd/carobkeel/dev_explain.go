package main

import (
	"context"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/jobsapi"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/runner"
	"github.com/carobkeel/carobkeel/worker"
)

// devExplainer explains jobs of catalogue entries, which have one task.
type devExplainer struct {
	catalogues jobsapi.Catalogues
	shard      *runner.Runner
}

// Explain implements httpapi.Explainer. The submission of an entry has no body.
func (d *devExplainer) Explain(_ context.Context, name string, _ []byte) (operator.Explanation, error) {
	entry, found := d.catalogues.Catalogue().Lookup(name)
	if !found {
		return operator.Explanation{}, carobkeel.NewError(carobkeel.CodeUnknownEntry, "the catalogue has no entry %q", name)
	}
	job, err := scheduler.NewJob("", entry)
	if err != nil {
		return operator.Explanation{}, err
	}
	step := operator.StepExplanation{Tasks: 1}
	explained, held := d.shard.Explain(&job, func(w *worker.Worker, reason worker.Reason) {
		view := operator.WorkerExplanation{Host: string(w.ID), Rack: w.Location.Rack}
		if reason != worker.ReasonNone {
			view.Reason = reason.String()
		}
		step.AddWorker(view, w.Free())
	})
	if !held {
		return operator.Explanation{}, carobkeel.NewError(carobkeel.CodeStoreUnavailable, "no process decides on jobs now")
	}
	setDecision(&step, &explained.Decision)
	step.StepsAhead, step.TasksAhead = explained.Status.Waiting, explained.Status.Waiting
	return operator.Explanation{
		Name: name, Holder: string(explained.Status.Holder), AgeSeconds: explained.Age.Seconds(),
		Jobs: explained.Status.Unfinished, Steps: []operator.StepExplanation{step},
	}, nil
}

func setDecision(step *operator.StepExplanation, d *worker.Decision) {
	switch d.Verdict {
	case worker.VerdictPlaced:
		step.Placement, step.Hosts = "starts", []string{string(d.Assignment.Worker)}
	case worker.VerdictPreempting:
		step.Placement, step.Hosts = "starts after less urgent runs are stopped", []string{string(d.Assignment.Worker)}
		step.Victims = len(d.Assignment.Victims)
	case worker.VerdictWaiting:
		step.Placement = "waits for room"
	default:
		step.Placement = "never starts: " + d.Err.Error()
	}
}
