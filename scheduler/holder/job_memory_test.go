package holder

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/scheduler/wire"
)

func TestJobsMayTakeTheMemoryOfTheSmallerHost(t *testing.T) {
	g := NewWithT(t)
	n := &Node{config: Config{MemoryBytes: 200}}
	n.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 1}})
	g.Expect(n.JobMemory()).To(BeZero(), "no link to the holder")
	toHolder := &holderLink{}
	n.linkToHolder.Store(toHolder)
	g.Expect(n.JobMemory()).To(BeZero(), "no answer yet")
	for stated, want := range map[JobMemory]JobMemory{
		{Used: 80, Limit: 150}: {Used: 80, Limit: 100},
		{Used: 80, Limit: 70}:  {Used: 80, Limit: 70},
		{Used: 80}:             {Used: 80, Limit: 100},
	} {
		toHolder.jobMemory.Store(&stated)
		g.Expect(n.JobMemory()).To(Equal(want))
	}
	n.jobBytes.Store(90)
	n.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 1}, Leading: true})
	g.Expect(n.JobMemory()).To(Equal(JobMemory{Used: 90, Limit: 100}))
	g.Expect(n.pongTo(1).MaxJobBytes).To(BeEquivalentTo(100))
}
