package holder

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against TWICE that can't be traced: an inherited worker is dropped while it is linked.
func TestInheritedLeaseThatExpiresNamesTheLinkAndTheLeaseOfThisHolder(t *testing.T) {
	linked := newTracedRun(2, dispatch.WorkerRecord{Incarnation: tracedIncarnation, Host: tracedHost})
	linked.advance(2 * time.Second)
	linked.core.HostPinged(tracedHost, 2)
	linked.advance(2 * time.Second)
	linked.log()
	g := NewWithT(t)
	g.Expect(linked.story()).NotTo(ContainElement(ContainSubstring("inherited lease expired")), "its own lease goes on")
	linked.advance(2 * time.Second)
	linked.log()
	g.Expect(linked.story()).To(ContainElement(
		`"inherited lease expired","detail":"i-1, host linked, own lease expired 790 ms ago","host":"host-1","epoch":2`))
	lost := newTracedRun(2, dispatch.WorkerRecord{Incarnation: runs.Incarnation{ID: "i-9"}, Host: "host-9"})
	lost.advance(4 * time.Second)
	lost.log()
	g.Expect(lost.story()).To(ContainElement(
		`"inherited lease expired","detail":"i-9, host not linked, no own lease","host":"host-9","epoch":2`))
}

func TestTakeoverLogsHowLongInheritedLeasesCountAndWhatItsRecordsSay(t *testing.T) {
	var out bytes.Buffer
	logger := logging.NewFactory(logging.Config{Level: "info", JSON: true}, &out).For("scheduler")
	n := New(Config{Host: "a", Shard: "shard"}, memory.NewRows(), nil, logger)
	n.logInherited(dispatch.Config{Epoch: 3, InheritedLease: 2500 * time.Millisecond}, []dispatch.WorkerRecord{{Ended: true}, {LateLease: true}, {}})
	NewWithT(t).Expect(out.String()).To(ContainSubstring(`"inherited leases counted","epoch":3,"ms":2500,"workers":3,"ended":1,"late_leases":1`))
}
