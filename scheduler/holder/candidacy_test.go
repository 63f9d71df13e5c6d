package holder

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestHostsThatTheShardWouldOverloadTakeOverLast(t *testing.T) {
	g := NewWithT(t)
	strong := Capacity{Processors: 0.8, LinkBytesPerSecond: 25e6}
	weak := Capacity{Processors: 0.2, LinkBytesPerSecond: 2.5e6}
	thinLink := Capacity{Processors: 0.8, LinkBytesPerSecond: 1.25e6}
	for epoch := range uint64(100) {
		slowest := candidateDelay(strong, 160, "strong", epoch)
		g.Expect(candidateDelay(weak, 160, "weak", epoch)).To(BeNumerically(">", slowest+drawnDelay/2))
		g.Expect(candidateDelay(thinLink, 160, "thin", epoch)).To(BeNumerically(">", slowest+drawnDelay/2))
	}
	g.Expect(candidateDelay(Capacity{}, 160, "unknown", 1)).To(BeNumerically("<", drawnDelay))
}

// TestFewCandidatesWriteAtTheSameTime counts the candidates whose turn comes before they
// can have heard of the first one's row.
func TestFewCandidatesWriteAtTheSameTime(t *testing.T) {
	g := NewWithT(t)
	const hosts, epochs, notice = 35, 200, 20 * time.Millisecond
	tries := 0
	for epoch := range uint64(epochs) {
		var delays []time.Duration
		first := time.Hour
		for i := range hosts {
			delay := candidateDelay(Capacity{Processors: 0.8}, 160, fmt.Sprintf("edge-%d", i), epoch)
			delays, first = append(delays, delay), min(first, delay)
		}
		for _, delay := range delays {
			if delay < first+notice {
				tries++
			}
		}
	}
	g.Expect(float64(tries) / epochs).To(BeNumerically("<", hosts/3))
}

func TestCandidateWaitsFromWhenATakeoverIsDue(t *testing.T) {
	g := NewWithT(t)
	var c candidacy
	const delay = 100 * time.Millisecond
	g.Expect(c.wait(time.Second, delay, 1)).To(Equal(delay))
	g.Expect(c.wait(time.Second+delay/2, delay, 1)).To(Equal(delay / 2))
	g.Expect(c.wait(time.Second+delay, delay, 1)).To(BeZero())
	g.Expect(c.wait(time.Second+delay, delay, 2)).To(Equal(delay), "another holder")
	c.reset()
	g.Expect(c.wait(2*time.Second, delay, 2)).To(Equal(delay), "due again")
}
