package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// lateStartRow is a play of a late start in an incarnation that is cut off soon after it began.
type lateStartRow struct {
	// killsHolder has another holder take over before the cut, listsFirst has the incarnation list
	// before it while the store is away, and hangs has the worker hang in place of the cut.
	killsHolder, listsFirst, hangs bool
}

func (r lateStartRow) String() string {
	return fmt.Sprintf("holder killed %v, listed first %v, hangs %v", r.killsHolder, r.listsFirst, r.hangs)
}

// play loses a start, begins the worker anew with it, and cuts the host off.
func (r lateStartRow) play() vanishingResult {
	w := newVanishingWorld(brokenKnowledge{})
	p := &vanishingPlay{row: vanishingRow{history: recordedWorker, lost: lostStart, hangs: r.hangs}, world: w, host: w.hosts[0]}
	p.prepare()
	p.host.worker.Advance(time.Minute) // its clock is far ahead of the next one's
	p.loseCall()
	p.host.late.begins = true
	p.host.endWorker()
	w.run(100 * time.Millisecond)
	if r.listsFirst {
		w.store.awayUntil = w.now + 1500*time.Millisecond
	}
	p.beginWorker()
	if r.listsFirst {
		w.until(time.Second, p.host.hasListed)
	}
	if r.killsHolder {
		w.killHolder(false)
	}
	return p.cut()
}

// Guards against TWICE: a start without an answer began in the next incarnation, under the longest lease,
// and its host was cut off before that one was recorded.
func TestLateStartOfAnIncarnationThatIsCutOffAtOnceRunsOnce(t *testing.T) {
	for i := range 8 {
		r := lateStartRow{killsHolder: i&1 != 0, listsFirst: i&2 != 0, hangs: i&4 != 0}
		t.Run(r.String(), func(t *testing.T) {
			NewWithT(t).Expect(r.play().violations).To(BeEmpty())
		})
	}
}
