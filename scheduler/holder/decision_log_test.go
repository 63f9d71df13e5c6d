package holder

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

const (
	// reasonWithin and subjectWithin are the lengths of a line within which a reader that
	// cuts lines off finds what was decided and why, and for which task.
	reasonWithin  = 150
	subjectWithin = 200
)

func decisionLine(d dispatch.Decision) string {
	var out bytes.Buffer
	logDecision(logging.NewFactory(logging.Config{Level: "info", JSON: true}, &out).For("scheduler"), 1, &d)
	return out.String()
}

func TestLinesOfDecisionsThatAreCutOffShowWhatWasDecidedAndWhy(t *testing.T) {
	for kind, reason := range map[dispatch.DecisionKind]string{
		dispatch.DecidedRunEnded:        "lapsed",
		dispatch.DecidedRunGivenUp:      "worker restarted: i-610f8b29 then i-a21a87bb",
		dispatch.DecidedRunStopped:      "start unknown",
		dispatch.DecidedRunAdopted:      "given up before, and the task is done",
		dispatch.DecidedWorkerRestarted: "i-610f8b29 then i-a21a87bb",
		dispatch.DecidedLeaseExpired:    "12 ms ago, link lost",
	} {
		g := NewWithT(t)
		line := decisionLine(dispatch.Decision{
			Kind: kind, Detail: reason, Host: "side-dar-north-4", Run: 1, Queue: "r-n5ym24b",
			Task: carobkeel.TaskName{Job: "ee0fcdac79397318", Step: 2, Index: 9},
		})
		g.Expect(len(line)).To(BeNumerically(">", subjectWithin))
		g.Expect(line[:reasonWithin]).To(ContainSubstring(`"message":"` + string(kind) + `","detail":"` + reason + `"`))
		g.Expect(line[:subjectWithin]).To(ContainSubstring(`"task":"ee0fcdac79397318.0.2.9","run":1`))
		g.Expect(line).NotTo(ContainSubstring(`"job"`))
	}
}

func TestRunGivenUpWithoutAListedEndIsAWarning(t *testing.T) {
	g := NewWithT(t)
	g.Expect(decisionLine(dispatch.Decision{Kind: dispatch.DecidedRunGivenUp})).To(ContainSubstring(`"level":"warn"`))
	g.Expect(decisionLine(dispatch.Decision{Kind: dispatch.DecidedRunEnded})).To(ContainSubstring(`"level":"info"`))
}

func TestLinesOfStartsAndEndsAreNotCrowdedOutByPaces(t *testing.T) {
	NewWithT(t).Expect(decisionLine(dispatch.Decision{Kind: dispatch.DecidedPaceSet, Detail: "30"})).To(BeEmpty())
}
