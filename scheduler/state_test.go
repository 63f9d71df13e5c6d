package scheduler

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

func TestFinalStatesNeverChange(t *testing.T) {
	g := NewWithT(t)
	for s := range stateCount {
		for e := range eventCount {
			next, err := s.Next(e)
			if s.IsFinal() {
				g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeJobFinished), "%s, %s", s, e)
				g.Expect(next).To(Equal(s))
			}
			if err == nil && next.IsWaiting() {
				g.Expect(e).To(BeElementOf(EventRunLost, EventReleased), "%s, %s", s, e)
			}
			if err == nil && !s.IsPlaced() && next.IsPlaced() {
				g.Expect(e).To(Equal(EventPlaced), "%s, %s", s, e)
			}
		}
	}
}

func TestQueueServesServicesFirstThenTheOwnerThatUsesLeast(t *testing.T) {
	g := NewWithT(t)
	var q queue
	q.push(carobkeel.ClassBatch, "a", "a1")
	q.push(carobkeel.ClassBatch, "a", "a2")
	q.push(carobkeel.ClassBatch, "b", "b1")
	q.push(carobkeel.ClassLatencyCritical, "b", "service")
	q.addUsage(carobkeel.ClassBatch, "a", 0.5)
	var order []carobkeel.TaskID
	for id, ok := q.pop(); ok; id, ok = q.pop() {
		order = append(order, id)
	}
	g.Expect(order).To(Equal([]carobkeel.TaskID{"service", "b1", "a1", "a2"}))
}
