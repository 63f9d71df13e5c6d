package caller

import (
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// overloadShare is the share of recent requests refused for lack of capacity above
// which the fleet counts as overloaded.
const overloadShare = 0.01

// Admission decides at an entry which requests are sent to sidecars. It keeps
// separate state for each owner and class, so that an overload by one does not
// affect the others. It infers the capacity of the fleet from the sidecars'
// refusals alone, because a sidecar sees the requests of all entries and divides
// its slots among them.
type Admission struct {
	accounts  *registry[carobkeel.OwnerClass, OwnerAdmission]
	latencies *registry[carobkeel.Service, TailLatency]
	// total and refused count all requests and those refused for lack of
	// capacity. Both decay with each tick.
	total      atomic.Int64
	refused    atomic.Int64
	overloaded atomic.Bool
}

// OwnerAdmission is the admission state of one owner and class at an entry.
type OwnerAdmission struct {
	*RetryBudget
	Throttle
}

// NewAdmission returns an admission that refuses nothing until sidecars refuse
// requests.
func NewAdmission() *Admission {
	return &Admission{
		accounts:  newRegistry[carobkeel.OwnerClass](func() *OwnerAdmission { return &OwnerAdmission{RetryBudget: NewRetryBudget()} }),
		latencies: newRegistry[carobkeel.Service](func() *TailLatency { return &TailLatency{} }),
	}
}

// Account returns the account of an owner and class. Owners come from the
// catalogue, which bounds their number.
func (a *Admission) Account(key carobkeel.OwnerClass) *OwnerAdmission { return a.accounts.get(key) }

// TailLatency returns the latency estimate of a service of the catalogue.
func (a *Admission) TailLatency(service carobkeel.Service) *TailLatency {
	return a.latencies.get(service)
}

// Admit returns nil for a request that may be sent to a sidecar, and the refusal
// for one that may not. random is in 0..1.
func (a *Admission) Admit(account *OwnerAdmission, random float64) *carobkeel.Error {
	a.total.Add(1)
	if account.Admit(random) {
		account.Deposit()
		return nil
	}
	a.refused.Add(1)
	return carobkeel.NewError(carobkeel.CodeOverloaded, "this owner and class sends more than the fleet takes now")
}

// WithRetryDelay adds a randomized Retry-After delay to a retryable refusal that
// has none. random is in 0..1.
func (a *Admission) WithRetryDelay(account *OwnerAdmission, refusal *carobkeel.Error, random float64) *carobkeel.Error {
	if refusal.Ran != carobkeel.RanNo || !refusal.Code.Info().Retryable || refusal.RetryAfter > 0 {
		return refusal
	}
	return refusal.WithRetryAfter(RetryAfter(account.Overload(), random))
}

// Finish records the result of an admitted request after its last attempt.
func (a *Admission) Finish(account *OwnerAdmission, code carobkeel.Code) {
	account.Record(code)
	if isCapacityRefusal(code) {
		a.refused.Add(1)
	}
}

// Overloaded reports whether more than a small share of requests is refused for lack
// of capacity. Requests are not hedged during that time.
func (a *Admission) Overloaded() bool { return a.overloaded.Load() }

// HedgeDelay returns how long to wait for the answer before the request is also
// sent to a second sidecar. Zero means that the request is not hedged.
func (a *Admission) HedgeDelay(r *Request) time.Duration {
	if !r.Idempotent || !r.CanResend() || a.Overloaded() {
		return 0
	}
	return a.TailLatency(r.Service).HedgeDelay()
}

// MayRetry reports whether a request that ended with err may be sent again. If
// so, it takes the cost of one retry from the account's budget.
func (a *Admission) MayRetry(account *OwnerAdmission, r *Request, err *carobkeel.Error) bool {
	return MayRetry(r, err) && account.Withdraw()
}

// Tick updates the throttles and the overload state, and decays the counts. One
// goroutine calls it every TickInterval.
func (a *Admission) Tick() {
	a.accounts.each(func(account *OwnerAdmission) { account.tick() })
	a.overloaded.Store(float64(a.refused.Load()) > overloadShare*float64(a.total.Load()))
	decay(&a.total)
	decay(&a.refused)
}

// decayDivisor is the divisor of the decay: each tick removes 1/decayDivisor of a
// count.
const decayDivisor = 4

// decay reduces the count by 1/decayDivisor, rounded up, so that it reaches zero.
func decay(count *atomic.Int64) {
	count.Add(-(count.Load() + decayDivisor - 1) / decayDivisor)
}
