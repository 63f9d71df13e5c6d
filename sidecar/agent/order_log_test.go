package agent

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestLinesOfStartsAndStopsNameTheOrderAndAreNotCrowdedOutByPaces(t *testing.T) {
	for kind, want := range map[dispatch.OrderKind]string{
		dispatch.OrderStart: `"message":"order","order":"start","result":"no room","task":"j.0.0.0","run":1`,
		dispatch.OrderStop:  `"message":"order","order":"stop","result":"no room","task":"j.0.0.0","run":1`,
		dispatch.OrderPace:  "",
	} {
		g := NewWithT(t)
		a, order := linkedAgent(&scriptedWorker{})
		var out bytes.Buffer
		a.log = logging.NewFactory(logging.Config{Level: "info", JSON: true}, &out).For("sidecar")
		order.order.Kind = kind
		a.logOrder(order, runs.ResultNoRoom)
		g.Expect(out.String()).To(ContainSubstring(want))
		g.Expect(out.Len() == 0).To(Equal(want == ""))
	}
}

func TestLineOfAnOrderNamesItsHostAndEpoch(t *testing.T) {
	a, order := linkedAgent(&scriptedWorker{})
	var out bytes.Buffer
	a.log = logging.NewFactory(logging.Config{Level: "info", JSON: true}, &out).For("sidecar")
	a.logOrder(order, runs.ResultOK)
	NewWithT(t).Expect(out.String()).To(ContainSubstring(`"task":"j.0.0.0","run":1,"host":"h","epoch":3`))
}
