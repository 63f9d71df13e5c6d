package main

import (
	"sync/atomic"

	"github.com/carobkeel/carobkeel/entry/loadtest"
)

// attempts collects the results of a run. It is a list that goroutines add to
// without a lock.
type attempts struct{ last atomic.Pointer[node] }

// node is one result of the list. It is not changed once it is in it.
type node struct {
	name    string
	attempt attempt
	before  *node
}

// add notes one result. The load tool calls it after the latency was taken.
func (a *attempts) add(r loadtest.Result) {
	n := &node{name: r.Name, attempt: attempt{
		outcome: r.Outcome, ran: r.Ran, code: r.Code, target: r.Request.Target,
		from: r.Request.At, to: r.Request.At + r.Latency,
	}}
	for {
		n.before = a.last.Load()
		if a.last.CompareAndSwap(n.before, n) {
			return
		}
	}
}

// byName returns the results of each request, the latest first.
func (a *attempts) byName() map[string][]attempt {
	all := make(map[string][]attempt)
	for n := a.last.Load(); n != nil; n = n.before {
		all[n.name] = append(all[n.name], n.attempt)
	}
	return all
}
