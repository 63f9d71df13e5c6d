package caller

import "sync/atomic"

const (
	// budgetUnit is the cost of one repeat in a budget.
	budgetUnit = 1000
	// budgetEarned is what each request adds, the share of repeats to requests
	// in thousandths.
	budgetEarned = 80
	// budgetStart is what a budget holds at first, so that a service with few
	// requests gets repeats too.
	budgetStart = 3 * budgetUnit
	// budgetMost is the most that a budget holds, so that a quiet hour does not
	// pay for a storm.
	budgetMost = 20 * budgetUnit
)

// Budget bounds the retries and hedges of one owner and class to a share of its
// requests. Its methods are safe for use by several goroutines.
type Budget struct{ held atomic.Int64 }

// NewBudget returns a budget for a few repeats.
func NewBudget() *Budget {
	b := &Budget{}
	b.held.Store(budgetStart)
	return b
}

// Earn adds what one request earns.
func (b *Budget) Earn() {
	if b.held.Load() <= budgetMost-budgetEarned {
		b.held.Add(budgetEarned)
	}
}

// Spend takes the cost of one repeat. It returns false where too little is held.
func (b *Budget) Spend() bool {
	for {
		held := b.held.Load()
		if held < budgetUnit {
			return false
		}
		if b.held.CompareAndSwap(held, held-budgetUnit) {
			return true
		}
	}
}
