package operator

import (
	"sort"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// FleetSettleTime is how long a process collects announcements before the
	// absence of one counts.
	FleetSettleTime = 10 * time.Second
	// FleetMaxAge is the oldest snapshot that a stop is carried on by.
	FleetMaxAge = 30 * time.Second
)

// Instance is one announced instance of a service.
type Instance struct {
	Service  carobkeel.Service
	Location carobkeel.Location
	// Serving says that it takes new requests.
	Serving bool
	// InFlight is the number of requests that it has not answered.
	InFlight int
}

// Task is one task that a host runs or holds a checkpoint of on its own.
type Task struct {
	ID       carobkeel.TaskID
	Entry    string
	Location carobkeel.Location
}

// Fleet is a snapshot of what a process knows of hosts and work.
type Fleet struct {
	// Since is when the process began to collect, At when it took the snapshot.
	Since, At time.Time
	// Hosts holds where processes or workers are announced.
	Hosts     []carobkeel.Location
	Instances []Instance
	Tasks     []Task
}

// isSettled reports whether what is absent in the snapshot may be taken to be
// absent.
func (f Fleet) isSettled(now time.Time) bool {
	return !f.Since.IsZero() && f.At.Sub(f.Since) >= FleetSettleTime && now.Sub(f.At) <= FleetMaxAge
}

// leftWithout returns the services that have an instance outside the other
// targets, and would have none with this target gone too, in order.
func (f Fleet) leftWithout(target StopTarget, others []StopTarget) []string {
	before := make(map[carobkeel.Service]bool)
	after := make(map[carobkeel.Service]bool)
	for _, instance := range f.Instances {
		if !instance.Serving || coveredByAny(others, instance.Location) {
			continue
		}
		before[instance.Service] = true
		if !target.Covers(instance.Location) {
			after[instance.Service] = true
		}
	}
	var bare []string
	for service := range before {
		if !after[service] {
			bare = append(bare, string(service))
		}
	}
	sort.Strings(bare)
	return bare
}

func coveredByAny(targets []StopTarget, at carobkeel.Location) bool {
	for _, target := range targets {
		if target.Covers(at) {
			return true
		}
	}
	return false
}

// remainingWork counts what a draining target still has.
type remainingWork struct {
	serving, inFlight, tasks int
}

func (w remainingWork) isEmpty() bool { return w == remainingWork{} }

// String returns the kinds of work for people. It has no counts, so that a stop
// that waits is not written again with every request.
func (w remainingWork) String() string {
	var kinds []string
	if w.serving > 0 {
		kinds = append(kinds, "instances that serve")
	}
	if w.inFlight > 0 {
		kinds = append(kinds, "requests in flight")
	}
	if w.tasks > 0 {
		kinds = append(kinds, "tasks")
	}
	return "waits for " + strings.Join(kinds, ", ")
}

func (f Fleet) workIn(target StopTarget) remainingWork {
	var work remainingWork
	for _, instance := range f.Instances {
		if !target.Covers(instance.Location) {
			continue
		}
		work.inFlight += instance.InFlight
		if instance.Serving {
			work.serving++
		}
	}
	for _, task := range f.Tasks {
		if target.Covers(task.Location) {
			work.tasks++
		}
	}
	return work
}

func (f Fleet) hasHostIn(target StopTarget) bool {
	for _, host := range f.Hosts {
		if target.Covers(host) {
			return true
		}
	}
	return false
}
