package submission_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/submission"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// noHolder is a Scheduler without a holder.
type noHolder struct{}

func (noHolder) State(context.Context, carobkeel.JobID) (carobkeel.JobState, bool, error) {
	return 0, false, holder.ErrNoHolder
}

func (noHolder) Waiting(context.Context, carobkeel.QueueName) (int, error) {
	return 0, holder.ErrNoHolder
}
func (noHolder) NotifyCancelled(carobkeel.JobID) {}
func (noHolder) StoreAge() time.Duration         { return 0 }
func (noHolder) Queues() *carobkeel.QueueConfig  { return &carobkeel.QueueConfig{} }

func TestStateIsAnsweredBesideAnOddProgressRow(t *testing.T) {
	for _, value := range [][]byte{nil, {0xc1}, {0x81, 0xa1, 's', 0xcc, 200}} {
		g := NewWithT(t)
		rows := memory.NewRows()
		_, err := rows.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{
			{RowID: table.RowID{Table: holder.TableJobs, Part: "shard", Key: "a"}, Value: []byte{1}},
			{RowID: table.RowID{Table: holder.TableProgress, Part: "shard", Key: "a"}, Value: value},
		}})
		g.Expect(err).NotTo(HaveOccurred())
		jobs := submission.New("shard", rows, noHolder{}, submission.NewMetrics(tally.NoopScope), logging.Discard().For("test"))
		g.Expect(jobs.State(context.Background(), "a")).To(Equal(carobkeel.JobActive))
	}
}
