package telemetry

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
)

const (
	// DefaultMaxOwners is the default maximum number of owners with metrics of
	// their own.
	DefaultMaxOwners = 320
	// OwnerOther is the label of all owners beyond the limit.
	OwnerOther carobkeel.Owner = "other"
)

// ByOwner keeps one group of metrics T for each owner and class, created when the
// owner is first seen. Owners beyond the limit share the groups of OwnerOther,
// so that the number of metrics is bounded for any requests of callers.
//
// Method For loads one snapshot and takes no lock once the owner has a group.
type ByOwner[T any] struct {
	scope     tally.Scope
	maxOwners int
	makeGroup func(tally.Scope) T

	groups atomic.Pointer[ownerGroups[T]]
	// writeMutex serialises the writers of groups.
	writeMutex sync.Mutex
}

// ownerGroups is an immutable snapshot of a ByOwner.
type ownerGroups[T any] struct {
	byOwner map[carobkeel.Owner]*[carobkeel.ClassCount]*T
}

// NewByOwner returns a ByOwner whose groups are created by makeGroup on scopes
// tagged with owner and class. A maxOwners of zero means
// DefaultMaxOwners.
func NewByOwner[T any](scope tally.Scope, maxOwners int, makeGroup func(tally.Scope) T) *ByOwner[T] {
	if maxOwners <= 0 {
		maxOwners = DefaultMaxOwners
	}
	b := &ByOwner[T]{scope: scope, maxOwners: maxOwners, makeGroup: makeGroup}
	b.groups.Store(&ownerGroups[T]{byOwner: map[carobkeel.Owner]*[carobkeel.ClassCount]*T{
		OwnerOther: b.build(OwnerOther),
	}})
	return b
}

// For returns the group of the owner and class. An unknown class is
// treated as batch, the least urgent.
func (b *ByOwner[T]) For(owner carobkeel.Owner, class carobkeel.Class) *T {
	if int(class) >= carobkeel.ClassCount {
		class = carobkeel.ClassBatch
	}
	groups := b.groups.Load()
	if classes, ok := groups.byOwner[owner]; ok {
		return classes[class]
	}
	if b.isFull(groups) {
		return groups.byOwner[OwnerOther][class]
	}
	return b.add(owner)[class]
}

// Owners returns the number of owners with groups of their own.
func (b *ByOwner[T]) Owners() int { return len(b.groups.Load().byOwner) - 1 }

func (b *ByOwner[T]) isFull(groups *ownerGroups[T]) bool {
	return len(groups.byOwner)-1 >= b.maxOwners
}

// add publishes a snapshot that includes the owner, unless the limit is reached.
func (b *ByOwner[T]) add(owner carobkeel.Owner) *[carobkeel.ClassCount]*T {
	b.writeMutex.Lock()
	defer b.writeMutex.Unlock()
	groups := b.groups.Load()
	if classes, ok := groups.byOwner[owner]; ok {
		return classes
	}
	if b.isFull(groups) {
		return groups.byOwner[OwnerOther]
	}
	next := &ownerGroups[T]{byOwner: maps.Clone(groups.byOwner)}
	next.byOwner[owner] = b.build(owner)
	b.groups.Store(next)
	return next.byOwner[owner]
}

func (b *ByOwner[T]) build(owner carobkeel.Owner) *[carobkeel.ClassCount]*T {
	var classes [carobkeel.ClassCount]*T
	for i := range classes {
		group := b.makeGroup(b.scope.Tagged(map[string]string{
			LabelOwner: string(owner),
			LabelClass: carobkeel.Class(i).String(),
		}))
		classes[i] = &group
	}
	return &classes
}

// CodeCounters counts results by code. The list of codes is fixed, so the number
// of counters is bounded; any other code is counted as "unlisted".
type CodeCounters struct {
	counters map[carobkeel.Code]tally.Counter
	unlisted tally.Counter
}

// NewCodeCounters returns counters with the given name, one for each result
// code, tagged with the code's number.
func NewCodeCounters(scope tally.Scope, name string) *CodeCounters {
	tagged := func(code string) tally.Counter {
		return scope.Tagged(map[string]string{LabelCode: code}).Counter(name)
	}
	c := &CodeCounters{
		counters: make(map[carobkeel.Code]tally.Counter),
		unlisted: tagged("unlisted"),
	}
	for _, info := range carobkeel.Codes() {
		c.counters[info.Code] = tagged(strconv.Itoa(int(info.Code)))
	}
	return c
}

// Inc counts one result.
func (c *CodeCounters) Inc(code carobkeel.Code) {
	counter, ok := c.counters[code]
	if !ok {
		counter = c.unlisted
	}
	counter.Inc(1)
}
