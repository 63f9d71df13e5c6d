package holder

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestEndsOfRunsThatWereGivenUpAreCountedByOutcome(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	m := NewMetrics(scope)
	for _, outcome := range []runs.Outcome{runs.OutcomeDone, runs.OutcomeDone, runs.OutcomeStopped, runs.OutcomeUnknown + 9} {
		m.recordDecision(&dispatch.Decision{Kind: dispatch.DecidedGivenUpRunEnded, Outcome: outcome})
	}
	m.recordDecision(&dispatch.Decision{Kind: dispatch.DecidedRunEnded, Outcome: runs.OutcomeDone})
	counters := scope.Snapshot().Counters()
	for outcome, count := range map[string]int64{"done": 2, "stopped": 1, "unknown": 1, "failed": 0} {
		g.Expect(counters).To(HaveKeyWithValue("scheduler.given_up_runs_ended+outcome="+outcome, HaveField("Value()", count)))
	}
}
