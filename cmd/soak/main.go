// Command soak runs entries, sidecars and a stand-in for the table service as
// processes of the binary. It sends them load while it kills, pauses and replaces
// them on a schedule derived from a seed, and then compares the results that
// callers received with the runs that the upstreams recorded.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/entry/loadtest"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
	"github.com/carobkeel/carobkeel/entry/loadtest/report"
	"github.com/carobkeel/carobkeel/internal/measurement"
	"github.com/carobkeel/carobkeel/internal/settings"
)

// config holds the settings of a soak test.
type config struct {
	binary            string
	seed              uint64
	duration          time.Duration
	faultGap          time.Duration
	rate              float64
	entries, sidecars int
	out, logs, commit string
	history           string
	jobs              jobsConfig
}

// result is the outcome of a soak test as it is written to the JSON file.
type result struct {
	Time     time.Time      `json:"time"`
	Commit   string         `json:"commit"`
	Seed     uint64         `json:"seed"`
	Faults   []fault        `json:"faults"`
	Counts   counts         `json:"counts"`
	Findings []finding      `json:"findings"`
	Errors   []string       `json:"errors"`
	Load     *report.Report `json:"load"`
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:])
	cancel()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	c := config{}
	fs.StringVar(&c.binary, "binary", "", "binary of carobkeel; built from this module where empty")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the faults and the load")
	fs.DurationVar(&c.duration, "duration", time.Minute, "how long the load lasts")
	fs.DurationVar(&c.faultGap, "fault-gap", defaultFaultGap, "mean time between two faults; no faults where 0")
	fs.Float64Var(&c.rate, "rate", 200, "requests a second")
	fs.IntVar(&c.entries, "entries", 2, "number of entries")
	fs.IntVar(&c.sidecars, "sidecars", 3, "number of upstreams with a sidecar")
	fs.StringVar(&c.out, "out", "", "file for the result as JSON")
	fs.StringVar(&c.history, "history", "", "page of measurements that the result is added to")
	fs.StringVar(&c.logs, "logs", "", "file for the logs of the processes; none where empty")
	fs.StringVar(&c.commit, "commit", "unknown", "commit that is tested")
	c.jobs.register(fs)
	if err := settings.Parse(fs, args, &c.jobs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if c.jobs.explain != "" {
		return c.jobs.explainTask(fs.Arg(0))
	}
	if c.jobs.path == jobsPath {
		return c.playJobs(ctx)
	}
	r, err := soak(ctx, c)
	if err == nil {
		err = r.save(c)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		return 1
	}
	r.print(os.Stdout)
	if r.Counts.violated() || len(r.Errors) > 0 {
		return 1
	}
	return 0
}

// soak runs the fleet under load with faults and checks the guarantees to callers.
func soak(ctx context.Context, c config) (*result, error) {
	logs, err := openLogs(c.logs)
	if err != nil {
		return nil, err
	}
	defer logs.Close()
	remove, err := c.buildBinary(ctx)
	defer remove()
	if err != nil {
		return nil, err
	}
	f, err := startFleet(ctx, c, logs)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	return f.runLoad(ctx, c)
}

// buildBinary builds the binary unless the settings name one. The function that it returns
// removes what was built.
func (c *config) buildBinary(ctx context.Context) (remove func(), err error) {
	if c.binary != "" {
		return func() {}, nil
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return func() {}, errors.WithStack(err)
	}
	c.binary, err = build(ctx, folder)
	return func() { _ = os.RemoveAll(folder) }, err
}

func build(ctx context.Context, folder string) (string, error) {
	binary := filepath.Join(folder, "carobkeel")
	command := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/carobkeel")
	command.Stderr = os.Stderr
	return binary, errors.Wrap(command.Run(), "build the binary")
}

