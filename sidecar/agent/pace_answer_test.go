package agent

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
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
