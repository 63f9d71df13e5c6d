package main

import (
	"sync/atomic"

	"github.com/carobkeel/carobkeel/entry/loadtest"
)

// attempts collects the results of a load run in a lock-free linked list that
// several goroutines append to.
type attempts struct{ latest atomic.Pointer[node] }

// node is one element of the list. It is immutable once it is linked.
type node struct {
	name     string
	attempt  attempt
	previous *node
}

// add records one result. The load generator calls it after it has measured the
// latency, so that the time spent here is not part of it.
func (a *attempts) add(r loadtest.Result) {
	n := &node{name: r.Name, attempt: attempt{
		outcome: r.Outcome, ran: r.Ran, code: r.Code, target: r.Request.Target,
		from: r.Request.At, to: r.Request.At + r.Latency,
	}}
	for {
		n.previous = a.latest.Load()
		if a.latest.CompareAndSwap(n.previous, n) {
			return
		}
	}
}

// byName returns the attempts grouped by request name, latest first.
func (a *attempts) byName() map[string][]attempt {
	all := make(map[string][]attempt)
	for n := a.latest.Load(); n != nil; n = n.previous {
		all[n.name] = append(all[n.name], n.attempt)
	}
	return all
}
