package dispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// restartSeen begins a host's worker anew and returns the decisions on its first listing.
func (z *zone) restartSeen(host string, late runs.LateLease) []dispatch.Decision {
	z.core.Finish()
	z.born[host]++
	z.describe(host)
	z.list(host, late)
	return z.core.Finish().Decisions
}

// replaceSidecar replaces the process of a host's sidecar.
func (z *zone) replaceSidecar(host string) {
	z.core.HostLost(host)
	z.process[host]++
	z.link(host)
}

// Guards against TWICE that can't be traced: a sidecar could not rule a late lease out, and no
// line said why the holder did not count it.
func TestLateLeaseNamesTheEvidenceForItOrAgainstIt(t *testing.T) {
	ofOthers := runs.LateLease{Remaining: unansweredLate.Remaining}
	earlier := runs.Incarnation{ID: "w-h0", StartedAtMs: 1000}
	next := runs.Incarnation{ID: "w-h0", StartedAtMs: 1001}
	for detail, c := range map[string]struct {
		late    runs.LateLease
		prepare func(z *zone)
		want    dispatch.DecisionKind
	}{
		"call without an answer": {unansweredLate, func(*zone) {}, dispatch.DecidedLateLease},
		"first listing has runs or ends": {runs.LateLease{}, func(z *zone) {
			z.runs["h0"] = []runs.Running{{Task: carobkeel.TaskName{Job: "0000000000000001"}, Run: 1}}
		}, dispatch.DecidedLateLease},
		"counted by an earlier holder": {ofOthers, func(z *zone) {
			z.takeOver(carobkeel.TaskName{Job: "0000000000000001"}, dispatch.WorkerRecord{Incarnation: next, Host: "h0", LateLease: true})
			z.link("h0")
		}, dispatch.DecidedLateLease},
		"calls of an earlier sidecar process unknown": {ofOthers, func(z *zone) { z.replaceSidecar("h0") }, dispatch.DecidedLateLease},
		"calls of an earlier sidecar process unknown, earlier incarnation ended": {ofOthers, func(z *zone) {
			z.takeOver(carobkeel.TaskName{Job: "0000000000000001"}, dispatch.WorkerRecord{Incarnation: earlier, Host: "h0", Ended: true})
			z.link("h0")
		}, dispatch.DecidedLateLease},
		"no earlier sidecar process known": {ofOthers, func(*zone) {}, dispatch.DecidedLateLeaseRuledOut},
		"no earlier incarnation known": {ofOthers, func(z *zone) {
			z.takeOver(carobkeel.TaskName{Job: "0000000000000001"})
			z.link("h0")
		}, dispatch.DecidedLateLeaseRuledOut},
	} {
		t.Run(detail, func(t *testing.T) {
			g := NewWithT(t)
			z := newZone(1)
			c.prepare(z)
			seen := z.restartSeen("h0", c.late)
			g.Expect(seen).To(ContainElement(And(
				HaveField("Kind", c.want), HaveField("Detail", detail), HaveField("Host", "h0"), HaveField("Incarnation", next),
				HaveField("Waited", BeNumerically(">", testMaxLease)))))
			g.Expect(seen).NotTo(ContainElement(And(
				HaveField("Kind", BeElementOf(dispatch.DecidedLateLease, dispatch.DecidedLateLeaseRuledOut)), Not(HaveField("Kind", c.want)))))
		})
	}
}

func TestNoLateLeaseIsNamedWhereTheSidecarRulesItOut(t *testing.T) {
	z := newZone(1)
	z.replaceSidecar("h0")
	NewWithT(t).Expect(z.restartSeen("h0", runs.LateLease{})).NotTo(ContainElement(
		HaveField("Kind", BeElementOf(dispatch.DecidedLateLease, dispatch.DecidedLateLeaseRuledOut))))
}

func TestLossOfAHostAndOfItsWorkerStateALateLeaseThatIsTheLongerOne(t *testing.T) {
	for name, lose := range map[string]func(z *zone){
		"host":   func(z *zone) { z.core.HostLost("h0") },
		"worker": func(z *zone) { z.core.WorkerUnreachable("h0", 0) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			z := newZone(1)
			lose(z)
			g.Expect(z.core.Finish().Decisions).To(ContainElement(HaveField("Detail", "")))
			z = newZone(1)
			z.restartSeen("h0", unansweredLate)
			lose(z)
			g.Expect(z.core.Finish().Decisions).To(ContainElement(HaveField("Detail", MatchRegexp(`^late lease for 1\d{4} ms$`))))
		})
	}
}
