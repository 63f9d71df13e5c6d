package agent

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
)

func TestOddOrdersDoNotEndTheLink(t *testing.T) {
	g := NewWithT(t)
	a, order := linkedAgent(&scriptedWorker{})
	sound := wire.FromOrder(order.order)
	orders := []wire.Order{{Task: "a.b.0.0.0"}, {Task: ""}, {Kind: 200, Task: sound.Task}, sound}
	f, err := wire.Encode(wire.TypeOrders, &wire.Orders{Epoch: 3, Orders: orders})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(order.link.handle(frame.Frame{Type: f.Type, Payload: f.Payload})).To(Succeed())
	received := a.orders.TryTake(nil)
	g.Expect(received).To(HaveLen(1))
	g.Expect(received[0].order.Kind).To(Equal(dispatch.OrderStart))
	g.Expect(received[0].order.Task).To(Equal(order.order.Task))
}

func TestPeerThatClosesLinksIsNotRedialledInATightLoop(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.Close()
		}
	}()
	a, _ := linkedAgent(&scriptedWorker{})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a.maintainLink(ctx, listener.Addr().String())
	g.Expect(accepted.Load()).To(BeNumerically("<=", 8))
}

// A holder that has not read for a while that it holds the shard does not let leases be
// extended.
func TestOnlyAPongThatSaysSoExtendsTheLease(t *testing.T) {
	g := NewWithT(t)
	a, order := linkedAgent(&scriptedWorker{})
	before := a.holder.Load().Confirmed
	order.link.ping()
	pong := &wire.Pong{Sequence: order.link.sequence.Load(), IsHolder: true, Epoch: 3, Process: 1}
	order.link.handlePong(pong)
	g.Expect(a.holder.Load().Confirmed).To(Equal(before))
	pong.ExtendsLease = true
	order.link.handlePong(pong)
	g.Expect(a.holder.Load().Confirmed).To(BeNumerically(">", before))
}

// Guards against TWICE: a host came back with a new sidecar and a new incarnation of its worker,
// and calls of before were carried out until the sidecar had found the holder.
func TestSidecarWithoutAHolderFencesItsWorkerByTheEpochThatEntriesKnow(t *testing.T) {
	g := NewWithT(t)
	worker := &callRecorder{}
	a, _ := linkedAgent(worker)
	a.holder.Store(&gate.Holder{})
	entry := newEntryLink(a)
	entry.ping()
	entry.handlePong(&wire.Pong{Sequence: 1, Epoch: 5})
	(&lister{agent: a}).listOnce(context.Background(), a.state.Load())
	g.Expect(worker.envelopes[0].Fence.Epoch).To(Equal(carobkeel.Epoch(5)))
	g.Expect(a.confirm(gate.Term{Epoch: 4, Process: 1}, clock.Boottime())).To(BeFalse(), "an earlier holder")
	g.Expect(a.confirm(gate.Term{Epoch: 5, Process: 1}, clock.Boottime())).To(BeTrue())
	entry.handlePong(&wire.Pong{Sequence: 1, Epoch: 6})
	g.Expect(a.holder.Load().Epoch).To(Equal(carobkeel.Epoch(5)), "the holder itself says that it leads")
}

// Guards against lapsed leases: an entry that was added while the holder was known, and replaced
// it, was not found for up to 5 s.
func TestEntriesAreReadAgainOnceTheLinkToTheHolderIsLost(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&scriptedWorker{})
	var reads atomic.Int64
	a.findEntries = func(context.Context) ([]string, error) {
		reads.Add(1)
		return nil, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.maintainLinks(ctx)
	g.Eventually(reads.Load).Should(Equal(int64(1)))
	a.linkEnded(newEntryLink(a), nil)
	g.Consistently(reads.Load, "200ms").Should(Equal(int64(1)), "it was not the holder's")
	a.linkEnded(a.holderLink.Load(), nil)
	g.Eventually(reads.Load, "500ms").Should(Equal(int64(2)))
}
