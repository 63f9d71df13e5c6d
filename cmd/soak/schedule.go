package main

import (
	"math/rand/v2"
	"time"
)

// faultKind is a kind of fault that is injected into a process.
type faultKind string

const (
	// killEntry and killSidecar kill a process with SIGKILL and start another.
	killEntry   faultKind = "kill entry"
	killSidecar faultKind = "kill sidecar"
	// replaceEntry and replaceSidecar shut a process down gracefully and start
	// another.
	replaceEntry   faultKind = "replace entry"
	replaceSidecar faultKind = "replace sidecar"
	// pauseEntry, pauseSidecar and pauseTable suspend a process for a time.
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
	// Target is the index of the entry or sidecar; 0 for the table.
	Target int `json:"target"`
	// For is the length of a pause; 0 for other kinds.
	For time.Duration `json:"for,omitempty"`
}

const (
	// faultFreeShare is the share of the duration at the start, and again at the
	// end, in which no faults are injected.
	faultFreeShare = 0.15
	// defaultFaultGap is the mean time between two faults.
	defaultFaultGap = 4 * time.Second
	minPause        = 200 * time.Millisecond
	maxPause        = 6 * time.Second
)

// planFaults returns the faults of a soak test in order of time, with
// exponentially distributed gaps; none where the mean gap is zero. The same
// arguments give the same faults.
func planFaults(seed uint64, duration, gap time.Duration, entries, sidecars int) []fault {
	if gap <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, uint64(len(faultKinds))))
	faultFree := time.Duration(float64(duration) * faultFreeShare)
	var faults []fault
	at := faultFree
	for {
		at += time.Duration(random.ExpFloat64() * float64(gap))
		if at >= duration-faultFree {
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
