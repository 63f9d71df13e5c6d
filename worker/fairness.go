package worker

import (
	"container/heap"

	"github.com/carobkeel/carobkeel"
)

// Fairness is the ledger of what owners use of the fleet, against their quotas.
// It orders owners that have work waiting: owners within their guarantee first,
// by how much of it they use; then borrowers, by the dominant share of what
// they borrow, divided by their weight. An update and the choice of the next
// owner take O(log n) in the number of waiting owners. A Fairness is used by
// one goroutine at a time.
type Fairness struct {
	total      carobkeel.Resources
	guaranteed carobkeel.Resources
	accounts   map[carobkeel.Owner]*account
	waiting    accountHeap
}

// account is the state of one owner.
type account struct {
	owner      carobkeel.Owner
	guaranteed carobkeel.Resources
	weight     float64
	usage      carobkeel.Resources
	// planned is the part of usage that belongs to a plan that is not settled.
	// Nothing is taken from the owner on its account, as the commit may refuse
	// it.
	planned carobkeel.Resources
	// standing follows from the other fields and the fleet's total.
	standing Standing
	// index is the account's place in the heap, -1 where it is not waiting.
	index int
}

// Standing is where an owner stands against its quota.
type Standing struct {
	// Borrowing says that the owner uses more than its guarantee.
	Borrowing bool
	// Share is the part of the guarantee in use, or, for a borrower, the
	// dominant share of what it borrows divided by its weight.
	Share float64
}

// before reports whether an owner that stands so is served before another.
func (s Standing) before(o Standing) bool {
	if s.Borrowing != o.Borrowing {
		return !s.Borrowing
	}
	return s.Share < o.Share
}

// NewFairness returns an empty ledger for a fleet of the given total capacity.
func NewFairness(total carobkeel.Resources) *Fairness {
	return &Fairness{total: total, accounts: map[carobkeel.Owner]*account{}}
}

// SetTotal takes over the fleet's capacity. It takes O(n).
func (f *Fairness) SetTotal(total carobkeel.Resources) {
	f.total = total
	f.refreshAll()
}

// SetQuota takes over an owner's quota. It takes O(n), as guarantees are scaled
// down together where the fleet has shrunk below their sum.
func (f *Fairness) SetQuota(q carobkeel.Quota) {
	a := f.account(q.Owner)
	f.guaranteed = f.guaranteed.Sub(a.guaranteed).Add(q.Guaranteed)
	a.guaranteed, a.weight = q.Guaranteed, q.Weight
	if a.weight <= 0 {
		a.weight = 1
	}
	f.refreshAll()
}

// Charge counts an amount as used by the owner, from the acceptance of an
// assignment on.
func (f *Fairness) Charge(owner carobkeel.Owner, amount carobkeel.Resources) {
	a := f.account(owner)
	a.usage = a.usage.Add(amount)
	f.refresh(a)
}

// Release counts an amount as no longer used, from the end of a task or the
// start of its eviction on.
func (f *Fairness) Release(owner carobkeel.Owner, amount carobkeel.Resources) {
	f.Charge(owner, carobkeel.Resources{}.Sub(amount))
}

// plan charges an amount on account of a plan.
func (f *Fairness) plan(owner carobkeel.Owner, amount carobkeel.Resources) {
	a := f.account(owner)
	a.planned = a.planned.Add(amount)
	f.Charge(owner, amount)
}

// settle ends the account of a planned amount, and takes the charge back where
// it was not applied.
func (f *Fairness) settle(owner carobkeel.Owner, amount carobkeel.Resources, applied bool) {
	a := f.account(owner)
	a.planned = a.planned.Sub(amount)
	if !applied {
		f.Release(owner, amount)
	}
}