func openLogs(path string) (io.WriteCloser, error) {
	if path == "" {
		path = os.DevNull
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, errors.Wrap(err, "open the logs")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	return file, errors.Wrap(err, "open the logs")
}

// runLoad sends the load while it injects the planned faults, and checks the
// guarantees against the recorded runs.
func (f *fleet) runLoad(ctx context.Context, c config) (*result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := &attempts{}
	load := c.load(f)
	load.OnResult = attempts.add
	faults := planFaults(c.seed, c.duration, c.faultGap, c.entries, c.sidecars)
	f.started = time.Now()
	failures := make(chan []string, 1)
	go func() { failures <- f.injectFaults(ctx, faults) }()
	sent := loadtest.New(load).Run(ctx)
	errs := <-failures
	r := &result{
		Time: f.started.UTC().Truncate(time.Second), Commit: c.commit, Seed: c.seed,
		Faults: faults, Errors: errs, Load: sent,
	}
	r.Counts, r.Findings = checkGuarantees(attempts.byName(), f.runs.Runs, f.disruptions)
	return r, nil
}

// load returns the settings of the load generator: half of the requests carry an
// idempotency key, and a fifth of these are repeated through another entry.
func (c config) load(f *fleet) loadtest.Config {
	mix := plan.Mix{
		{Service: soakService, Owner: "quick", Weight: 3, Method: "POST"},
		{Service: soakService, Owner: "slow", Weight: 1, Method: "POST", Delay: 100 * time.Millisecond},
	}
	load := loadtest.Config{
		Plan: plan.Config{
			Seed: c.seed, Run: fmt.Sprintf("soak-%d-%d", c.seed, time.Now().UnixNano()),
			Rate: c.rate, Duration: c.duration, Mix: mix,
			KeyShare: 0.5, RepeatShare: 0.2, MaxRepeatDelay: 2 * time.Second,
			Bodies: plan.SizeRange{Min: 16, Max: 8192},
		},
		ResponseTimeout: 30 * time.Second, MaxInFlight: 20_000, Commit: c.commit,
	}
	for _, entry := range f.entries {
		load.Targets = append(load.Targets, "http://"+entry.addresses["caller"])
	}
	return load
}

// injectFaults injects the faults at their planned times, concurrently where they
// overlap, and returns the errors of the injection itself.
func (f *fleet) injectFaults(ctx context.Context, faults []fault) []string {
	var injections sync.WaitGroup
	var mu sync.Mutex
	var errs []string
	for _, planned := range faults {
		sleep(ctx, time.Until(f.started.Add(planned.At)))
		if ctx.Err() != nil {
			break
		}
		injections.Go(func() {
			if err := f.injectFault(ctx, planned); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, fmt.Sprintf("%s at %s: %v", planned.Kind, planned.At, err))
			}
		})
	}
	injections.Wait()
	return errs
}

// save writes the result to the JSON file and the page of measurements, each only
// where its flag is set.
func (r *result) save(c config) error {
	if err := r.write(c.out); err != nil {
		return err
	}
	if c.history == "" {
		return nil
	}
	return measurement.AppendToFile(c.history, r.measurements())
}

func (r *result) write(path string) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "write the result")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "write the result")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o644), "write the result")
}

// print writes a summary of the result as text.
func (r *result) print(w io.Writer) {
	fmt.Fprintf(w, "soak: commit %s, seed %d, %d faults\n", r.Commit, r.Seed, len(r.Faults))
	_ = r.Load.WriteText(w)
	c := r.Counts
	fmt.Fprintf(w, "\nrequests %d, answered %d, refused %d, unreachable %d, lost with their entry %d\n",
		c.Requests, c.Answered, c.Refused, c.Unreachable, c.LostWithEntry)
	fmt.Fprintf(w, "broken promises: doubled %d, falsely refused %d, falsely said to have run %d, mismatched %d, failed %d, lost %d\n",
		c.Doubled, c.FalselyRefused, c.FalselyRan, c.Mismatched, c.Failed, c.Lost)
	for _, e := range r.Errors {
		fmt.Fprintf(w, "harness: %s\n", e)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s: %s ran %d times, attempts %+v\n", f.Kind, f.Request, f.Runs, f.Attempts)
	}
}
