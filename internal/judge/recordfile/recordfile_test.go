package recordfile

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/judge"
)

func TestRecordComesBackAsItWas(t *testing.T) {
	g := NewWithT(t)
	run := judge.RunID{
		Worker: judge.Worker{ID: "worker-1", Incarnation: 2},
		Task:   carobkeel.TaskName{Job: "job", Step: 1, Index: 2}, Run: 3,
	}
	record := judge.NewRecord(clock.System{})
	record.Add(judge.SubmissionSent{Job: "job", Attempt: 1, Spec: carobkeel.JobSpec{
		ID: "job", Steps: []carobkeel.Step{{Count: 2, After: []int{0}, Estimate: time.Second}}, First: time.Unix(7, 0).UTC(),
	}})
	record.Add(judge.RunStarted{RunID: run, By: judge.Process{Name: "sidecar-1"}, Late: true})
	record.Add(judge.RunEnded{RunID: run, Outcome: judge.OutcomeDone, EndNumber: 9})
	record.Add(judge.EndsListed{Worker: run.Worker, Numbers: []uint64{9}})
	record.Add(judge.TrafficEnded{})
	play := record.Play()

	var file bytes.Buffer
	g.Expect(Write(&file, play)).To(Succeed())
	read, err := Read(&file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Events).To(Equal(play.Events))
	g.Expect(read.End).To(Equal(play.End))
	g.Expect(read.Began.Equal(play.Began)).To(BeTrue())
}

func TestUnknownKindIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := Read(strings.NewReader("{}\n{\"kind\":\"other\",\"seen\":{}}\n"))
	g.Expect(err).To(MatchError(ContainSubstring(`event 1: no kind "other"`)))
}

func TestRecordHoldsWhatSeveralGoroutinesAdd(t *testing.T) {
	g := NewWithT(t)
	const goroutines, each = 8, 100
	record := judge.NewRecord(clock.System{})
	var adding sync.WaitGroup
	for n := range goroutines {
		adding.Go(func() {
			for i := range each {
				record.Add(judge.SubmissionAnswered{Job: carobkeel.JobID(rune('a' + n)), Attempt: i})
				record.Play()
			}
		})
	}
	adding.Wait()
	next := make(map[carobkeel.JobID]int)
	for i, event := range record.Play().Events {
		g.Expect(event.Number).To(Equal(i + 1))
		seen := event.Observation.(judge.SubmissionAnswered)
		g.Expect(seen.Attempt).To(Equal(next[seen.Job]))
		next[seen.Job]++
	}
	g.Expect(next).To(HaveLen(goroutines))
}
