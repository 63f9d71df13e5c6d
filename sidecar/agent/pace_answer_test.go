package agent

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against HARM: the holder counted a pace as set that the worker had not been given.
func TestHolderHearsOfAPaceThatIsNotSet(t *testing.T) {
	g := NewWithT(t)
	a, order := linkedAgent(&scriptedWorker{})
	holderLink, received := captureLink(t, a)
	order.link, order.order.Kind, order.order.Percent = holderLink, dispatch.OrderPace, 20
	a.execute(t.Context(), order)
	g.Eventually(received).Should(Receive(Equal(frame.Type(wire.TypeAnswer))))
}

// overtakenWorker does not answer the first pace, after a later one was carried out.
type overtakenWorker struct {
	scriptedWorker
	later func()
	paces []int
}

func (w *overtakenWorker) Pace(_ context.Context, _ runs.Envelope, order runs.Pace) (runs.Answer, error) {
	w.paces = append(w.paces, order.Percent)
	if len(w.paces) > 1 {
		return runs.Answer{Result: runs.ResultOK, Clock: time.Minute}, nil
	}
	w.later()
	return runs.Answer{}, context.DeadlineExceeded
}

// Guards against HARM: the repetition of a pace took the one that was ordered after it back.
func TestPaceWithoutAnAnswerIsNotRepeatedAfterALaterOne(t *testing.T) {
	g := NewWithT(t)
	worker := &overtakenWorker{}
	a, first := linkedAgent(worker)
	first.order.Kind, first.order.Percent = dispatch.OrderPace, 100
	later := first
	later.order.Percent = 20
	worker.later = func() { a.execute(t.Context(), later) }
	a.execute(t.Context(), first)
	g.Expect(worker.paces).To(Equal([]int{100, 20}))
}
