package holder

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against TWICE: calls of an earlier process of a sidecar were above those of the next.
func TestProcessesOfAHostAreNumberedAsTheyAreLinked(t *testing.T) {
	g := NewWithT(t)
	l, _ := newLeaseLoop()
	n := l.node
	n.sidecars.Clear()
	link := func(process, number uint64) uint32 {
		if current, linked := n.sidecars.Load("host"); linked {
			current.(*peer).link.Close()
		}
		p, err := openLink(g, n, process, number)
		g.Expect(err).NotTo(HaveOccurred())
		return p.pongTo(1).Process
	}
	g.Expect(link(7, 1)).To(Equal(uint32(1)))
	g.Expect(link(7, 2)).To(Equal(uint32(1)), "a process that links again keeps its number")
	g.Expect(link(8, 1)).To(Equal(uint32(2)))
	g.Expect(link(7, 3)).To(Equal(uint32(3)), "the hello of a process that has ended, or of one that goes on")
	g.Expect(link(8, 2)).To(Equal(uint32(4)), "it is above the other one again")
	n.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 2}})
	g.Expect(link(9, 1)).To(BeZero(), "the entry doesn't hold the shard")
	n.holderState.Store(&HolderState{Leading: true, Row: wire.HolderRow{Epoch: 3}})
	g.Expect(link(9, 2)).To(Equal(uint32(5)), "the process was linked before the entry took over")
}

// Guards against TWICE: a process that may not take the place of the linked one got a number.
func TestRefusedLinkOfAnotherProcessGetsNoNumber(t *testing.T) {
	g := NewWithT(t)
	l, _ := newLeaseLoop()
	l.node.sidecars.Clear()
	live, err := openLink(g, l.node, 7, 1)
	g.Expect(err).NotTo(HaveOccurred())
	refused, err := openLink(g, l.node, 8, 1)
	g.Expect(err).To(HaveOccurred())
	g.Expect(refused.pongTo(1).Process).To(BeZero())
	g.Expect(live.pongTo(1).Process).To(Equal(uint32(1)))
}

// Guards against a number that begins anew, below those of earlier processes.
func TestProcessOfAHostWithoutNumbersLeftGetsNone(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	n.lastProcesses.Store("host", hostProcess{incarnation: 7, number: uint64(runs.MaxProcessNumber)})
	last, _ := n.recordProcess("host", 7)
	g.Expect(last.processNumber()).To(Equal(runs.MaxProcessNumber))
	for incarnation := range uint64(3) {
		next, _ := n.recordProcess("host", 8+incarnation)
		g.Expect(next.processNumber()).To(BeZero())
	}
}

// Guards against two processes with one number.
func TestProcessesThatLinkAtOnceGetDifferentNumbers(t *testing.T) {
	const processes = 50
	n := newTestNode()
	numbers := make([]uint64, processes)
	var linked sync.WaitGroup
	for i := range numbers {
		linked.Go(func() {
			process, _ := n.recordProcess("host", uint64(i)+1)
			numbers[i] = process.number
		})
	}
	linked.Wait()
	given := make(map[uint64]bool)
	for _, number := range numbers {
		given[number] = true
	}
	NewWithT(t).Expect(given).To(HaveLen(processes))
}
