package main

import (
	"math/rand/v2"
	"time"
)

// faultKind is what is done to a process.
type faultKind string

const (
	// killEntry and killSidecar end a process without warning and start another.
	killEntry   faultKind = "kill entry"
	killSidecar faultKind = "kill sidecar"
	// replaceEntry and replaceSidecar shut a process down gracefully and start
	// another.
	replaceEntry   faultKind = "replace entry"
	replaceSidecar faultKind = "replace sidecar"
	// pauseEntry, pauseSidecar and pauseTable stop a process for a while.
	pauseEntry   faultKind = "pause entry"
	pauseSidecar faultKind = "pause sidecar"
	pauseTable   faultKind = "pause table"
)

var faultKinds = []faultKind{
	killEntry, killSidecar, replaceEntry, replaceSidecar, pauseEntry, pauseSidecar, pauseTable,
}

// fault is one planned fault.
type fault struct {
	At   time.Duration `json:"at"`
	Kind faultKind     `json:"kind"`
	// Target is the index of the entry or sidecar.
	Target int `json:"target"`
	// For is how long a pause lasts.
	For time.Duration `json:"for,omitempty"`
}

const (
	// quietShare of the run at its start and its end has no faults.
	quietShare = 0.15
	// defaultFaultGap is the mean time between two faults.
	defaultFaultGap = 4 * time.Second
	minPause        = 200 * time.Millisecond
	maxPause        = 6 * time.Second
)

// planFaults returns the faults of a run, in order, none where the gap is zero.
// The same seed gives the same faults.
func planFaults(seed uint64, duration, gap time.Duration, entries, sidecars int) []fault {
	if gap <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, uint64(len(faultKinds))))
	quiet := time.Duration(float64(duration) * quietShare)
	var faults []fault
	at := quiet
	for {
		at += time.Duration(random.ExpFloat64() * float64(gap))
		if at >= duration-quiet {
			return faults
		}
		f := fault{At: at, Kind: faultKinds[random.IntN(len(faultKinds))]}
		switch f.Kind {
		case killEntry, replaceEntry, pauseEntry:
			f.Target = random.IntN(entries)
		case killSidecar, replaceSidecar, pauseSidecar:
			f.Target = random.IntN(sidecars)
		}
		switch f.Kind {
		case pauseEntry, pauseSidecar, pauseTable:
			f.For = minPause + time.Duration(random.Int64N(int64(maxPause-minPause)))
		}
		faults = append(faults, f)
	}
}
