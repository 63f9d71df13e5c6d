package jobs

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

func TestMoreStepsLeaveAllElseOfTheJobsAsItWas(t *testing.T) {
	g := NewWithT(t)
	few, more := newGenerator(7, 2), newGenerator(7, 4)
	drawn := make(map[int]bool)
	for range 200 {
		expected, job := few.next(), more.next()
		drawn[len(job.Steps)] = true
		for i, step := range job.Steps {
			g.Expect(slices.ContainsFunc(step.After, func(after int) bool { return after < 0 || after >= i })).To(BeFalse())
		}
		job.Steps = job.Steps[:min(2, len(job.Steps))]
		g.Expect(job).To(Equal(expected))
	}
	g.Expect(drawn).To(HaveLen(4))
}
