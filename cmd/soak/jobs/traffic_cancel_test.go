package jobs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/platform/standin"
)

// refusingEntries are entries that refuse to cancel jobs until a time.
type refusingEntries struct {
	caller
	until time.Time
	// asked counts the requests to each entry, by address.
	asked map[string]int
}

func (e *refusingEntries) Cancel(_ context.Context, entry string, _ *carobkeel.JobSpec) standin.Reply {
	e.asked[entry]++
	if time.Now().Before(e.until) {
		return standin.Reply{Answer: judge.AnswerRejected}
	}
	return standin.Reply{Answer: judge.AnswerAccepted}
}

func newCancellingTraffic(refused time.Duration) (*traffic, *refusingEntries) {
	entries := &refusingEntries{until: time.Now().Add(refused), asked: make(map[string]int)}
	f := &fleet{record: judge.NewRecord(clock.System{}), entries: []*process{{name: entryName(0)}, {name: entryName(1)}}}
	t := newTraffic(f, 1, 1)
	t.caller = entries
	return t, entries
}

func countAcknowledged(play judge.Play) int {
	n := 0
	for _, event := range play.Events {
		if _, acknowledged := event.Observation.(judge.CancelAcknowledged); acknowledged {
			n++
		}
	}
	return n
}

// Guards against UNASKED: a caller gave up after 8 refusals, and the judge held that for a cancelling that waits.
func TestCallersCancelUntilThatIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		traffic, entries := newCancellingTraffic(20 * time.Second)
		traffic.cancel(t.Context(), traffic.jobs.next(), 0)
		g.Expect(countAcknowledged(traffic.fleet.record.Play())).To(Equal(1))
		g.Expect(entries.asked).To(HaveLen(2), "one entry after the other")
	})
}

func TestCancellingEndsWithThePlay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		traffic, _ := newCancellingTraffic(time.Hour)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		traffic.cancel(ctx, traffic.jobs.next(), 0)
		g.Expect(countAcknowledged(traffic.fleet.record.Play())).To(BeZero())
	})
}
