package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against TWICE: a request of the earlier incarnation that waited for ends was carried out
// by the next one, and took ends that nobody had read.
func TestWaitingRequestThatIsCarriedOutLateTakesNoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := newLateWorker()
		a := startProcess(worker)
		answerAsHolder(a, 3, 1)
		a.unresponsive.Store(false)
		a.acknowledge(receivedOrder{order: dispatch.Order{Incarnation: testIncarnation, Acknowledged: 1}})
		l := &lister{agent: a}
		for range 3 {
			l.listOnce(t.Context(), a.state.Load())
		}
		waiting := worker.late[len(worker.late)-1]

		worker.Crash()
		late := runs.Envelope{Incarnation: testIncarnation, Deadline: 5 * time.Second}
		_, err := worker.Worker.Start(t.Context(), late, runs.Start{Task: carobkeel.TaskName{Job: "j"}, Run: 1})
		g.Expect(err).NotTo(HaveOccurred())
		worker.Advance(2 * time.Second)
		g.Expect(waiting()).To(Equal(runs.ResultOK))
		listing, _, err := worker.Worker.List(t.Context(), runs.Envelope{Fence: runs.Fence{Epoch: 9}}, 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(listing.Ends).To(HaveLen(1))
	})
}

// listRequest is a request for a listing, as a worker received it.
type listRequest struct {
	acknowledged uint64
	wait         time.Duration
}

// endingWorker lists ends and keeps the requests that it received.
type endingWorker struct {
	scriptedWorker
	requests []listRequest
	ends     []runs.End
	loses    bool
}

func (w *endingWorker) List(_ context.Context, _ runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	w.requests = append(w.requests, listRequest{acknowledged, wait})
	if w.loses {
		return runs.Listing{}, runs.Answer{}, context.DeadlineExceeded
	}
	return runs.Listing{StartedAtMs: testIncarnation.StartedAtMs, Ends: w.ends}, runs.Answer{Clock: time.Minute}, nil
}

// newEndingAgent returns an agent whose worker has listed, and what requests its next listings.
// Its lease is extended.
func newEndingAgent(worker *endingWorker) (*Agent, *lister) {
	a, _ := linkedAgent(worker)
	l := &lister{agent: a}
	l.listOnce(context.Background(), a.state.Load())
	worker.requests = nil
	return a, l
}

func acknowledgeUpTo(a *Agent, number uint64) {
	a.acknowledge(receivedOrder{order: dispatch.Order{Incarnation: testIncarnation, Acknowledged: number}})
}

func TestEachNumberIsAcknowledgedOnceByARequestThatDoesNotWait(t *testing.T) {
	g := NewWithT(t)
	worker := &endingWorker{}
	a, l := newEndingAgent(worker)
	list := func() { l.listOnce(context.Background(), a.state.Load()) }
	acknowledgeUpTo(a, 9)
	list()
	list()
	list()
	acknowledgeUpTo(a, 10)
	a.confirm(testTerm, clock.Boottime())
	list()
	list()
	g.Expect(worker.requests).To(Equal([]listRequest{{9, 0}, {0, listWait}, {0, listWait}, {10, 0}, {0, listWait}}))
}

func TestAcknowledgementWithoutAnAnswerIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &endingWorker{}
		a, l := newEndingAgent(worker)
		acknowledgeUpTo(a, 9)
		worker.loses = true
		l.listOnce(t.Context(), a.state.Load())
		worker.loses = false
		for range 3 {
			l.listOnce(t.Context(), a.state.Load())
		}
		g.Expect(worker.requests).To(Equal([]listRequest{{9, 0}, {0, 0}, {9, 0}, {0, listWait}}))
	})
}

// Guards against a tight loop: a worker that listed acknowledged ends again was asked without a
// pause.
func TestEndsThatAreListedAgainAreAcknowledgedAgainAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &endingWorker{ends: []runs.End{{Number: 3}}}
		a, l := newEndingAgent(worker)
		acknowledgeUpTo(a, 3)
		started := time.Now()
		for range 100 {
			l.listOnce(t.Context(), a.state.Load())
		}
		g.Expect(time.Since(started)).To(BeNumerically(">", 100*acknowledgeWait/4))
		g.Expect(worker.requests).To(ContainElement(listRequest{3, 0}))
		g.Expect(worker.requests[90:]).To(ContainElement(listRequest{3, 0}))
	})
}
