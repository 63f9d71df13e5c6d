package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// catalogueChangesPerDay is the rate of changes that the design is for.
	catalogueChangesPerDay = 34_000
	// controlShareOfCore is the most that control may use of a core on a node.
	controlShareOfCore = 0.031
	// catalogueRounds is the number of edits that one size is measured with.
	catalogueRounds = 200
)

// catalogueSuite measures what one accepted change costs a process that holds
// the catalogue, by number of entries.
func catalogueSuite() suite {
	return suite{name: "catalogue", run: func(context.Context, options) ([]figure, error) {
		perChange := 24 * time.Hour / catalogueChangesPerDay
		budget := float64(perChange.Microseconds()) * controlShareOfCore
		var figures []figure
		for _, size := range []int{100, 1_000, 10_000} {
			name := fmt.Sprintf("apply-change-%d-entries", size)
			cost := applyChangeCost(size)
			memory := fmt.Sprintf("memory-%d-entries", size)
			figures = append(figures,
				targeted(name, cost, "us", atMost, budget),
				targeted(memory, catalogueMemory(size), "KB", atMost, nodeMemoryKB))
		}
		return figures, nil
	}}
}

// applyChangeCost returns the microseconds that one change takes.
func applyChangeCost(size int) float64 {
	catalogue := &carobkeel.Catalogue{}
	entries := make(map[string]*carobkeel.Entry, size)
	for i := range size {
		name := fmt.Sprintf("service-%d", i)
		entries[name] = &carobkeel.Entry{Name: name}
	}
	catalogue.Entries = entries
	start := time.Now()
	for i := range catalogueRounds {
		catalogue = catalogue.With(carobkeel.Revision(i+1), carobkeel.Entry{Name: "service-0"})
	}
	return float64(time.Since(start).Microseconds()) / catalogueRounds
}

// catalogueMemory returns the KB that a catalogue takes.
func catalogueMemory(size int) float64 {
	before := liveHeapBytes()
	entries := make(map[string]*carobkeel.Entry, size)
	for i := range size {
		name := fmt.Sprintf("service-%d", i)
		entries[name] = &carobkeel.Entry{
			Name: name, Owner: carobkeel.Owner(fmt.Sprintf("owner-%d", i%catalogueOwners)),
			Limits: carobkeel.Limits{Timeout: time.Second, Concurrency: 8, Queue: 64, GuaranteedShare: 0.5, BodyBytes: 1 << 20},
		}
	}
	catalogue := &carobkeel.Catalogue{Revision: 1, Entries: entries}
	kb := float64(liveHeapBytes()-before) / 1024
	runtime.KeepAlive(catalogue)
	return kb
}

// catalogueOwners is the number of owners of a sample catalogue.
const catalogueOwners = 300
