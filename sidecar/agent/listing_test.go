package agent

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/worker/runs"
)

// restartedWorker lists under another start time than the one that is known.
type restartedWorker struct{ scriptedWorker }

func (*restartedWorker) List(context.Context, runs.Envelope, uint64, time.Duration) (runs.Listing, runs.Answer, error) {
	return runs.Listing{StartedAtMs: testIncarnation.StartedAtMs + 1}, runs.Answer{Result: runs.ResultOK, Clock: time.Minute}, nil
}

func TestLeaseOfReplacedIncarnationIsNotExtended(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&restartedWorker{})
	l := &lister{agent: a}
	for range unresponsiveAfter {
		l.listOnce(context.Background(), a.description.Load())
	}
	g.Expect(a.unresponsive.Load()).To(BeTrue())
}
