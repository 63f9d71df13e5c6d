package carobkeel

import "time"

// Entry is one piece of work in the catalogue: a service or a batch task. An
// Entry in a Catalogue is never changed; a new one takes its place.
type Entry struct {
	// Name is unique in the catalogue.
	Name string `json:"name"`
	// Owner is who the work is done for.
	Owner Owner `json:"owner"`
	// Class says whether the entry is a service or a batch task.
	Class Class `json:"class"`
	// Revision is the catalogue's revision that last changed this entry.
	Revision Revision `json:"revision"`
	// Limits bounds what the entry may use.
	Limits Limits `json:"limits"`
	// Demand is what one instance or task asks of a host.
	Demand Resources `json:"demand"`
	// Instances is how many instances a service should have. It is zero for
	// services that only announce themselves, and for batch tasks.
	Instances int `json:"instances,omitempty"`
	// IdempotentMethods lists HTTP methods that may be repeated beside GET,
	// HEAD, OPTIONS, PUT and DELETE.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// NonIdempotentMethods lists HTTP methods that must not be repeated
	// although their definition allows it.
	NonIdempotentMethods []string `json:"non_idempotent_methods,omitempty"`
	// RunTime is the declared run time of a batch task.
	RunTime time.Duration `json:"run_time,omitempty"`
}

// Limits bounds what an entry may use.
type Limits struct {
	// Timeout is how long a caller waits where the request does not say.
	Timeout time.Duration `json:"timeout"`
	// Concurrency is the number of requests of this entry that one upstream
	// serves at once, or the number of a batch entry's tasks running at once.
	Concurrency int `json:"concurrency"`
	// Queue is the number of requests that may wait at one upstream.
	Queue int `json:"queue"`
	// Floor is the share of an upstream's slots, in 0..1, that the entry
	// keeps while others flood it.
	Floor float64 `json:"floor"`
	// BodyBytes is the largest request body taken, in bytes.
	BodyBytes int64 `json:"body_bytes"`
}

// ShareLimits bounds what one owner and class may have of one upstream.
type ShareLimits struct {
	// Floor is the share of the slots, in 0..1, that it keeps while others
	// flood the upstream.
	Floor float64
	// Concurrency is the most requests that run at once, zero for no limit.
	Concurrency int
	// Queue is the most requests that wait, zero for no limit and NoQueue where
	// none may wait.
	Queue int
}

// NoQueue is a ShareLimits.Queue under which no request waits.
const NoQueue = -1

// Share returns the part of the limits that a sidecar holds an entry to.
func (l Limits) Share() ShareLimits {
	share := ShareLimits{Floor: l.Floor, Concurrency: l.Concurrency, Queue: l.Queue}
	if l.Queue == 0 {
		share.Queue = NoQueue
	}
	return share
}

// Quota is what an owner may use of the fleet before it borrows.
type Quota struct {
	Owner Owner `json:"owner"`
	// Revision is the catalogue's revision that last changed this quota.
	Revision Revision `json:"revision"`
	// Guaranteed is what the owner gets back on demand.
	Guaranteed Resources `json:"guaranteed"`
	// Weight is the owner's share of what is left over, relative to others.
	Weight float64 `json:"weight"`
}

// Catalogue is an immutable state of all entries and quotas at one revision.
// Its maps are never written after it is published.
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

// With returns a copy of c at the given revision in which entry takes its place
// by name. The entry is given that revision.
func (c *Catalogue) With(revision Revision, entry Entry) *Catalogue {
	next := c.clone(revision)
	entry.Revision = revision
	next.Entries[entry.Name] = &entry
	return next
}

// Without returns a copy of c at the given revision that lacks the named entry.
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
