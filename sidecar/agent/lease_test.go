package agent

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against jobs that wait for a lease that nobody has extended, again after each new link.
func TestNoLeaseIsLeftOnAWorkerThatThisProcessHasNeverReached(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{failure: context.DeadlineExceeded}
	known, _ := linkedAgent(worker)
	a := New(known.config, worker, nil, known.metrics, known.log)
	a.RecordHeartbeat(runs.Description{Incarnation: testIncarnation, Sequence: 1})
	g.Expect(a.leaseRemaining()).To(BeNumerically("~", a.config.WorkerLease, a.config.WorkerLease/10), "of an earlier process")
	a.started = clock.Boottime() - time.Hour
	g.Expect(a.leaseRemaining()).To(BeZero())
}
