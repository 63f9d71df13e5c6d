package caller

import "sync/atomic"

const (
	// budgetCost is the cost of one retry or hedge.
	budgetCost = 1000
	// budgetCredit is the amount that each request adds. It is the ratio of
	// retries and hedges to requests, in thousandths.
	budgetCredit = 80
	// budgetInitial is the initial balance. It allows retries for an owner and
	// class with few requests.
	budgetInitial = 3 * budgetCost
	// budgetMax is the maximum balance. It keeps a long period without retries
	// from paying for a burst of them.
	budgetMax = 20 * budgetCost
)

// RetryBudget bounds the retries and hedges of one owner and class to a share of its
// requests. Its methods are safe for use by several goroutines.
type RetryBudget struct{ balance atomic.Int64 }

// NewRetryBudget returns a budget that allows a few retries from the start.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.balance.Store(budgetInitial)
	return b
}

// Deposit credits the budget for one request.
func (b *RetryBudget) Deposit() {
	if b.balance.Load() <= budgetMax-budgetCredit {
		b.balance.Add(budgetCredit)
	}
}

// Withdraw takes the cost of one retry or hedge. It returns false, and takes nothing,
// if the balance is too low.
func (b *RetryBudget) Withdraw() bool {
	for {
		balance := b.balance.Load()
		if balance < budgetCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-budgetCost) {
			return true
		}
	}
}
