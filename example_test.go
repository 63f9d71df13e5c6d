package carobkeel_test

import (
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/sidecar"
)

// A program with its own transport can use the sidecar selection alone: it
// applies announcements to a view and picks from the view for each request.
func Example_chooseSidecar() {
	now := time.Unix(1_700_000_000, 0)
	view := sidecar.NewView()
	for i, address := range []string{"10.0.0.1:9000", "10.0.0.2:9000"} {
		view, _ = view.ApplyAnnouncement(sidecar.Announcement{
			Incarnation: carobkeel.Incarnation(i + 1), Sequence: 1, Started: now,
			Address: address, Service: "dispatch", State: sidecar.StateServing, Slots: 8,
		}, now)
	}
	busy, _ := view.Member("10.0.0.1:9000")
	for range 6 {
		busy.Stats.Begin(carobkeel.ClassLatencyCritical)
	}

	// The caller supplies the time and the random number, so that the choice is
	// reproducible.
	choice := sidecar.PickOptions{Class: carobkeel.ClassLatencyCritical, Random: 1 << 32, Now: now}
	chosen := view.Pool("dispatch").Pick(choice)
	fmt.Println(chosen.Address)

	// A retry to another member lists the members already tried.
	choice.Tried = []*sidecar.Member{chosen}
	fmt.Println(view.Pool("dispatch").Pick(choice).Address)

	// A draining announcement removes the member from the next view.
	leaving := chosen.Announcement
	leaving.Sequence, leaving.State = 2, sidecar.StateDraining
	view, _ = view.ApplyAnnouncement(leaving, now)
	fmt.Println(len(view.Serving("dispatch")))
	// Output:
	// 10.0.0.2:9000
	// 10.0.0.1:9000
	// 1
}

// Catalogues are immutable: a change returns a new one.
func Example_changeCatalogue() {
	first := (&carobkeel.Catalogue{}).With(1, carobkeel.Entry{
		Name: "dispatch", Owner: "msaada", Class: carobkeel.ClassLatencyCritical,
	})
	second := first.Without(2, "dispatch")
	_, before := first.Lookup("dispatch")
	_, after := second.Lookup("dispatch")
	fmt.Println(before, after, second.Revision)
	// Output: true false 2
}

// Every failure that a caller sees has a code and tells whether the request
// ran.
func Example_resultCodes() {
	err := carobkeel.NewError(carobkeel.CodeQueueFull, "64 requests wait").WithRetryAfter(time.Second)
	fmt.Println(err)
	fmt.Println(err.Ran, err.Code.Info().Retryable)
	// Output:
	// queue-full (202): 64 requests wait
	// no true
}
