package agent

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// controlBytesPerSecond is what a node may spend on control.
	controlBytesPerSecond = 2048
	// tasksPerWorker and jobsPerWorker are a worker's share of the size to design for:
	// 225,000 tasks on 12,000 workers, of a few jobs each.
	tasksPerWorker, jobsPerWorker = 19, 4
)

// Guards against CONFIG: full listings of workers took half of the holder's link, so that a
// large configuration came late.
func TestFullListingsStayWithinTheTrafficForControl(t *testing.T) {
	g := NewWithT(t)
	listing := dispatch.WorkerListing{
		Incarnation: runs.Incarnation{ID: "i-7f3a91c2", StartedAtMs: 1_780_000_000_000}, Number: 70_000, Requested: 70_000, Full: true,
	}
	for i := range tasksPerWorker {
		listing.Running = append(listing.Running, runs.Running{
			Task: carobkeel.TaskName{Job: carobkeel.JobID(fmt.Sprintf("%016x", i%jobsPerWorker)), Step: 1, Index: 2 * i},
			Run:  4097, Percent: 100, LoadMetric: 3200,
		})
	}
	f, err := wire.Encode(wire.TypeListing, wire.FromListing(listing, 9))
	g.Expect(err).NotTo(HaveOccurred())
	data, err := (&frame.Writer{}).Append(nil, f)
	g.Expect(err).NotTo(HaveOccurred())
	perSecond := float64(len(data)) * float64(time.Second) / float64(fullInterval)
	g.Expect(perSecond).To(BeNumerically("<=", controlBytesPerSecond))
}
