package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/entry/loadtest"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
	"github.com/carobkeel/carobkeel/entry/loadtest/report"
	"github.com/carobkeel/carobkeel/internal/settings"
)

// progressInterval is the interval between updates of the progress line on a
// terminal.
const progressInterval = time.Second

// loadConfig is the settings of the load command.
type loadConfig struct {
	targets string
	test    loadtest.Config
	out     string
	plot    string
	compare string
}

// loadCommand sends an open-loop load to entries, checks the answers and writes
// a report.
func loadCommand() command {
	return command{
		name:    "load",
		summary: "send an open-loop load to entries, check the answers and report",
		run:     runLoad,
	}
}

func runLoad(ctx context.Context, args []string, io streams) int {
	fs := newFlagSet("load", io)
	c := registerLoadFlags(fs)
	if code, ok := parse(fs, args, io, c); !ok {
		return code
	}
	if c.compare != "" {
		return compareReports(fs, c, io)
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(io.err, "%s: the argument %q is not expected\n", fs.Name(), fs.Arg(0))
		return exitUsage
	}
	return sendLoad(ctx, c, io)
}

func registerLoadFlags(fs *flag.FlagSet) *loadConfig {
	c := &loadConfig{}
	p := &c.test.Plan
	p.Mix = plan.Mix{{Service: "echo", Owner: "unnamed", Weight: 1, Method: "POST"}}
	p.Bodies = plan.SizeRange{Min: 64, Max: 1024}
	fs.StringVar(&c.targets, "target", "", "comma-separated `addresses` of entries, host:port or URL; requests take turns")
	fs.Float64Var(&p.Rate, "rate", 100, "requests a second in all, without floods and repeats")
	fs.DurationVar(&p.Duration, "duration", 10*time.Second, "how long to send")
	fs.Var(&p.Arrivals, "arrivals", "poisson or uniform")
	fs.Uint64Var(&p.Seed, "seed", 1, "seed of every random choice")
	fs.StringVar(&p.Run, "run", "", "prefix of idempotency keys; the time where empty, so that runs differ")
	fs.Var(&p.Mix, "mix", "comma-separated `shares` NAME[:WEIGHT][/owner=O][/class=C][/method=M][/delay=D][/fail=STATUS][/size=BYTES]")
	fs.Var(&p.Floods, "flood", "`schedule` at=D,for=D,factor=F[,service=NAME][,owner=NAME]; several by semicolons")
	fs.Float64Var(&p.KeyShare, "key-share", 0.5, "share of requests with an idempotency key, 0 to 1")
	fs.Float64Var(&p.RepeatShare, "repeat-share", 0, "share of keyed requests that are sent again through the next entry, 0 to 1")
	fs.DurationVar(&p.MaxRepeatDelay, "repeat-within", 500*time.Millisecond, "longest time from a request to its repeat")
	fs.Var(&p.Bodies, "body", "size of request bodies in bytes, N or MIN-MAX")
	fs.DurationVar(&c.test.RequestTimeout, "timeout", 0, "Carobkeel-Timeout of each request; none where 0")
	fs.DurationVar(&c.test.ResponseTimeout, "give-up", 30*time.Second, "how long to wait for an answer before the request counts as lost")
	fs.IntVar(&c.test.MaxInFlight, "in-flight", 20_000, "most requests in flight; more are left out and counted as unsent")
	fs.StringVar(&c.out, "out", "", "`file` for the report as JSON")
	fs.StringVar(&c.plot, "plot", "", "`file` for the plots, .svg or .png")
	fs.StringVar(&c.compare, "compare", "", "report `A.json` to compare with B.json, the argument after the flags; sends nothing")
	return c
}

