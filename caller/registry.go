package caller

import (
	"maps"
	"sync/atomic"
)

// registry holds a V for each K, made when the key is first seen. Reading takes
// one atomic load; adding a key builds the next table and swaps it in.
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
