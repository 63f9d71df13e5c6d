package holder

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// Guards against a delay that seems short: it was taken from orders of starts that never took
// place.
func TestStartDelayIsThatOfConfirmedStarts(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	metrics := NewMetrics(scope)
	samples := func() int64 {
		n := int64(0)
		for name, histogram := range scope.Snapshot().Histograms() {
			if !strings.Contains(name, "start_delay") {
				continue
			}
			for _, count := range histogram.Durations() {
				n += count
			}
		}
		return n
	}
	metrics.recordDecision(&dispatch.Decision{Kind: dispatch.DecidedRunStarted, Queue: "quotes", Waited: time.Millisecond})
	g.Expect(samples()).To(BeZero())
	metrics.recordDecision(&dispatch.Decision{Kind: dispatch.DecidedRunConfirmed, Queue: "quotes", Waited: 3 * time.Second})
	g.Expect(samples()).To(Equal(int64(1)))
	g.Expect(decisionLine(dispatch.Decision{Kind: dispatch.DecidedRunConfirmed})).To(BeEmpty(), "lines of starts are enough")
}
