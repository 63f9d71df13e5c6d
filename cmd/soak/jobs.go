package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/cmd/soak/jobs"
	"github.com/carobkeel/carobkeel/internal/settings"
)

// Paths that the soak plays.
const (
	requestsPath = "requests"
	jobsPath     = "jobs"
)

// jobEndTime is how long jobs may take to end at the end of a play.
const jobEndTime = 20 * time.Second

// jobsConfig holds the settings that only the path of jobs has.
type jobsConfig struct {
	path       string
	kinds      string
	streams    int
	seeds      int
	reachNext  bool
	neighbours bool
	folder     string
	explain    string
	steps      int
	entries    int
	workers    int
}

func (c *jobsConfig) register(fs *flag.FlagSet) {
	fs.StringVar(&c.path, "path", requestsPath, "path that is played: requests or jobs")
	fs.StringVar(&c.kinds, "kinds", "all", "kinds of troubles, with commas")
	fs.IntVar(&c.streams, "streams", 3, "troubles side by side")
	fs.IntVar(&c.seeds, "seeds", 1, "how many seeds are played, from -seed on")
	fs.BoolVar(&c.reachNext, "late-calls-reach-next", true, "calls carried out late may reach a worker's next incarnation")
	fs.BoolVar(&c.neighbours, "heartbeats-to-neighbours", true, "workers send heartbeats to other hosts' sidecars if their own does not acknowledge them")
	fs.StringVar(&c.folder, "folder", "soak-results", "folder for what was seen of broken plays")
	fs.IntVar(&c.steps, "job-steps", 4, "most steps of a job")
	fs.IntVar(&c.entries, "job-entries", 3, "number of entries on the path of jobs")
	fs.IntVar(&c.workers, "job-workers", 11, "number of workers with a sidecar on the path of jobs")
	fs.StringVar(&c.explain, "explain", "", "folder of a broken play, or file of logs with the second and the host before each line, of which the runs of the task in the argument and the lines on it are printed")
}

// Check implements settings.Checker.
func (c *jobsConfig) Check() []settings.Problem {
	var problems []settings.Problem
	report := func(wrong bool, name, reason string) {
		if wrong {
			problems = append(problems, settings.Problem{Name: name, Reason: reason})
		}
	}
	report(c.path != requestsPath && c.path != jobsPath, "path", "must be requests or jobs")
	_, err := jobs.ParseKinds(c.kinds)
	report(err != nil, "kinds", fmt.Sprint(err))
	report(c.streams < 0, "streams", "must not be below 0")
	report(c.seeds < 1, "seeds", "must be above 0")
	report(c.steps < 2, "job-steps", "must be above 1")
	report(c.entries < 1 || c.entries > jobs.MaxEntries, "job-entries", fmt.Sprintf("must be from 1 to %d", jobs.MaxEntries))
	report(c.workers < 1 || c.workers > jobs.MaxWorkers, "job-workers", fmt.Sprintf("must be from 1 to %d", jobs.MaxWorkers))
	return problems
}

// explainTask prints the lines on a task of a broken play, and returns the exit code.
func (c *jobsConfig) explainTask(task string) int {
	if err := jobs.Explain(os.Stdout, c.explain, task); err != nil {
		return fail(err)
	}
	return 0
}

// playJobs plays the path of jobs with each seed, and returns the exit code.
func (c *config) playJobs(ctx context.Context) int {
	remove, err := c.buildBinary(ctx)
	defer remove()
	if err != nil {
		return fail(err)
	}
	var results []*jobs.Result
	code := 0
	for seed := c.seed; seed < c.seed+uint64(c.jobs.seeds) && ctx.Err() == nil; seed++ {
		r, err := jobs.Play(ctx, c.jobsOf(seed))
		if err != nil {
			return fail(err)
		}
		r.Print(os.Stdout)
		results = append(results, r)
		if r.Broken() {
			code = 1
		}
	}
	if err := c.saveJobs(results); err != nil {
		return fail(err)
	}
	return code
}

func fail(err error) int {
	fmt.Fprintf(os.Stderr, "soak: %v\n", err)
	return 1
}

// saveJobs writes the results as JSON where the settings name a file.
func (c *config) saveJobs(results []*jobs.Result) error {
	if c.out == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.MkdirAll(filepath.Dir(c.out), 0o755); err != nil {
		return errors.Wrap(err, "write the results")
	}
	return errors.Wrap(os.WriteFile(c.out, data, 0o644), "write the results")
}

// jobsOf returns the settings of the play with a seed.
func (c *config) jobsOf(seed uint64) jobs.Config {
	kinds, _ := jobs.ParseKinds(c.jobs.kinds) // checked with the settings
	return jobs.Config{
		Binary: c.binary, Seed: seed, Duration: c.duration, EndTime: jobEndTime, Kinds: kinds, Streams: c.jobs.streams, ReachNext: c.jobs.reachNext, Neighbours: c.jobs.neighbours,
		MostSteps: c.jobs.steps,
		Entries:   c.jobs.entries, Workers: c.jobs.workers, Folder: c.jobs.folder,
		Command: fmt.Sprintf(
			"go run ./cmd/soak -path jobs -seed %d -duration %v -kinds %s -streams %d -late-calls-reach-next=%v -heartbeats-to-neighbours=%v -job-steps %d -job-entries %d -job-workers %d -commit %s",
			seed, c.duration, c.jobs.kinds, c.jobs.streams, c.jobs.reachNext, c.jobs.neighbours, c.jobs.steps, c.jobs.entries, c.jobs.workers, c.commit),
	}
}
