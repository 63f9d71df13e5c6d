package operator

import (
	"sort"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// FleetCollectionTime is how long a process collects announcements before a
	// missing one is taken to mean that the host or instance is absent.
	FleetCollectionTime = 10 * time.Second
	// FleetMaxAge is the largest age of a snapshot on which a planned stop may
	// advance.
	FleetMaxAge = 30 * time.Second
)

// Instance is one announced instance of a service.
type Instance struct {
	Service  carobkeel.Service
	Location carobkeel.Location
	// Serving reports that the instance accepts new requests.
	Serving bool
	// InFlight is the number of requests that it has not answered yet.
	InFlight int
}

// Task is a task that a host runs, or whose only checkpoint it holds.
type Task struct {
	ID       carobkeel.TaskID
	Entry    string
	Location carobkeel.Location
}

// Fleet is a process's snapshot of the hosts and the work on them.
type Fleet struct {
	// Since is when the process began to collect announcements, and At is when
	// it took the snapshot.
	Since, At time.Time
	// Hosts holds the locations of announced processes and workers.
	Hosts     []carobkeel.Location
	Instances []Instance
	Tasks     []Task
}

// isSettled reports whether the snapshot is recent enough, and was collected for
// long enough, to conclude that what it does not contain is absent.
func (f Fleet) isSettled(now time.Time) bool {
	return !f.Since.IsZero() && f.At.Sub(f.Since) >= FleetCollectionTime && now.Sub(f.At) <= FleetMaxAge
}

// servicesLostWithout returns, sorted by name, the services with a serving
// instance outside the other targets that would have none if this target stopped
// too.
func (f Fleet) servicesLostWithout(target StopTarget, others []StopTarget) []string {
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
	var unserved []string
	for service := range before {
		if !after[service] {
			unserved = append(unserved, string(service))
		}
	}
	sort.Strings(unserved)
	return unserved
}

func coveredByAny(targets []StopTarget, at carobkeel.Location) bool {
	for _, target := range targets {
		if target.Covers(at) {
			return true
		}
	}
	return false
}

// remainingWork counts the work that is left on a draining target.
type remainingWork struct {
	serving, inFlight, tasks int
}

func (w remainingWork) isEmpty() bool { return w == remainingWork{} }

// String names the kinds of work that are left. It contains no counts: they
// would change with every request, and the stop would be written each time.
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
