package table

import "strconv"

// Purpose says what a process reads or writes rows for. Each purpose has a
// share of what the service takes, so that one can't starve another.
type Purpose uint8

// Purposes.
const (
	// PurposeCatalogue is for entries, revisions and history.
	PurposeCatalogue Purpose = iota
	// PurposeStops is for planned stops.
	PurposeStops
	// PurposeMembership is for what readers in each data centre share.
	PurposeMembership
	// PurposeLeases is for the leases of shards.
	PurposeLeases
	// PurposeClaims is for the claims of tasks on hosts.
	PurposeClaims
	// PurposeJobs is for the records of jobs and of idempotency keys.
	PurposeJobs
	// PurposeQuotas is for the quotas of owners.
	PurposeQuotas
	// PurposeStatus is for what operators look at.
	PurposeStatus
	// PurposeSettling is for fences and what reads and removes them.
	PurposeSettling

	purposeCount
)

// What the platform's service takes from the whole fleet.
const (
	ServiceWritesPerSecond = 300
	ServiceReadsPerSecond  = 2000
)

// Rates is a number of transactions and of reads a second.
type Rates struct {
	Writes float64
	Reads  float64
}

type purposeInfo struct {
	name   string
	budget Rates
}

// purposes is the one place of the budgets. A transaction counts as one write,
// however many rows it holds. The sums are below what the service takes; the
// rest is for the operators' own tools.
var purposes = [purposeCount]purposeInfo{
	PurposeCatalogue:  {"catalogue", Rates{Writes: 10, Reads: 300}},
	PurposeStops:      {"stops", Rates{Writes: 5, Reads: 100}},
	PurposeMembership: {"membership", Rates{Writes: 20, Reads: 300}},
	PurposeLeases:     {"leases", Rates{Writes: 40, Reads: 200}},
	PurposeClaims:     {"claims", Rates{Writes: 120, Reads: 300}},
	PurposeJobs:       {"jobs", Rates{Writes: 60, Reads: 400}},
	PurposeQuotas:     {"quotas", Rates{Writes: 10, Reads: 100}},
	PurposeStatus:     {"status", Rates{Writes: 0, Reads: 100}},
	PurposeSettling:   {"settling", Rates{Writes: 20, Reads: 100}},
}

// Purposes returns every purpose.
func Purposes() []Purpose {
	all := make([]Purpose, 0, purposeCount)
	for p := range purposeCount {
		all = append(all, p)
	}
	return all
}

// String returns the purpose's name, as metrics and logs show it.
func (p Purpose) String() string {
	if p >= purposeCount {
		return "purpose-" + strconv.Itoa(int(p))
	}
	return purposes[p].name
}

// Budget returns the purpose's share for the whole fleet. An unknown purpose
// has none.
func (p Purpose) Budget() Rates {
	if p >= purposeCount {
		return Rates{}
	}
	return purposes[p].budget
}

// Divide returns the share of one of several processes that use the budget at
// the same time.
func (r Rates) Divide(processes int) Rates {
	n := float64(max(processes, 1))
	return Rates{Writes: r.Writes / n, Reads: r.Reads / n}
}
