package jobs

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/platform/standin"
)

const (
	// settleTime is how long all that late calls and writes do may take.
	settleTime = 13 * time.Second
	endPoll    = 200 * time.Millisecond
	// printedFindings is how many cases of one broken rule are printed. All are kept.
	printedFindings = 5
)

// Config holds the settings of a play.
type Config struct {
	Binary string
	Seed   uint64
	// Duration is how long jobs are submitted and troubles come.
	Duration time.Duration
	// EndTime is how long jobs may take to end once late calls are over.
	EndTime time.Duration
	Kinds   []Kind
	// MostSteps is how many steps a job has at most.
	MostSteps int
	// Streams is how many troubles come side by side.
	Streams int
	// ReachNext lets calls that are carried out late reach a worker's next incarnation.
	ReachNext bool
	// Neighbours lets workers send their heartbeats to other hosts' sidecars if their own
	// does not acknowledge them.
	Neighbours       bool
	Entries, Workers int
	// Folder is where broken plays leave what was seen.
	Folder string
	// Command is the command line that repeats the play.
	Command string
}

// Result is the outcome of a play.
type Result struct {
	Seed     uint64 `json:"seed"`
	Command  string `json:"command"`
	Troubles int    `json:"troubles"`
	Jobs     int64  `json:"jobs"`
	Accepted int64  `json:"accepted"`
	// Ended are the jobs that callers were told have ended.
	Ended   int64   `json:"ended"`
	Runs    int     `json:"runs"`
	Windows Windows `json:"windows"`
	// SidecarTime is the processor time of all sidecars.
	SidecarTime time.Duration   `json:"sidecar_time"`
	Findings    []judge.Finding `json:"findings"`
	// Folder is where a broken play is kept, empty for a whole one.
	Folder string `json:"folder,omitempty"`
}

// Broken reports whether a rule was broken.
func (r *Result) Broken() bool { return len(r.Findings) > 0 }

// Print writes what happened and what broke.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d jobs, %d accepted, %d ended; %d runs, %d troubles; broken: %s\n",
		r.Seed, r.Jobs, r.Accepted, r.Ended, r.Runs, r.Troubles, countByRule(r.Findings))
	fmt.Fprintf(out, "incarnations of workers reached: %v; processor time of sidecars: %v\n", r.Windows, r.SidecarTime)
	printed := make(map[judge.Rule]int)
	for _, f := range r.Findings {
		if printed[f.Rule]++; printed[f.Rule] <= printedFindings {
			fmt.Fprintln(out, f)
		}
	}
	if r.Folder != "" {
		fmt.Fprintln(out, "kept in", r.Folder)
	}
}

// Play runs a fleet under load with troubles, and judges what callers and workers saw.
func Play(ctx context.Context, c Config) (*Result, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := startFleet(ctx, c, folder)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	r := f.play(ctx, c)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "the play was interrupted")
	}
	seen := f.record.Play()
	r.Findings, r.Runs, r.SidecarTime = judge.Evaluate(seen, bounds), countRuns(seen), f.endSidecars()
	if r.Windows, err = readWindows(folder, began); err != nil {
		return nil, err
	}
	if !r.Broken() {
		return r, nil
	}
	r.Folder, err = keep(c, folder, seen, r.Findings)
	return r, err
}

// play submits jobs while troubles come, and waits until late calls are over and jobs have
// ended.
func (f *fleet) play(ctx context.Context, c Config) *Result {
	follow, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	t := newTraffic(f, c.Seed, c.MostSteps)
	p := &player{fleet: f, traffic: t, reachNext: c.ReachNext}
	var streams sync.WaitGroup
	r := &Result{Seed: c.Seed, Command: c.Command}
	began := time.Now()
	for stream := range c.Streams {
		planned := planStream(c.Seed, stream, c.Kinds, c.Duration)
		r.Troubles += len(planned)
		streams.Go(func() { p.playStream(ctx, began, stream, planned) })
	}
	t.run(ctx, follow, c.Duration)
	streams.Wait()
	_ = clock.Sleep(ctx, settleTime) // an interrupted play is not judged
	t.awaitEnds(ctx, c.EndTime)
	r.Jobs, r.Accepted, r.Ended = t.sent.Load(), t.accepted.Load(), t.ended.Load()
	return r
}

// awaitEnds waits until all jobs but the lasting one have ended, or a time has passed.
func (t *traffic) awaitEnds(ctx context.Context, longest time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	for t.ended.Load() < t.accepted.Load()-1 && clock.Sleep(ctx, endPoll) == nil {
	}
}

// troublePart is what the lines of the log about troubles name as their part.
const troublePart = "trouble"

// disruptions numbers the troubles of this process.
var disruptions atomic.Int64

// startTrouble names the start of a fleet in the record: no rule with a bound of time holds
// until its processes have run for a while.
const startTrouble = "start"

// recordStart records that the store and all hosts start. The function that it returns
// records the end of that.
func (f *fleet) recordStart(c Config) (ready func()) {
	d := judge.Disruption{ID: int(disruptions.Add(1)), Trouble: startTrouble, Store: true}
	for i := range c.Entries {
		d.Processes = append(d.Processes, entryName(i))
	}
	for i := range c.Workers {
		d.Processes = append(d.Processes, sidecarName(i))
		d.Workers = append(d.Workers, workerName(i))
	}
	f.record.Add(d)
	return func() { f.record.Add(judge.DisruptionEnded{ID: d.ID}) }
}

// playStream plays troubles one after the other.
func (p *player) playStream(ctx context.Context, began time.Time, stream int, planned []trouble) {
	for _, t := range planned {
		if clock.Sleep(ctx, time.Until(began.Add(t.At))) != nil {
			return
		}
		p.play(ctx, stream, t)
	}
}

func (p *player) play(ctx context.Context, stream int, t trouble) {
	a := p.action(t)
	seen := a.disruption(t)
	p.fleet.record.Add(seen)
	line := p.fleet.logs.For(troublePart)
	line.Info().Int("id", seen.ID).Int("stream", stream).Str("kind", string(t.Kind)).Dur("for", t.For).
		Strs("processes", seen.Processes).Strs("workers", seen.Workers).
		Strs("targets", names(a.targets)).Msg("begins")
	a.begin()
	_ = clock.Sleep(ctx, t.For) // what began is ended also when the play is interrupted
	a.end()
	line.Info().Int("id", seen.ID).Str("kind", string(t.Kind)).Msg("ends")
	p.fleet.record.Add(judge.DisruptionEnded{ID: seen.ID})
}

// disruption returns the trouble as the record names it.
func (a *action) disruption(t trouble) judge.Disruption {
	d := judge.Disruption{ID: int(disruptions.Add(1)), Trouble: string(t.Kind), Store: a.store, Processes: a.hosts}
	for _, p := range a.processes {
		d.Processes = append(d.Processes, p.name)
	}
	d.Workers = names(a.workers)
	return d
}

func names(workers []*standin.Worker) []string {
	var all []string
	for _, w := range workers {
		all = append(all, w.Name())
	}
	return all
}
