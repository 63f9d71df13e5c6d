package caller

import (
	"maps"
	"sync/atomic"
)

// registry is a read-copy-update map that creates the value of a key at its first
// use. Reading takes one atomic load; adding a key copies the map and swaps in the
// copy.
type registry[K comparable, V any] struct {
	table atomic.Pointer[map[K]*V]
	make  func() *V
}

func newRegistry[K comparable, V any](makeValue func() *V) *registry[K, V] {
	r := &registry[K, V]{make: makeValue}
	r.table.Store(&map[K]*V{})
	return r
}

func (r *registry[K, V]) get(key K) *V {
	for {
		table := r.table.Load()
		if value, ok := (*table)[key]; ok {
			return value
		}
		next := maps.Clone(*table)
		value := r.make()
		next[key] = value
		if r.table.CompareAndSwap(table, &next) {
			return value
		}
	}
}

func (r *registry[K, V]) each(visit func(*V)) {
	for _, value := range *r.table.Load() {
		visit(value)
	}
}
