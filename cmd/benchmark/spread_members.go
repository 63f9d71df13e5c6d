package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/sidecar"
)

// membershipSizes are the numbers of members that slopes are taken over.
var membershipSizes = []int{100, 1_000, 10_000}

// membershipFigures measures an entry's membership by number of sidecars.
func membershipFigures() []figure {
	var figures []figure
	var memory, word []float64
	for _, size := range membershipSizes {
		bytes, join, beat, payload := membershipCosts(size)
		name := func(what string) string { return fmt.Sprintf("membership-%s-%d", what, size) }
		figures = append(figures,
			measured(name("memory"), bytes/1024, "KB"),
			measured(name("join"), join, "us"),
			measured(name("heartbeat"), beat, "us"),
			measured(name("presence"), payload, "B"))
		memory, word = append(memory, bytes), append(word, payload)
	}
	grown := float64(membershipSizes[2] - membershipSizes[0])
	return append(figures,
		measured("membership-memory-slope", (memory[2]-memory[0])/grown, "B/member"),
		measured("membership-presence-slope", (word[2]-word[0])/grown, "B/member"))
}

// membershipCosts returns the bytes that a membership takes, the microseconds of
// each join of all at once and of a heartbeat, and the bytes of its word to other entries.
func membershipCosts(size int) (bytes, join, beat, payload float64) {
	now := time.Now()
	before := float64(liveHeapBytes())
	m := sidecar.NewMembership()
	start := time.Now()
	for i := range size {
		m.ApplyAnnouncement(sampleAnnouncement(i, 1), sidecar.HopDirect, now)
	}
	m.View()
	join = float64(time.Since(start).Nanoseconds()) / 1000 / float64(size)
	bytes = float64(liveHeapBytes()) - before
	start = time.Now()
	for i := range size {
		m.ApplyAnnouncement(sampleAnnouncement(i, 2), sidecar.HopDirect, now)
	}
	beat = float64(time.Since(start).Nanoseconds()) / 1000 / float64(size)
	word, _ := wire.EncodePresences(entry.Report{}, m.Presences(now))
	runtime.KeepAlive(m)
	return bytes, join, beat, float64(len(word))
}
