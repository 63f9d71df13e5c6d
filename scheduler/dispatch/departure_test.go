package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// justAfterExit is later than the time that a worker has to exit after its departure.
const justAfterExit = 600 * time.Millisecond

// Guards against TWICE: a departure was reported of a worker that lives.
func TestListingOfAWorkerUndoesItsDeparture(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.runTask()
	f.addFreeHost()
	f.core.WorkerShutDown(evidenceHost, f.incarnation)
	f.advance(100 * time.Millisecond)
	f.list(2, 2, run)
	f.core.HostLost("free")
	second := f.job()
	second.ID = "0000000000000002"
	f.core.AddJob(second, false)
	g.Expect(f.starts()).To(HaveLen(1), "the worker takes tasks again")
	f.core.HostLost(evidenceHost)
	f.advance(testLease)
	g.Expect(f.core.Finish().Decisions).NotTo(ContainElement(HaveField("Kind", dispatch.DecidedLeaseExpired)))
}

// Guards against TWICE: a new holder dropped a worker at its departure, without waiting for it.
func TestListingOfAnInheritedWorkerUndoesItsDeparture(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.takeOver(dispatch.WorkerRecord{Incarnation: f.incarnation, Host: evidenceHost})
	f.describe(f.incarnation)
	f.core.WorkerShutDown(evidenceHost, f.incarnation)
	g.Expect(f.starts()).To(BeEmpty())
	g.Expect(f.forgotten()).To(BeEmpty())
	f.advance(100 * time.Millisecond)
	f.list(1, 1, 1)
	f.advance(justAfterExit)
	g.Expect(f.starts()).To(BeEmpty(), "its run is adopted")
	g.Expect(f.forgotten()).To(BeEmpty())
}

func TestInheritedTasksOfADepartedWorkerStartOnceItHasExited(t *testing.T) {
	for _, c := range []struct {
		host    string
		started int
	}{{evidenceHost, 1}, {"free", 0}} {
		g := NewWithT(t)
		f := newEvidenceFixture()
		f.takeOver(dispatch.WorkerRecord{Incarnation: f.incarnation, Host: evidenceHost})
		f.core.WorkerShutDown(c.host, f.incarnation)
		g.Expect(f.starts()).To(BeEmpty())
		f.advance(justAfterExit)
		g.Expect(f.starts()).To(HaveLen(c.started), "reported by the sidecar of %s", c.host)
	}
}
