package table

import "strconv"

// Purpose is the reason for which a process reads or writes rows. Each purpose
// has a share of the service's rate limit, so that one can't starve another.
type Purpose uint8

// Purposes.
const (
	// PurposeCatalogue is for entries, revisions and history.
	PurposeCatalogue Purpose = iota
	// PurposeStops is for planned stops.
	PurposeStops
	// PurposeMembership is for the data that readers in each data centre share.
	PurposeMembership
	// PurposeLeases is for the leases of shards.
	PurposeLeases
	// PurposeClaims is for the claims of tasks on hosts.
	PurposeClaims
	// PurposeJobs is for the records of jobs and of idempotency keys.
	PurposeJobs
	// PurposeQuotas is for the quotas of owners.
	PurposeQuotas
	// PurposeStatus is for the status shown to operators.
	PurposeStatus
	// PurposeSettlement is for writing, reading and deleting fences.
	PurposeSettlement

	purposeCount
)

// Rate limits of the platform's service for the whole fleet.
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

// purposes defines the budgets. A transaction counts as one write, however many
// rows it holds. The sums are below the service's rate limits; the rest is
// reserved for the operators' own tools.
var purposes = [purposeCount]purposeInfo{
	PurposeCatalogue:  {"catalogue", Rates{Writes: 10, Reads: 300}},
	PurposeStops:      {"stops", Rates{Writes: 5, Reads: 100}},
	PurposeMembership: {"membership", Rates{Writes: 20, Reads: 300}},
	PurposeLeases:     {"leases", Rates{Writes: 40, Reads: 200}},
	PurposeClaims:     {"claims", Rates{Writes: 120, Reads: 300}},
	PurposeJobs:       {"jobs", Rates{Writes: 60, Reads: 400}},
	PurposeQuotas:     {"quotas", Rates{Writes: 10, Reads: 100}},
	PurposeStatus:     {"status", Rates{Writes: 0, Reads: 100}},
	PurposeSettlement: {"settling", Rates{Writes: 20, Reads: 100}},
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

// Divide returns the share of each process if several processes use the budget
// at the same time.
func (r Rates) Divide(processes int) Rates {
	n := float64(max(processes, 1))
	return Rates{Writes: r.Writes / n, Reads: r.Reads / n}
}
