package dispatch

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
)

// naiveTasks are the tasks of a step as one structure each.
type naiveTasks []task

// order returns the indexes of the tasks that wait, in the order of their waits.
func (n naiveTasks) order() []int {
	var waiting []*task
	for i := range n {
		if n[i].isWaiting() {
			waiting = append(waiting, &n[i])
		}
	}
	slices.SortFunc(waiting, compareWait)
	var indexes []int
	for _, t := range waiting {
		indexes = append(indexes, t.index)
	}
	return indexes
}

// newTestSet returns a step of a job with the given number of tasks.
func newTestSet(count int, since time.Duration) *stepState {
	spec := &carobkeel.JobSpec{ID: "0000000000000001", Steps: []carobkeel.Step{{Count: count}}}
	return newOccurrence(&job{spec: spec}, 0, since).steps[0]
}

// orderOf returns the indexes of the tasks that can start, in their order.
func orderOf(c *Core, s *stepState) []int {
	var indexes []int
	for t := c.nextStartable(s, nil); t != nil; t = c.nextStartable(s, t) {
		indexes = append(indexes, t.index)
	}
	return indexes
}

func TestTaskSetHoldsTheSameTasksAsOneStructureEach(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 200).Draw(rt, "count")
		s, now := newTestSet(count, time.Second), time.Second
		naive := make(naiveTasks, count)
		for i := range naive {
			naive[i] = task{index: i, waitingSince: now}
		}
		c := New(Config{}, Now{}, nil)
		for range rapid.IntRange(0, 100).Draw(rt, "changes") {
			now += time.Duration(rapid.IntRange(0, 2).Draw(rt, "time")) * time.Second
			changeTask(rt, s, naive, now)
			if rapid.Bool().Draw(rt, "look") {
				orderOf(c, s)
			}
		}
		checkTaskSet(rt, c, s, naive)
	})
}

// changeTask starts, ends or finishes a task.
func changeTask(rt *rapid.T, s *stepState, naive naiveTasks, now time.Duration) {
	n := &naive[rapid.IntRange(0, len(naive)-1).Draw(rt, "task")]
	t := s.tasks.get(n.index)
	switch rapid.IntRange(0, 3).Draw(rt, "change") {
	case 0:
		run := &runState{}
		n.runs, t.runs = append(n.runs, run), append(t.runs, run)
	case 1:
		if len(n.runs) > 0 {
			n.runs, t.runs = n.runs[1:], t.runs[1:]
		}
		if n.isWaiting() && !t.queued {
			n.waitingSince, t.waitingSince = now, now
		}
	case 2:
		n.done = true
		s.tasks.setDone(t)
		return
	case 3:
		n.failedRuns, t.failedRuns = append(n.failedRuns, 1), append(t.failedRuns, 1)
	}
	s.tasks.update(t)
}

func checkTaskSet(rt *rapid.T, c *Core, s *stepState, naive naiveTasks) {
	g := NewWithT(rt)
	g.Expect(orderOf(c, s)).To(Equal(naive.order()))
	g.Expect(s.tasks.waiting()).To(Equal(len(naive.order())))
	var done, running []int
	for i := range naive {
		if naive[i].done {
			done = append(done, i)
		}
		if len(naive[i].runs) > 0 {
			running = append(running, i)
		}
	}
	var listed, ran []int
	s.tasks.doneRanges(func(first, count int) {
		for i := range count {
			listed = append(listed, first+i)
		}
	})
	for _, t := range s.tasks.running {
		ran = append(ran, t.index)
	}
	g.Expect(listed).To(Equal(done))
	g.Expect(ran).To(Equal(running))
}

func TestTasksThatAreDoneKeepNoStructure(t *testing.T) {
	g := NewWithT(t)
	s := newTestSet(100_000, 0)
	g.Expect(s.tasks.setDoneRange(10, 90_000)).To(Equal(90_000))
	g.Expect(s.tasks.setDoneRange(0, 1<<62)).To(Equal(10_000), "more than there are")
	g.Expect(s.tasks.known).To(BeEmpty())
	g.Expect(s.tasks.waiting()).To(BeZero())
	var ranges [][2]int
	s.tasks.doneRanges(func(first, count int) { ranges = append(ranges, [2]int{first, count}) })
	g.Expect(ranges).To(Equal([][2]int{{0, 100_000}}))
}
