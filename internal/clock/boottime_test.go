package clock_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
)

func TestMonotonicIsNotAheadOfBoottime(t *testing.T) {
	g := NewWithT(t)
	first := clock.Monotonic()
	g.Expect(first).To(BeNumerically(">", 0))
	g.Expect(clock.Boottime()).To(BeNumerically(">=", first), "it also counts the time in which the host was suspended")
	time.Sleep(time.Millisecond)
	g.Expect(clock.Monotonic()).To(BeNumerically(">=", first+time.Millisecond))
}
