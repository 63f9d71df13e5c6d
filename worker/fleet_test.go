package worker_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

const gib = int64(1) << 30

// cores returns resources of n cores and the given GiB of memory.
func cores(n, memory int64) carobkeel.Resources {
	return carobkeel.Resources{MilliCPU: n * 1000, MemoryBytes: memory * gib}
}

// fleetOf returns n ready workers of the given capacity, three to a rack.
func fleetOf(n int, capacity carobkeel.Resources) *worker.Fleet {
	edit := (&worker.Fleet{}).Edit()
	for i := range n {
		edit.Join(worker.Worker{
			ID: workerID(i), Capacity: capacity,
			Location: carobkeel.Location{
				DataCentre: carobkeel.DataCentre(fmt.Sprintf("dc%d", i/3%2)),
				Rack:       fmt.Sprintf("r%d", i/3), Host: fmt.Sprint(i),
			},
		})
	}
	return edit.Publish()
}

func workerID(i int) worker.ID { return worker.ID(fmt.Sprintf("w%d", i)) }

func TestEditLeavesTheOlderSnapshotAsItWas(t *testing.T) {
	g := NewWithT(t)
	before := fleetOf(130, cores(4, 8))
	edit := before.Edit()
	edit.SetStatus("w0", worker.StatusDraining)
	edit.Leave("w1")
	edit.Restore("w2", &worker.Task{ID: "t", Reserved: cores(1, 1)})
	after := edit.Publish()

	old, _ := before.Worker("w0")
	g.Expect(old.Status).To(Equal(worker.StatusReady))
	g.Expect(before.Len()).To(Equal(130))
	g.Expect(before.Total()).To(Equal(cores(4*130, 8*130)))
	g.Expect(after.Len()).To(Equal(129))
	g.Expect(after.Total()).To(Equal(cores(4*129, 8*129)))
	g.Expect(after.Version()).To(Equal(before.Version() + 1))
	changed, _ := after.Worker("w2")
	g.Expect(changed.Free()).To(Equal(cores(3, 7)))
}

func TestDirectoryFollowsRandomJoinsAndLeaves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		fleet := fleetOf(0, cores(1, 1))
		present := map[worker.ID]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			edit := fleet.Edit()
			for range rapid.IntRange(1, 8).Draw(rt, "changes") {
				id := workerID(rapid.IntRange(0, 150).Draw(rt, "id"))
				if rapid.Bool().Draw(rt, "join") {
					dc := rapid.SampledFrom([]carobkeel.DataCentre{"a", "b"}).Draw(rt, "dc")
					edit.Join(worker.Worker{ID: id, Capacity: cores(2, 2), Location: carobkeel.Location{DataCentre: dc, Rack: "r"}})
					present[id] = true
				} else {
					edit.Leave(id)
					delete(present, id)
				}
			}
			fleet = edit.Publish()
		}
		g.Expect(fleet.Len()).To(Equal(len(present)))
		g.Expect(fleet.Total()).To(Equal(cores(2*int64(len(present)), 2*int64(len(present)))))
		byRack := 0
		for _, dc := range []carobkeel.DataCentre{"a", "b"} {
			fleet.Rack(dc, "r", func(w *worker.Worker) bool {
				byRack++
				return g.Expect(w.Location.DataCentre).To(Equal(dc))
			})
		}
		g.Expect(byRack).To(Equal(len(present)))
		for id := range present {
			w, ok := fleet.Worker(id)
			g.Expect(ok).To(BeTrue())
			g.Expect(w.ID).To(Equal(id))
		}
	})
}
