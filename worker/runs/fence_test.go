package runs_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestGenerationsAreInTheOrderOfProcessesThenOfDoubts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		process := runs.ProcessNumber(rapid.Uint32Range(0, uint32(runs.MaxProcessNumber)-1).Draw(t, "process"))
		doubts := rapid.Uint32Range(0, runs.MaxDoubts-1).Draw(t, "doubts")
		generation := runs.NewGeneration(process, doubts)
		g.Expect(generation.Process()).To(Equal(process))
		g.Expect(generation.Doubts()).To(Equal(doubts))
		g.Expect(runs.NewGeneration(process, doubts+1)).To(BeNumerically(">", generation))
		g.Expect(runs.NewGeneration(process+1, 0)).To(BeNumerically(">", runs.NewGeneration(process, math.MaxUint32)))
	})
}
