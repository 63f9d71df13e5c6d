package caller_test

import (
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel/caller"
)

// startRepeats is the number of repeats that a new budget pays for, and
// mostShare the share of requests that earns one more.
const (
	startRepeats = 3
	mostShare    = 0.1
)

func TestBudgetPaysForNoMoreThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := caller.NewBudget()
		var requests, repeats int
		for _, earn := range rapid.SliceOfN(rapid.Bool(), 0, 2_000).Draw(t, "steps") {
			if earn {
				budget.Earn()
				requests++
			} else if budget.Spend() {
				repeats++
			}
		}
		if float64(repeats) > startRepeats+mostShare*float64(requests) {
			t.Fatalf("%d repeats for %d requests", repeats, requests)
		}
	})
}

func TestBudgetIsNotOverspentByThreads(t *testing.T) {
	g := NewWithT(t)
	budget := caller.NewBudget()
	const threads, requests = 8, 1_000
	var repeats atomic.Int64
	var group sync.WaitGroup
	for range threads {
		group.Go(func() {
			for range requests {
				budget.Earn()
				if budget.Spend() {
					repeats.Add(1)
				}
			}
		})
	}
	group.Wait()
	g.Expect(float64(repeats.Load())).To(BeNumerically("<=", startRepeats+mostShare*threads*requests))
	g.Expect(repeats.Load()).To(BeNumerically(">", startRepeats))
}

func TestBudgetOfAQuietHourIsBounded(t *testing.T) {
	g := NewWithT(t)
	budget := caller.NewBudget()
	for range 1_000_000 {
		budget.Earn()
	}
	repeats := 0
	for budget.Spend() {
		repeats++
	}
	g.Expect(repeats).To(BeNumerically("<=", 20))
}
