package dispatch_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestLeaseLeftThatIsTooLargeDoesNotExpireIt(t *testing.T) {
	for _, remaining := range []time.Duration{math.MaxInt64, 1 << 60, time.Hour} {
		g := NewWithT(t)
		incarnation := runs.Incarnation{ID: "w", StartedAtMs: 1}
		core := dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: 3 * time.Second}, dispatch.Now{Monotonic: time.Hour}, nil)
		core.HostLinked("h", dispatch.Link{ID: 1})
		core.HostPinged("h", 1)
		core.DescribeWorker("h", runs.Description{Incarnation: incarnation, Sequence: 1})
		core.ApplyListing(dispatch.WorkerListing{
			Host: "h", Incarnation: incarnation, Number: 1, Full: true,
			Running: []runs.Running{{Task: carobkeel.TaskName{Job: "j"}, Run: 1}},
		})
		core.WorkerUnreachable("h", remaining)
		core.Finish()
		core.Advance(dispatch.Now{Monotonic: time.Hour + 2*time.Second, Held: time.Hour + 2*time.Second})
		for _, d := range core.Finish().Decisions {
			g.Expect(d.Kind).NotTo(Equal(dispatch.DecidedLeaseExpired))
		}
		core.Advance(dispatch.Now{Monotonic: time.Hour + 4*time.Second, Held: time.Hour + 4*time.Second})
		var kinds []dispatch.DecisionKind
		for _, d := range core.Finish().Decisions {
			kinds = append(kinds, d.Kind)
		}
		g.Expect(kinds).To(ContainElement(dispatch.DecidedLeaseExpired))
	}
}
