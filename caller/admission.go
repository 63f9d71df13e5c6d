package caller

import (
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// floodShare is the share of recent requests refused for want of capacity from
// which on there is a flood.
const floodShare = 0.01

// Admission decides at an entry which requests go to sidecars. It keeps an
// account for each owner and class, so that the flood of one costs the others
// nothing. What the fleet can take it learns from the sidecars' refusals alone:
// a sidecar sees the requests of all entries, and shares its slots among them.
type Admission struct {
	accounts *registry[carobkeel.OwnerClass, Account]
	tails    *registry[carobkeel.Service, Tail]
	// total and refused count all requests and those refused for want of
	// capacity. Both are forgotten step by step.
	total   atomic.Int64
	refused atomic.Int64
	flooded atomic.Bool
}

// Account is what an entry keeps for one owner and class.
type Account struct {
	*Budget
	Throttle
}

// NewAdmission returns an admission that refuses nothing yet.
func NewAdmission() *Admission {
	return &Admission{
		accounts: newRegistry[carobkeel.OwnerClass](func() *Account { return &Account{Budget: NewBudget()} }),
		tails:    newRegistry[carobkeel.Service](func() *Tail { return &Tail{} }),
	}
}

// Account returns the account of an owner and class. Owners come from the
// catalogue, which bounds their number.
func (a *Admission) Account(key carobkeel.OwnerClass) *Account { return a.accounts.get(key) }

// Tail returns the latency estimate of a service of the catalogue.
func (a *Admission) Tail(service carobkeel.Service) *Tail { return a.tails.get(service) }

// Admit returns the refusal of a request that is not to be sent to a sidecar,
// nil for one that is. random is in 0..1.
func (a *Admission) Admit(account *Account, random float64) *carobkeel.Error {
	a.total.Add(1)
	if account.Admit(random) {
		account.Earn()
		return nil
	}
	a.refused.Add(1)
	return carobkeel.NewError(carobkeel.CodeOverloaded, "this owner and class sends more than the fleet takes now")
}

// Spread adds the advice of when to repeat to a refusal that has none. random is
// in 0..1.
func (a *Admission) Spread(account *Account, refusal *carobkeel.Error, random float64) *carobkeel.Error {
	if refusal.Ran != carobkeel.RanNo || !refusal.Code.Info().Retryable || refusal.RetryAfter > 0 {
		return refusal
	}
	return refusal.WithRetryAfter(RetryAfter(account.Overload(), random))
}

// Finish takes in how a request ended that was admitted, after its repeats.
func (a *Admission) Finish(account *Account, code carobkeel.Code) {
	account.Result(code)
	if isCapacity(code) {
		a.refused.Add(1)
	}
}

// Flooded reports whether requests are refused for want of capacity. Nothing is
// hedged then.
func (a *Admission) Flooded() bool { return a.flooded.Load() }

// HedgeAfter returns how long the request waits for its answer before it is sent
// to a second sidecar, zero where it is not.
func (a *Admission) HedgeAfter(r *Request) time.Duration {
	if !r.Idempotent || !r.Repeatable() || a.Flooded() {
		return 0
	}
	return a.Tail(r.Service).HedgeAfter()
}

// MayRepeat reports whether a request that ended with err is sent again, and
// pays for it from the account's budget.
func (a *Admission) MayRepeat(account *Account, r *Request, err *carobkeel.Error) bool {
	return MayRetry(r, err) && account.Spend()
}

// Tick forgets a part of what was counted. It is called each TickInterval by one
// goroutine.
func (a *Admission) Tick() {
	a.accounts.each(func(account *Account) { account.tick() })
	a.flooded.Store(float64(a.refused.Load()) > floodShare*float64(a.total.Load()))
	forget(&a.total)
	forget(&a.refused)
}

// forgetShare is the inverse of the share of the counts that a tick forgets.
const forgetShare = 4

// forget takes away a part of the count, at least one.
func forget(count *atomic.Int64) {
	count.Add(-(count.Load() + forgetShare - 1) / forgetShare)
}
