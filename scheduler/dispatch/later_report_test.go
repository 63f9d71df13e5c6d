package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against TWICE: the worker had answered between two reports, in a listing that was dropped.
func TestLeaseThatALaterReportStatesIsWaitedFor(t *testing.T) {
	const remaining = 2500 * time.Millisecond
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.runTask()
	f.addFreeHost()
	f.core.WorkerUnreachable(evidenceHost, 500*time.Millisecond)
	f.advance(400 * time.Millisecond)
	f.core.WorkerUnreachable(evidenceHost, remaining)
	f.core.HostPinged("free", 2)
	f.advance(remaining)
	g.Expect(f.starts()).To(BeEmpty())
	f.core.WorkerUnreachable(evidenceHost, 0)
	f.advance(500 * time.Millisecond)
	g.Expect(f.starts()).To(HaveLen(1))
}

// Guards against LOST: reports that go on do not put the end of the lease off.
func TestReportsThatGoOnDoNotPutTheEndOfALeaseOff(t *testing.T) {
	const remaining, interval = time.Second, 100 * time.Millisecond
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.runTask()
	f.addFreeHost()
	started := f.now
	for f.now-started < 1500*time.Millisecond {
		f.core.WorkerUnreachable(evidenceHost, max(0, remaining-(f.now-started)))
		f.core.HostPinged("free", 2)
		f.advance(interval)
	}
	g.Expect(f.starts()).To(HaveLen(1))
}
