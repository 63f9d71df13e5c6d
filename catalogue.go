package carobkeel

import "time"

// Entry describes a service or a batch task in the catalogue. An Entry in a
// Catalogue is immutable; an edit replaces it by a new one.
type Entry struct {
	// Name is unique in the catalogue.
	Name string `json:"name"`
	// Owner is the owner on whose behalf the work runs.
	Owner Owner `json:"owner"`
	// Class tells whether the entry is a service or a batch task.
	Class Class `json:"class"`
	// Revision is the catalogue's revision that last changed this entry.
	Revision Revision `json:"revision"`
	// Limits bounds what the entry may use.
	Limits Limits `json:"limits"`
	// Demand is the amount of a host's resources that one instance or task needs.
	Demand Resources `json:"demand"`
	// Instances is the desired number of instances of a service. It is zero for
	// services whose instances register only by announcements, and for batch
	// tasks.
	Instances int `json:"instances,omitempty"`
	// IdempotentMethods lists HTTP methods that may be retried in addition
	// to GET, HEAD, OPTIONS, PUT and DELETE.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// NonIdempotentMethods lists HTTP methods that must not be retried
	// although HTTP defines them as idempotent.
	NonIdempotentMethods []string `json:"non_idempotent_methods,omitempty"`
	// RunTime is the declared run time of a batch task.
	RunTime time.Duration `json:"run_time,omitempty"`
}

// Limits bounds what an entry may use.
type Limits struct {
	// Timeout is the time limit of a request that does not set its own.
	Timeout time.Duration `json:"timeout"`
	// Concurrency is the number of requests of this entry that one upstream
	// serves at once, or the number of a batch entry's tasks running at once.
	Concurrency int `json:"concurrency"`
	// Queue is the number of requests that may wait at one upstream.
	Queue int `json:"queue"`
	// GuaranteedShare is the share of an upstream's slots, in 0..1, that the
	// entry keeps while others overload the upstream.
	GuaranteedShare float64 `json:"floor"`
	// BodyBytes is the size of the largest accepted request body, in bytes.
	BodyBytes int64 `json:"body_bytes"`
}

// ShareLimits bounds the use of one upstream by one owner and class.
type ShareLimits struct {
	// GuaranteedShare is the share of the slots, in 0..1, that stays
	// available while others overload the upstream.
	GuaranteedShare float64
	// Concurrency is the maximum number of requests that run at once, zero for
	// no limit.
	Concurrency int
	// Queue is the maximum number of waiting requests: zero for no limit,
	// NoQueue if none may wait.
	Queue int
}

// NoQueue is the value of ShareLimits.Queue that disables queueing.
const NoQueue = -1

// ShareLimits returns the part of the limits that a sidecar enforces. An entry with a
// queue limit of zero has no queue.
func (l Limits) ShareLimits() ShareLimits {
	share := ShareLimits{GuaranteedShare: l.GuaranteedShare, Concurrency: l.Concurrency, Queue: l.Queue}
	if l.Queue == 0 {
		share.Queue = NoQueue
	}
	return share
}

// Quota is the part of the fleet that an owner may use without borrowing.
type Quota struct {
	Owner Owner `json:"owner"`
	// Revision is the catalogue's revision that last changed this quota.
	Revision Revision `json:"revision"`
	// Guaranteed is the amount that the owner can reclaim on demand.
	Guaranteed Resources `json:"guaranteed"`
	// Weight is the owner's share of the spare capacity, relative to others.
	Weight float64 `json:"weight"`
}

// Catalogue is an immutable snapshot of all entries and quotas at one revision.
// Its maps are never written after publication.
type Catalogue struct {
	Revision Revision
	Entries  map[string]*Entry
	Quotas   map[Owner]Quota
}

// Lookup returns the entry with the given name.
func (c *Catalogue) Lookup(name string) (*Entry, bool) {
	if c == nil {
		return nil, false
	}
	entry, ok := c.Entries[name]
	return entry, ok
}

// With returns a copy of c at the given revision with entry added, or replacing
// the entry of the same name. The entry gets that revision.
func (c *Catalogue) With(revision Revision, entry Entry) *Catalogue {
	next := c.clone(revision)
	entry.Revision = revision
	next.Entries[entry.Name] = &entry
	return next
}

// Without returns a copy of c at the given revision without the named entry.
func (c *Catalogue) Without(revision Revision, name string) *Catalogue {
	next := c.clone(revision)
	delete(next.Entries, name)
	return next
}

func (c *Catalogue) clone(revision Revision) *Catalogue {
	next := &Catalogue{
		Revision: revision,
		Entries:  make(map[string]*Entry),
		Quotas:   make(map[Owner]Quota),
	}
	if c == nil {
		return next
	}
	for name, entry := range c.Entries {
		next.Entries[name] = entry
	}
	for owner, quota := range c.Quotas {
		next.Quotas[owner] = quota
	}
	return next
}
