package caller_test

import (
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel/caller"
)

// initialRetries is the number of retries that a new budget allows, and
// maxRetryShare an upper bound for the ratio of further retries to requests.
const (
	initialRetries = 3
	maxRetryShare  = 0.1
)

func TestBudgetLimitsRetriesToItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := caller.NewRetryBudget()
		var requests, retries int
		for _, earn := range rapid.SliceOfN(rapid.Bool(), 0, 2_000).Draw(t, "steps") {
			if earn {
				budget.Deposit()
				requests++
			} else if budget.Withdraw() {
				retries++
			}
		}
		if float64(retries) > initialRetries+maxRetryShare*float64(requests) {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

func TestBudgetIsNotOverspentByThreads(t *testing.T) {
	g := NewWithT(t)
	budget := caller.NewRetryBudget()
	const threads, requests = 8, 1_000
	var retries atomic.Int64
	var group sync.WaitGroup
	for range threads {
		group.Go(func() {
			for range requests {
				budget.Deposit()
				if budget.Withdraw() {
					retries.Add(1)
				}
			}
		})
	}
	group.Wait()
	g.Expect(float64(retries.Load())).To(BeNumerically("<=", initialRetries+maxRetryShare*threads*requests))
	g.Expect(retries.Load()).To(BeNumerically(">", initialRetries))
}

func TestBudgetIsCapped(t *testing.T) {
	g := NewWithT(t)
	budget := caller.NewRetryBudget()
	for range 1_000_000 {
		budget.Deposit()
	}
	retries := 0
	for budget.Withdraw() {
		retries++
	}
	g.Expect(retries).To(BeNumerically("<=", 20))
}
