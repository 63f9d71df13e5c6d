package pressure_test

import (
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/worker/pressure"
)

// truth is how much each filling image presses each serving one.
var truth = map[string]map[string]float64{
	"desk": {"heavy": 2.0, "light": 0.05},
	"maps": {"heavy": 0.1, "light": 0.0},
}

const idleShare = 0.2

// ratio returns the tail latency, as a share of the target, of a serving image
// with an own load beside filling tasks.
func ratio(serving string, load float64, filling []pressure.Filling) float64 {
	for _, f := range filling {
		load += truth[serving][f.Image] * f.Share
	}
	return idleShare / (1 - min(0.97, load))
}

// swing is an own load that moves slowly.
func swing(step, task int) float64 { return 0.4 + 0.15*math.Sin(float64(step)/20+float64(task)) }

// train shows a model some time on workers that run both serving images, beside
// filling tasks that come and go.
func train(m *pressure.Model, steps int) {
	for step := range steps {
		for w := range 6 {
			filling := []pressure.Filling{
				{Image: "heavy", Share: 0.12 * float64((step/3+w)%2)},
				{Image: "light", Share: 0.15 * float64((step/4+w)%2)},
			}
			var serving []pressure.Serving
			for i, image := range []string{"desk", "maps"} {
				serving = append(serving, pressure.Serving{
					Task: fmt.Sprintf("%s-%d", image, w), Image: image, Ratio: ratio(image, swing(step, w+i), filling),
				})
			}
			m.Observe(fmt.Sprintf("worker-%d", w), serving, filling)
		}
	}
}

func TestPairsAreLearnedWithinSeconds(t *testing.T) {
	g := NewWithT(t)
	m := pressure.New()
	train(m, 30) // 15 s at two figures a second
	g.Expect(m.Sensitivity("desk", "heavy")).To(BeNumerically("~", 2.0, 0.5))
	g.Expect(m.Sensitivity("desk", "light")).To(BeNumerically("<", 0.3))
	g.Expect(m.Sensitivity("maps", "heavy")).To(BeNumerically("<", 0.4))
}

func TestServingTasksStayBelowTheirTargets(t *testing.T) {
	g := NewWithT(t)
	m := pressure.New()
	train(m, 30)
	over, work := 0, 0.0
	tasks := []pressure.Filling{{Image: "heavy", FullShare: 0.15}, {Image: "heavy", FullShare: 0.15}, {Image: "light", FullShare: 0.2}}
	filling := append([]pressure.Filling(nil), tasks...)
	const steps = 200
	for step := range steps {
		serving := []pressure.Serving{{Task: "desk-0", Image: "desk", Ratio: ratio("desk", swing(step, 0), filling)}}
		if serving[0].Ratio > 1 {
			over++
		}
		m.Observe("worker-0", serving, filling)
		budget := m.Budget(serving, filling)
		for i, pace := range m.TakeAll(&budget, tasks) {
			filling[i].Share = tasks[i].FullShare * float64(pace) / pressure.FullPace
			work += filling[i].Share
		}
	}
	g.Expect(over).To(BeNumerically("<=", steps/50), "spans in which a serving task was over its target")
	noControl := steps * 0.5
	g.Expect(work).To(BeNumerically(">", 0.45*noControl), "filling work that was done, against no control")
}

func TestWithoutServingTasksNothingIsHeldBack(t *testing.T) {
	g := NewWithT(t)
	m := pressure.New()
	budget := m.Budget(nil, nil)
	g.Expect(m.Take(&budget, pressure.Filling{Image: "heavy", FullShare: 1})).To(Equal(pressure.FullPace))
}

func TestAServingTaskThatIsOverHoldsBackWhatPressesIt(t *testing.T) {
	g := NewWithT(t)
	m := pressure.New()
	train(m, 30)
	filling := []pressure.Filling{{Image: "heavy", Share: 0.3, FullShare: 0.3}}
	serving := []pressure.Serving{{Task: "desk-9", Image: "desk", Ratio: ratio("desk", 0.8, filling)}}
	budget := m.Budget(serving, filling)
	g.Expect(m.Take(&budget, filling[0])).To(BeNumerically("<", 10))
}
