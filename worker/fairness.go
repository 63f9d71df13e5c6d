package worker

import (
	"container/heap"

	"github.com/carobkeel/carobkeel"
)

// Fairness accounts for the resources of the fleet that each owner uses, against
// its quota. It orders the owners that have waiting requests: first owners within
// their guarantee, by the share of it that they use; then borrowers, by the
// dominant share of what they borrow, divided by their weight. An update and the
// choice of the next owner take O(log n) in the number of waiting owners. A
// Fairness is not safe for concurrent use.
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
	// planned is the part of usage that belongs to a plan that is not settled
	// yet. It does not count when resources are reclaimed from the owner, as
	// the commit may still refuse it.
	planned carobkeel.Resources
	// standing is computed from the other fields and the fleet's total.
	standing Standing
	// index is the position of the account in the heap, -1 if the owner has no
	// waiting request.
	index int
}

// Standing is an owner's usage relative to its quota.
type Standing struct {
	// Borrowing reports whether the owner uses more than its guarantee. It is
	// always set for an owner without a guarantee.
	Borrowing bool
	// Share is the dominant share of the guarantee that is in use or, for a
	// borrower, the dominant share of the fleet that it borrows, divided by its
	// weight.
	Share float64
}

// before reports whether an owner with this standing is served before one with
// the other.
func (s Standing) before(o Standing) bool {
	if s.Borrowing != o.Borrowing {
		return !s.Borrowing
	}
	return s.Share < o.Share
}

// NewFairness returns a Fairness without usage or quotas for a fleet of the given
// total capacity.
func NewFairness(total carobkeel.Resources) *Fairness {
	return &Fairness{total: total, accounts: map[carobkeel.Owner]*account{}}
}

// SetTotal sets the fleet's total capacity. It takes O(n) in the number of
// owners.
func (f *Fairness) SetTotal(total carobkeel.Resources) {
	f.total = total
	f.refreshAll()
}

// SetQuota sets an owner's quota. It takes O(n) in the number of owners, as all
// guarantees are scaled down together where the fleet is smaller than their sum.
func (f *Fairness) SetQuota(q carobkeel.Quota) {
	a := f.account(q.Owner)
	f.guaranteed = f.guaranteed.Sub(a.guaranteed).Add(q.Guaranteed)
	a.guaranteed, a.weight = q.Guaranteed, q.Weight
	if a.weight <= 0 {
		a.weight = 1
	}
	f.refreshAll()
}

// Charge adds an amount to the owner's usage. An assignment is charged when it is
// accepted.
func (f *Fairness) Charge(owner carobkeel.Owner, amount carobkeel.Resources) {
	a := f.account(owner)
	a.usage = a.usage.Add(amount)
	f.refresh(a)
}

// Release subtracts an amount from the owner's usage. A task's reservation is
// released when the task ends or its eviction starts.
func (f *Fairness) Release(owner carobkeel.Owner, amount carobkeel.Resources) {
	f.Charge(owner, carobkeel.Resources{}.Sub(amount))
}

// chargePlanned charges an amount for an assignment of a plan that is not
// committed yet.
func (f *Fairness) chargePlanned(owner carobkeel.Owner, amount carobkeel.Resources) {
	a := f.account(owner)
	a.planned = a.planned.Add(amount)
	f.Charge(owner, amount)
}

// settlePlanned marks a planned amount as settled, and releases it if the
// assignment was not applied.
func (f *Fairness) settlePlanned(owner carobkeel.Owner, amount carobkeel.Resources, applied bool) {
	a := f.account(owner)
	a.planned = a.planned.Sub(amount)
	if !applied {
		f.Release(owner, amount)
	}
}

// SetWaiting sets whether the owner has waiting requests.
func (f *Fairness) SetWaiting(owner carobkeel.Owner, waiting bool) {
	a := f.account(owner)
	switch {
	case waiting && a.index < 0:
		heap.Push(&f.waiting, a)
	case !waiting && a.index >= 0:
		heap.Remove(&f.waiting, a.index)
	}
}

// Next returns the owner whose request is to be placed next. It reports false
// if no owner has a waiting request.
func (f *Fairness) Next() (carobkeel.Owner, bool) {
	if len(f.waiting) == 0 {
		return "", false
	}
	return f.waiting[0].owner, true
}

// Usage returns the amount that the owner is charged with.
func (f *Fairness) Usage(owner carobkeel.Owner) carobkeel.Resources {
	return f.account(owner).usage
}

// Standing returns the owner's usage relative to its quota.
func (f *Fairness) Standing(owner carobkeel.Owner) Standing { return f.account(owner).standing }

// WithinGuarantee reports whether the demand fits in the unused part of the owner's
// guarantee, so that the owner may reclaim what others borrow.
func (f *Fairness) WithinGuarantee(owner carobkeel.Owner, demand carobkeel.Resources) bool {
	a := f.account(owner)
	return a.usage.Add(demand).FitsIn(f.guarantee(a))
}

// CanReclaimFrom reports whether the owner borrows and would still use its full
// guarantee if the amount were reclaimed from it.
func (f *Fairness) CanReclaimFrom(owner carobkeel.Owner, amount carobkeel.Resources) bool {
	a := f.account(owner)
	guarantee := f.guarantee(a)
	settledUsage := a.usage.Sub(a.planned)
	if settledUsage.FitsIn(guarantee) {
		return false
	}
	return keepsGuarantee(settledUsage.MilliCPU, amount.MilliCPU, guarantee.MilliCPU) &&
		keepsGuarantee(settledUsage.MemoryBytes, amount.MemoryBytes, guarantee.MemoryBytes) &&
		keepsGuarantee(settledUsage.Accelerators, amount.Accelerators, guarantee.Accelerators)
}

// keepsGuarantee reports whether reclaiming the amount leaves the usage of one
// resource at its guarantee or above. A resource that is used within its
// guarantee does not count.
func keepsGuarantee(usage, amount, guarantee int64) bool {
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

// guarantee returns the owner's guarantee, scaled down for each resource of which
// the fleet has less than the sum of all guarantees.
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
