package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

const (
	spreadDataCentres = 10
	spreadRegions     = 3
	spreadEntries     = 3 // of each data centre
	// spreadRateFactor is the multiple of the daily rate of changes.
	spreadRateFactor = 10
	spreadEdits      = 120
	spreadLossRounds = 20
	// spreadIdle is how long the bytes of a fleet without changes are counted.
	spreadIdle    = 10 * time.Second
	spreadSettle  = 3 * time.Second
	spreadTimeout = 20 * time.Second
	// spreadCatalogue is the number of entries in the catalogue.
	spreadCatalogue = 200

	inForceP99   = time.Second
	inForceWorst = 4 * time.Second
	// controlBytesPerSecond is the most that control may send and receive on
	// a node.
	controlBytesPerSecond = 2048
	storeReadsPerSecond   = 2000
)

// spreadSuite measures the spread of accepted changes over loopback with delays
// and losses of links, between processes that are goroutines of this one.
func spreadSuite() suite {
	return suite{name: "spread", run: func(ctx context.Context, o options) ([]figure, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		f, err := startSpreadFleet(ctx, o.seed)
		if err != nil {
			return nil, err
		}
		figures, err := f.measure(ctx)
		if err != nil {
			return figures, err
		}
		messages, err := messageFigures()
		return append(append(figures, membershipFigures()...), messages...), err
	}}
}

func (f *spreadFleet) measure(ctx context.Context) ([]figure, error) {
	if err := f.editAndWait(ctx, spreadCatalogue); err != nil {
		return nil, err
	}
	pause(spreadSettle) // the nodes take their first snapshot
	idle := f.traffic(func() { pause(spreadIdle) })
	var inForce []time.Duration
	var err error
	busy := f.traffic(func() { inForce, err = f.steadyEdits(ctx) })
	if err != nil {
		return nil, err
	}
	lost, err := f.editsWithStoreLost(ctx)
	if err != nil {
		return nil, err
	}
	figures := append(inForceFigures("", inForce), inForceFigures("-store-lost", lost)...)
	return append(figures, trafficFigures(idle, busy)...), nil
}

// inForceFigures tells the time from acceptance until the last process has the
// change in force, over changes.
func inForceFigures(suffix string, times []time.Duration) []figure {
	slices.Sort(times)
	at := func(share float64) float64 { return times[int(share*float64(len(times)-1))].Seconds() * 1000 }
	return []figure{
		measured("in-force-everywhere-p50"+suffix, at(0.5), "ms"),
		targeted("in-force-everywhere-p99"+suffix, at(0.99), "ms", atMost, float64(inForceP99.Milliseconds())),
		targeted("in-force-everywhere-worst"+suffix, at(1), "ms", atMost, float64(inForceWorst.Milliseconds())),
	}
}

// trafficFigures tells the bytes of a node and an entry. The daily rate is worked
// out from the idle fleet and the one at a multiple of the rate.
func trafficFigures(idle, busy trafficRates) []figure {
	daily := func(idle, busy float64) float64 { return idle + (busy-idle)/spreadRateFactor }
	node := daily(idle.node, busy.node)
	return []figure{
		measured("node-bytes-idle", idle.node, "B/s"),
		targeted("node-bytes-at-daily-rate", node, "B/s", atMost, controlBytesPerSecond),
		measured("node-bytes-at-10x", busy.node, "B/s"),
		measured("node-segments-at-daily-rate", daily(idle.nodeWrites, busy.nodeWrites), "1/s"),
		measured("entry-bytes-idle", idle.entry, "B/s"),
		measured("entry-bytes-at-daily-rate", daily(idle.entry, busy.entry), "B/s"),
		measured("entry-bytes-at-10x", busy.entry, "B/s"),
		targeted("store-reads-at-10x", busy.reads, "1/s", atMost, storeReadsPerSecond),
		measured("store-writes-at-10x", busy.writes, "1/s"),
		measured("store-reads-idle", idle.reads, "1/s"),
	}
}

// steadyEdits makes edits at a multiple of the daily rate and returns how long
// each took to be in force everywhere.
func (f *spreadFleet) steadyEdits(ctx context.Context) ([]time.Duration, error) {
	interval := 24 * time.Hour / catalogueChangesPerDay / spreadRateFactor
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	first := f.edits
	for range spreadEdits {
		<-ticker.C
		if err := f.edit(ctx, 1); err != nil {
			return nil, err
		}
	}
	return f.wait(first+1, f.edits)
}

// editsWithStoreLost takes the store away right after each acceptance.
func (f *spreadFleet) editsWithStoreLost(ctx context.Context) ([]time.Duration, error) {
	var times []time.Duration
	for range spreadLossRounds {
		if err := f.edit(ctx, 1); err != nil {
			return nil, err
		}
		f.store.down.Store(true)
		took, err := f.wait(f.edits, f.edits)
		f.store.down.Store(false)
		if err != nil {
			return nil, err
		}
		times = append(times, took...)
	}
	return times, nil
}

func (f *spreadFleet) editAndWait(ctx context.Context, entries int) error {
	if err := f.edit(ctx, entries); err != nil {
		return err
	}
	_, err := f.wait(f.edits, f.edits)
	return err
}

// edit has a random entry accept an edit and notes the time.
func (f *spreadFleet) edit(ctx context.Context, entries int) error {
	f.edits++
	by := f.entries[f.random.IntN(len(f.entries))]
	edit := spreadEdit(f.edits, entries)
	result, err := by.store.Edit(ctx, edit)
	for errors.Is(err, context.DeadlineExceeded) {
		result, err = by.store.Edit(ctx, edit)
	}
	if err != nil {
		return err
	}
	f.log.accepted(result.Revision, time.Now())
	by.reader.PropagateSeen()
	return nil
}

// wait returns how long the revisions took until every process had them.
func (f *spreadFleet) wait(first, last int) ([]time.Duration, error) {
	deadline := time.Now().Add(spreadTimeout)
	for time.Now().Before(deadline) {
		if times, ok := f.log.everywhere(carobkeel.Revision(first), carobkeel.Revision(last), len(f.entries)); ok {
			return times, nil
		}
		pause(10 * time.Millisecond)
	}
	return nil, errors.Errorf("revision %d is not in force everywhere after %v", last, spreadTimeout)
}

// spreadEdit sets an owner and entries of an ordinary size.
func spreadEdit(number, entries int) operator.Edit {
	quota := carobkeel.Quota{Owner: "desk", Weight: 1}
	edit := operator.Edit{ID: operator.EditID(fmt.Sprint("edit-", number)), By: "benchmark", Items: []operator.EditItem{
		{Kind: operator.KindOwner, Name: "desk", Quota: &quota},
	}}
	for i := range entries {
		name := fmt.Sprintf("desk-%d", i)
		edit.Items = append(edit.Items, operator.EditItem{Kind: operator.KindEntry, Name: name, Entry: &carobkeel.Entry{
			Name: name, Owner: "desk", Class: carobkeel.ClassLatencyCritical, Instances: number,
			Demand: carobkeel.Resources{MilliCPU: 2000, MemoryBytes: 4 << 30},
			Limits: carobkeel.Limits{Timeout: time.Second, Concurrency: 8, Queue: 16, GuaranteedShare: 0.1, BodyBytes: 1 << 20},
		}})
	}
	return edit
}

func pause(d time.Duration) {
	timer := time.NewTimer(d)
	<-timer.C
}
