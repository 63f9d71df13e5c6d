package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/jobsapi"
	"github.com/carobkeel/carobkeel/internal/settings"
)

// jobConfig is the settings of the job commands.
type jobConfig struct {
	address string
	timeout time.Duration
	json    bool
}

func registerJobFlags(fs *flag.FlagSet) *jobConfig {
	c := &jobConfig{}
	fs.StringVar(&c.address, "caller", "127.0.0.1:8080", "address of an entry's listener for callers")
	fs.DurationVar(&c.timeout, "timeout", 10*time.Second, "how long to wait for the answer")
	fs.BoolVar(&c.json, "json", false, "print JSON")
	return c
}

// Check implements settings.Checker.
func (c *jobConfig) Check() []settings.Problem {
	if c.address == "" {
		return []settings.Problem{{Name: "caller", Reason: "is missing"}}
	}
	return checkAddresses("caller", c.address)
}

func (c *jobConfig) client() *jobsapi.Client {
	return &jobsapi.Client{Address: c.address, HTTP: &http.Client{Timeout: c.timeout}}
}

// jobCommand submits, shows and cancels jobs.
func jobCommand() command {
	return commandGroup("job", "submit, show and cancel jobs",
		jobSubmitCommand(),
		jobGetCommand(),
		jobCancelCommand(),
	)
}

func jobSubmitCommand() command {
	return jobAction("submit", "submit a run of a batch task", "[flags] NAME", 1,
		func(ctx context.Context, c *jobsapi.Client, name string) (jobsapi.Job, error) {
			return c.Submit(ctx, name)
		})
}

func jobGetCommand() command {
	return jobAction("get", "show a job", "[flags] ID", 1,
		func(ctx context.Context, c *jobsapi.Client, id string) (jobsapi.Job, error) {
			return c.Get(ctx, carobkeel.JobID(id))
		})
}

// maxCancelledJobs is the maximum number of job ids in one command line.
const maxCancelledJobs = 10_000

func jobCancelCommand() command {
	return jobAction("cancel", "cancel jobs", "[flags] ID...", maxCancelledJobs,
		func(ctx context.Context, c *jobsapi.Client, id string) (jobsapi.Job, error) {
			return c.Cancel(ctx, carobkeel.JobID(id))
		})
}

// jobAction returns a command that applies do to each of its arguments. After a
// failure it continues with the next argument and returns exitFailure at the
// end.
func jobAction(name, summary, usage string, maxArgs int,
	do func(context.Context, *jobsapi.Client, string) (jobsapi.Job, error),
) command {
	return command{
		name:    name,
		summary: summary,
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("job "+name, io)
			config := registerJobFlags(fs)
			if code, ok := parseArguments(fs, args, io, usage, 1, maxArgs, config); !ok {
				return code
			}
			client := config.client()
			exit := exitOK
			for _, argument := range fs.Args() {
				job, err := do(ctx, client, argument)
				if err != nil {
					exit = fail(io, err)
					continue
				}
				printJob(io, config.json, job)
			}
			return exit
		},
	}
}

func printJob(io streams, asJSON bool, job jobsapi.Job) {
	if asJSON {
		printJSON(io, job)
		return
	}
	line := fmt.Sprintf("job %s is %s", job.ID, job.State)
	if job.Cancelling {
		line += ", being cancelled"
	}
	if job.Reason != "" {
		line += ": " + job.Reason
	}
	fmt.Fprintln(io.out, line)
}
