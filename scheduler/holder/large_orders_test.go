package holder_test

import (
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

func TestOrdersLargerThanAFrameDoNotEndTheLink(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 1, 1)
	g.Eventually(f.leader, waitTimeout).ShouldNot(BeNil())
	job := testJob(1)
	job.Payload = strings.Repeat("x", 4000)
	job.Steps = []carobkeel.Step{{Count: 100, Demand: carobkeel.Resources{MilliCPU: 10}}}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	g.Expect(f.entries[0].jobs.Submit(ctx, job)).To(Succeed())
	g.Eventually(state(f.entries[0], job.ID), waitTimeout).Should(Equal(carobkeel.JobCompleted))
	g.Expect(f.violations()).To(BeEmpty())
}
