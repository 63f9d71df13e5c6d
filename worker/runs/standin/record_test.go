package standin_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

func TestStartAfterAnEndThatIsAcknowledgedLaterIsAViolation(t *testing.T) {
	for _, c := range []struct {
		name   string
		lapses bool
		want   int
	}{{"lease holds", false, 1}, {"lease lapses before the acknowledgement", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			record := standin.NewRecord()
			life := runs.Incarnation{ID: "w", StartedAtMs: 1}
			w := standin.New(standin.Config{
				Description: runs.Description{Incarnation: life}, MaxLease: time.Minute, Record: record,
				Work: func(carobkeel.TaskName, int) standin.Work {
					return standin.Work{Duration: time.Second, Outcome: runs.OutcomeDone}
				},
			})
			task := carobkeel.TaskName{Job: "a"}
			envelope := runs.Envelope{Incarnation: life, Fence: runs.Fence{Epoch: 1}, Deadline: 5 * time.Second}
			start := func(run int) {
				answer, err := w.Start(context.Background(), envelope, runs.Start{Task: task, Run: run})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer.Result).To(Equal(runs.ResultOK))
			}
			start(1)
			w.Advance(2 * time.Second)
			start(2)
			if c.lapses {
				w.Advance(10 * time.Second)
				g.Expect(record.Interrupted).To(HaveKeyWithValue(task, 1))
			}
			_, _, err := w.List(context.Background(), envelope, 1, 0)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(record.Violations).To(HaveLen(c.want))
		})
	}
}
