package holder

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table/memory"
)

func TestPanicInASchedulingStepEndsTheTermAndNotTheProcess(t *testing.T) {
	g := NewWithT(t)
	n := New(Config{Host: "edge", Shard: "shard"}, memory.NewRows(), NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	n.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 1, Host: "edge"}, Since: clock.Boottime(), Leading: true})
	l := newLoop(n)
	l.ctx = t.Context()
	l.term, l.endTerm = context.WithCancel(l.ctx)
	l.holdConfirmed = clock.Boottime()
	l.core = dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: time.Second}, l.now(), nil)
	term := l.term
	l.runStep([]event{func(*loop) { panic("index out of range") }}, 0)
	g.Expect(l.core).To(BeNil(), "state after a panic is undefined")
	g.Expect(term.Err()).To(HaveOccurred())
	g.Expect(n.Leading()).To(BeFalse())
	handled := false
	l.runStep([]event{func(*loop) { handled = true }}, 0)
	g.Expect(handled).To(BeTrue())
}