// SetWaiting tells whether the owner has work waiting.
func (f *Fairness) SetWaiting(owner carobkeel.Owner, waiting bool) {
	a := f.account(owner)
	switch {
	case waiting && a.index < 0:
		heap.Push(&f.waiting, a)
	case !waiting && a.index >= 0:
		heap.Remove(&f.waiting, a.index)
	}
}

// Next returns the owner whose work is to be placed next. It reports false
// where no owner waits.
func (f *Fairness) Next() (carobkeel.Owner, bool) {
	if len(f.waiting) == 0 {
		return "", false
	}
	return f.waiting[0].owner, true
}

// Usage returns what the owner is charged with.
func (f *Fairness) Usage(owner carobkeel.Owner) carobkeel.Resources {
	return f.account(owner).usage
}

// Standing returns where the owner stands against its quota.
func (f *Fairness) Standing(owner carobkeel.Owner) Standing { return f.account(owner).standing }

// Entitled reports whether the demand fits in what is left of the owner's
// guarantee, so that it may take back what others borrow.
func (f *Fairness) Entitled(owner carobkeel.Owner, demand carobkeel.Resources) bool {
	a := f.account(owner)
	return a.usage.Add(demand).FitsIn(f.guarantee(a))
}

// Lends reports whether the owner would still have its guarantee if the amount
// were taken from it.
func (f *Fairness) Lends(owner carobkeel.Owner, amount carobkeel.Resources) bool {
	a := f.account(owner)
	guarantee := f.guarantee(a)
	holds := a.usage.Sub(a.planned)
	if holds.FitsIn(guarantee) {
		return false
	}
	return keeps(holds.MilliCPU, amount.MilliCPU, guarantee.MilliCPU) &&
		keeps(holds.MemoryBytes, amount.MemoryBytes, guarantee.MemoryBytes) &&
		keeps(holds.Accelerators, amount.Accelerators, guarantee.Accelerators)
}

// keeps reports whether a part that exceeds its guarantee still reaches it
// without the amount.
func keeps(usage, amount, guarantee int64) bool {
	return usage <= guarantee || usage-amount >= guarantee
}

func (f *Fairness) account(owner carobkeel.Owner) *account {
	a, ok := f.accounts[owner]
	if !ok {
		a = &account{owner: owner, weight: 1, index: -1}
		f.accounts[owner] = a
		f.refresh(a)
	}
	return a
}

// guarantee returns the owner's guarantee, scaled down in each part of which
// the fleet has less than all guarantees together.
func (f *Fairness) guarantee(a *account) carobkeel.Resources {
	g := a.guaranteed
	return carobkeel.Resources{
		MilliCPU:     scaled(g.MilliCPU, f.total.MilliCPU, f.guaranteed.MilliCPU),
		MemoryBytes:  scaled(g.MemoryBytes, f.total.MemoryBytes, f.guaranteed.MemoryBytes),
		Accelerators: scaled(g.Accelerators, f.total.Accelerators, f.guaranteed.Accelerators),
	}
}

func scaled(part, total, sum int64) int64 {
	if sum <= total {
		return part
	}
	return int64(float64(part) * float64(total) / float64(sum))
}

func (f *Fairness) refresh(a *account) {
	guarantee := f.guarantee(a)
	excess := shortfall(a.usage, guarantee)
	a.standing = Standing{Borrowing: !excess.IsZero() || guarantee.IsZero()}
	if a.standing.Borrowing {
		a.standing.Share = excess.DominantShare(f.total) / a.weight
	} else {
		a.standing.Share = a.usage.DominantShare(guarantee)
	}
	if a.index >= 0 {
		heap.Fix(&f.waiting, a.index)
	}
}

func (f *Fairness) refreshAll() {
	for _, a := range f.accounts {
		f.refresh(a)
	}
}

// accountHeap implements heap.Interface.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].standing == h[j].standing {
		return h[i].owner < h[j].owner
	}
	return h[i].standing.before(h[j].standing)
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

func (h *accountHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	a.index = -1
	*h = (*h)[:last]
	return a
}
