package main

import (
	"context"
	"fmt"
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
			figures = append(figures, targeted(name, cost, "us", atMost, budget))
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
