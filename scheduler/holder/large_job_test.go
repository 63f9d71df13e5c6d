package holder_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
)

// progressKeys returns the keys of the rows of progress.
func (f *cluster) progressKeys(g Gomega) []string {
	scan, err := table.ScanAll(context.Background(), f.memory, holder.TableProgress, testShard)
	g.Expect(err).NotTo(HaveOccurred())
	var keys []string
	for _, row := range scan.Rows {
		keys = append(keys, row.Key)
	}
	return keys
}

func TestJobWhoseProgressExceedsARowEndsAcrossATakeover(t *testing.T) {
	const rowBytes = 1000
	g := NewWithT(t)
	f := startCluster(t, 0, 0)
	f.rowBytes = rowBytes
	f.oddTasksTake = 1500 * time.Millisecond // no two tasks that follow each other are done, so that each takes bytes
	f.rows = faulty.NewRows(&limitedRows{Rows: f.memory, progressBytes: rowBytes})
	f.startEntry(t)
	f.startEntry(t)
	f.startWorker(t, "host-0")
	step := carobkeel.Step{Count: 300, Demand: carobkeel.Resources{MilliCPU: 20}}
	second, third := step, step
	second.After, third.After = []int{0}, []int{1}
	job := testJob(1)
	job.Steps = []carobkeel.Step{step, second, third}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	g.Expect(f.entries[0].jobs.Submit(ctx, job)).To(Succeed())
	g.Eventually(func() int { return len(f.progressKeys(g)) }, waitTimeout).Should(BeNumerically(">", 2))
	f.leader().node.Resign()
	for _, e := range f.entries {
		g.Eventually(state(e, job.ID), waitTimeout).Should(Equal(carobkeel.JobCompleted))
	}
	g.Eventually(func() []string { return f.progressKeys(g) }, waitTimeout).Should(Equal([]string{string(job.ID)}))
	g.Expect(f.violations()).To(BeEmpty())
}
