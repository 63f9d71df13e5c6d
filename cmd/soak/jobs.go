package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/carobkeel/carobkeel/cmd/soak/jobs"
)

// Paths that the soak plays.
const (
	requestsPath = "requests"
	jobsPath     = "jobs"
)

// jobsConfig holds the settings that only the path of jobs has.
type jobsConfig struct {
	path      string
	kinds     string
	streams   int
	seeds     int
	reachNext bool
	folder    string
	explain   string
}

func (c *jobsConfig) register(fs *flag.FlagSet) {
	fs.StringVar(&c.path, "path", requestsPath, "path that is played: requests or jobs")
	fs.StringVar(&c.kinds, "kinds", "all", "kinds of troubles, with commas")
	fs.IntVar(&c.streams, "streams", 3, "troubles side by side")
	fs.IntVar(&c.seeds, "seeds", 1, "how many seeds are played, from -seed on")
	fs.BoolVar(&c.reachNext, "late-calls-reach-next", true, "calls carried out late may reach a worker's next incarnation")
	fs.StringVar(&c.folder, "folder", "soak-results", "folder for what was seen of broken plays")
	fs.StringVar(&c.explain, "explain", "", "folder of a broken play, of which the lines on the task in the argument are printed")
}

// Size of the fleet that the path of jobs is played in.
const (
	jobEntries = 3
	jobWorkers = 11
)

// explainTask prints the lines on a task of a broken play, and returns the exit code.
func (c *jobsConfig) explainTask(task string) int {
	if err := jobs.Explain(os.Stdout, c.explain, task); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		return 1
	}
	return 0
}

// playJobs plays the path of jobs with each seed, and returns the exit code.
func (c *config) playJobs(ctx context.Context) int {
	kinds, err := jobs.ParseKinds(c.jobs.kinds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	remove, err := c.buildBinary(ctx)
	defer remove()
	code := 0
	for seed := c.seed; err == nil && seed < c.seed+uint64(c.jobs.seeds) && ctx.Err() == nil; seed++ {
		var r *jobs.Result
		if r, err = jobs.Play(ctx, c.jobsOf(seed, kinds)); err == nil {
			r.Print(os.Stdout)
		}
		if err == nil && r.Broken() {
			code = 1
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		return 1
	}
	return code
}

// jobsOf returns the settings of the play with a seed.
func (c *config) jobsOf(seed uint64, kinds []jobs.Kind) jobs.Config {
	return jobs.Config{
		Binary: c.binary, Seed: seed, Duration: c.duration, Kinds: kinds, Streams: c.jobs.streams, ReachNext: c.jobs.reachNext,
		Entries: jobEntries, Workers: jobWorkers, Folder: c.jobs.folder,
		Command: fmt.Sprintf("go run ./cmd/soak -path jobs -seed %d -duration %v -kinds %s -streams %d -late-calls-reach-next=%v -commit %s",
			seed, c.duration, c.jobs.kinds, c.jobs.streams, c.jobs.reachNext, c.commit),
	}
}