// Check implements settings.Checker.
func (c *loadConfig) Check() []settings.Problem {
	if c.compare != "" {
		return nil
	}
	var problems []settings.Problem
	require := func(ok bool, name, reason string) {
		if !ok {
			problems = append(problems, settings.Problem{Name: name, Reason: reason})
		}
	}
	targets, err := parseTargets(c.targets)
	if err != nil {
		require(false, "target", err.Error())
	}
	c.test.Targets = targets
	p := &c.test.Plan
	require(p.Rate > 0 && p.Rate <= maxRate, "rate", fmt.Sprintf("want more than 0 and at most %d", maxRate))
	require(p.Duration > 0, "duration", "want more than 0")
	require(p.KeyShare >= 0 && p.KeyShare <= 1, "key-share", "want 0 to 1")
	require(p.RepeatShare >= 0 && p.RepeatShare <= 1, "repeat-share", "want 0 to 1")
	require(p.MaxRepeatDelay >= 0, "repeat-within", "want 0 or more")
	require(c.test.RequestTimeout >= 0, "timeout", "want 0 or more")
	require(c.test.ResponseTimeout > 0, "give-up", "want more than 0")
	require(c.test.MaxInFlight > 0, "in-flight", "want more than 0")
	require(c.plot == "" || report.IsPlotFile(c.plot), "plot", "want a file that ends in .svg or .png")
	return problems
}

// maxRate is the maximum rate, in requests per second.
const maxRate = 1_000_000

// parseTargets returns the base URLs of a comma-separated list of entries.
func parseTargets(text string) ([]string, error) {
	var targets []string
	for _, address := range strings.Split(text, ",") {
		address = strings.TrimSuffix(strings.TrimSpace(address), "/")
		if address == "" {
			return nil, errors.New("want the address of an entry, as in 127.0.0.1:8080")
		}
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		parsed, err := url.Parse(address)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, errors.Errorf("%q is not an address of an entry", address)
		}
		targets = append(targets, address)
	}
	return targets, nil
}

// sendLoad runs the load test. It fails where an answer belongs to another
// request or an idempotency key was executed twice.
func sendLoad(ctx context.Context, c *loadConfig, io streams) int {
	if c.test.Plan.Run == "" {
		c.test.Plan.Run = "load-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	c.test.Commit = buildCommit()
	test := loadtest.New(c.test)
	stop := showProgress(io.err, test, c.test.Plan.Duration)
	result := test.Run(ctx)
	stop()
	if err := writeReport(c, result, io); err != nil {
		return fail(io, err)
	}
	if counts := result.Totals.Count; counts.Mismatched+counts.RanTwice > 0 {
		return fail(io, errors.Errorf("%d answers were mismatched and %d keys ran twice", counts.Mismatched, counts.RanTwice))
	}
	return exitOK
}

func writeReport(c *loadConfig, result *report.Report, io streams) error {
	if err := result.WriteText(io.out); err != nil {
		return err
	}
	if c.out != "" {
		if err := result.WriteJSONFile(c.out); err != nil {
			return err
		}
	}
	if c.plot != "" {
		return result.WritePlotFile(c.plot)
	}
	return nil
}

// showProgress updates one progress line until stop is called. It prints nothing
// where w is not a terminal.
func showProgress(w io.Writer, test *loadtest.Test, duration time.Duration) (stop func()) {
	file, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return func() {}
	}
	start := time.Now()
	ticker := time.NewTicker(progressInterval)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				fmt.Fprint(w, "\r\x1b[K")
				return
			case now := <-ticker.C:
				fmt.Fprintf(w, "\r\x1b[K%s", progressLine(test.Progress(), now.Sub(start), duration))
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
		<-ended
	}
}

func progressLine(p loadtest.Progress, elapsed, duration time.Duration) string {
	counts := p.Counts
	bad := counts.Failed + counts.Mismatched + counts.Lost + counts.Unreachable
	return fmt.Sprintf("%s of %s: %d sent, %d in flight, %d answered, %d refused, %d bad, %d doubled",
		elapsed.Truncate(time.Second), duration, counts.Sent, p.InFlight, counts.Answered, counts.Refused, bad, counts.RanTwice)
}

func compareReports(fs *flag.FlagSet, c *loadConfig, io streams) int {
	if fs.NArg() != 1 {
		fmt.Fprintf(io.err, "%s: want -compare A.json B.json\n", fs.Name())
		return exitUsage
	}
	a, err := report.ReadFile(c.compare)
	if err != nil {
		return fail(io, err)
	}
	b, err := report.ReadFile(fs.Arg(0))
	if err != nil {
		return fail(io, err)
	}
	if err := report.WriteComparison(io.out, a, b); err != nil {
		return fail(io, err)
	}
	return exitOK
}

// buildCommit returns the commit that the binary was built from, or an empty
// string where the build information has none.
func buildCommit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
