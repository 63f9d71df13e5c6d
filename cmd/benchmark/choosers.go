package main

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/sidecar"
)

// namedChooser is one way of choosing a member.
type namedChooser struct {
	name   string
	choose chooser
}

// choosers lists the ways that are weighed against each other on the same load.
// The last one is the one in use.
func choosers() []namedChooser {
	return []namedChooser{
		{"round-robin", roundRobin},
		{"two-choices-in-flight", twoChoices(inFlightCost)},
		{"two-choices-latency", twoChoices(latencyCost)},
		{"two-choices-reports", twoChoices(reportCost)},
		{"pick", nil},
	}
}

// roundRobin takes one member after the other, whatever their load.
func roundRobin(e *modelEntry, pool *sidecar.Pool, _ sidecar.PickOptions) *sidecar.Member {
	members := pool.Members()
	e.turn++
	return members[e.turn%len(members)]
}

// twoChoices takes the cheaper of two members drawn at random.
func twoChoices(cost func(*sidecar.Member, modelLoad) float64) chooser {
	return func(e *modelEntry, pool *sidecar.Pool, c sidecar.PickOptions) *sidecar.Member {
		members := pool.Members()
		count := uint64(len(members))
		first, second := members[(c.Random>>32)%count], members[(c.Random&0xffffffff)%count]
		if cost(second, e.loads[second.Incarnation]) < cost(first, e.loads[first.Incarnation]) {
			return second
		}
		return first
	}
}

// modelLoad is what an entry was last told by a sidecar.
type modelLoad struct{ reported int }

func inFlight(m *sidecar.Member) float64 {
	return float64(m.Stats.InFlight(carobkeel.ClassBatch))
}

func inFlightCost(m *sidecar.Member, _ modelLoad) float64 { return inFlight(m) }

func latencyCost(m *sidecar.Member, _ modelLoad) float64 {
	return (inFlight(m) + 1) * float64(max(m.Stats.LatencyMicros.Load(), 1))
}

func reportCost(_ *sidecar.Member, load modelLoad) float64 { return float64(load.reported) }
