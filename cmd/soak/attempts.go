package main

import (
	"sync"

	"github.com/carobkeel/carobkeel/entry/loadtest"
)

// attempts collects the results of a run by request.
type attempts struct {
	mu     sync.Mutex
	byName map[string][]attempt
}

func newAttempts() *attempts { return &attempts{byName: make(map[string][]attempt)} }

// add notes one result. The load tool calls it after the latency was taken.
func (a *attempts) add(r loadtest.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byName[r.Name] = append(a.byName[r.Name], attempt{
		outcome: r.Outcome, ran: r.Ran, code: r.Code, target: r.Request.Target,
		from: r.Request.At, to: r.Request.At + r.Latency,
	})
}

func (a *attempts) all() map[string][]attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byName
}
