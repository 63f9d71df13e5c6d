package jobs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTroublesAreFixedByTheSeed(t *testing.T) {
	g := NewWithT(t)
	planned := planStream(7, 1, Kinds(), 10*time.Minute)
	g.Expect(planStream(7, 1, Kinds(), 10*time.Minute)).To(Equal(planned))
	g.Expect(planStream(7, 2, Kinds(), 10*time.Minute)).NotTo(Equal(planned))
	drawn := make(map[Kind]bool)
	end := calmTime
	for _, p := range planned {
		g.Expect(p.At).To(BeNumerically(">=", end), "a stream plays one trouble at a time")
		end = p.At + p.For
		drawn[p.Kind] = true
	}
	g.Expect(end).To(BeNumerically("<=", 10*time.Minute))
	g.Expect(drawn).To(HaveLen(len(Kinds())))
}

func TestKindsAreParsed(t *testing.T) {
	g := NewWithT(t)
	kinds, err := ParseKinds("late-calls, kill-entry")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kinds).To(Equal([]Kind{LateCalls, KillEntry}))
	_, err = ParseKinds("late-calls,unknown")
	g.Expect(err).To(MatchError(ContainSubstring("unknown")))
}
