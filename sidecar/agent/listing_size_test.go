package agent

import (
	"fmt"
	"strings"
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

// longestCheckpoint is the longest one that a sidecar takes from a worker.
const longestCheckpoint = 256

// fullListing returns the largest listing of a worker: each run and each end is of another step, and has a
// checkpoint.
func fullListing() runs.Listing {
	checkpoint := strings.Repeat("c", longestCheckpoint)
	task := func(n int) carobkeel.TaskName {
		return carobkeel.TaskName{Job: carobkeel.JobID(fmt.Sprintf("%016x", n)), Occurrence: 100_000, Step: 30, Index: 100_000}
	}
	var l runs.Listing
	for n := range dispatch.MaxRunsPerWorker {
		l.Running = append(l.Running, runs.Running{Task: task(n), Run: 1 << 30, Checkpoint: checkpoint, Percent: 100, LoadMetric: 1 << 30})
	}
	for n := range runs.MaxListedEnds {
		l.Ends = append(l.Ends, runs.End{Number: 1 << 40, Task: task(5000 + n), Run: 1 << 30, Outcome: runs.OutcomeDone, Checkpoint: checkpoint})
	}
	return l
}

// Guards against LOST: a listing with many long checkpoints exceeded a frame and was dropped, again and again.
func TestLargestListingFitsInAFrame(t *testing.T) {
	listing := fullListing()
	for name, running := range map[string][]runs.Running{
		"by the lister":   (&lister{}).withoutKnownCheckpoints(listing.Running, nil, 9),
		"to a new holder": withFewCheckpoints(listing.Running),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			report := dispatch.WorkerListing{
				Incarnation: runs.Incarnation{ID: "i-7f3a91c2", StartedAtMs: 1_780_000_000_000}, Number: 1 << 40, Requested: 1 << 40,
				Full: true, Running: running, Ends: listing.Ends,
			}
			f, err := wire.Encode(wire.TypeListing, wire.FromListing(report, 9))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = (&frame.Writer{}).Append(nil, f)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}

// Guards against a checkpoint that is never reported: one that did not fit in a listing follows with a later one.
func TestCheckpointsThatDoNotFitFollow(t *testing.T) {
	g := NewWithT(t)
	running, l := fullListing().Running, &lister{}
	reported := make(map[carobkeel.JobID]bool)
	for range 10 {
		for _, r := range l.withoutKnownCheckpoints(running, nil, 9) {
			reported[r.Task.Job] = reported[r.Task.Job] || r.Checkpoint != ""
		}
		l.checkpointsEpoch = 9
	}
	for _, r := range running {
		g.Expect(reported[r.Task.Job]).To(BeTrue())
	}
}
