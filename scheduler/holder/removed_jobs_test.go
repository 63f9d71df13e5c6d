package holder

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/memory"
)

const (
	endedJob = carobkeel.JobID("00000000000000aa")
	// afterRetention is when the records of a job are removed that had ended at the takeover.
	afterRetention = 11 * time.Minute
	eventTimeout   = 10 * time.Second
)

// forgottenHistory has lost the history of changes once a holder follows them. The answer to the
// first page that the holder then reads of the jobs waits.
type forgottenHistory struct {
	table.Rows
	lost atomic.Bool
	// read is closed once that page has been read. Its answer waits until release is closed.
	read, release chan struct{}
}

func (r *forgottenHistory) Follow(ctx context.Context, name string, after table.Version, wait time.Duration) (table.RowChanges, error) {
	if !r.lost.Swap(true) {
		return table.RowChanges{}, table.ErrHistoryLost
	}
	return r.Rows.Follow(ctx, name, after, wait)
}

func (r *forgottenHistory) Scan(ctx context.Context, name, part, from string) (table.RowScan, error) {
	scan, err := r.Rows.Scan(ctx, name, part, from)
	if name == TableJobs && r.lost.Load() {
		close(r.read)
		<-r.release
	}
	return scan, err
}

// removal plays the removal of the records of a job that has ended.
type removal struct {
	node   *Node
	loop   *loop
	faults *faulty.Rows
	rows   *memory.Rows
	feed   *forgottenHistory
	state  takeoverState
}

func endedSpec() *carobkeel.JobSpec {
	return &carobkeel.JobSpec{
		ID: endedJob, Queue: carobkeel.Queue{Name: "q", Service: "desk", MaxAttempts: 1}, Payload: "payload",
		Steps: []carobkeel.Step{{Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Estimate: time.Second}},
	}
}

// newRemoval returns a holder that has taken over a shard with one job, which has ended.
func newRemoval(t *testing.T, g Gomega) *removal {
	r := &removal{rows: memory.NewRows()}
	r.faults = faulty.NewRows(r.rows)
	r.feed = &forgottenHistory{Rows: r.faults, read: make(chan struct{}), release: make(chan struct{})}
	r.node = New(Config{Shard: "shard"}, r.feed, NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	r.write(g, table.RowWrite{RowID: r.node.jobRow(endedJob), Value: mustEncode(wire.FromJob(endedSpec()))})
	ended := wire.FromProgress(&dispatch.Progress{State: carobkeel.JobCompleted})
	r.write(g, table.RowWrite{RowID: r.node.progressRow(string(endedJob)), Value: mustEncode(ended)})
	holder := wire.HolderRow{Epoch: 1, Host: "entry-1"}
	version := r.write(g, table.RowWrite{RowID: r.node.holderRow(), Value: mustEncode(&holder)})
	r.state.holderState = HolderState{Row: holder, Version: version, Leading: true}
	r.node.holderState.Store(&r.state.holderState)
	g.Expect(r.node.readShard(t.Context(), &r.state)).To(Succeed())
	r.loop = newLoop(r.node)
	r.loop.ctx = t.Context()
	r.loop.startCore(&r.state)
	t.Cleanup(r.loop.endTerm)
	return r
}

func (r *removal) write(g Gomega, writes ...table.RowWrite) table.Version {
	outcome, err := r.rows.Transact(context.Background(), table.RowTransaction{Writes: writes})
	g.Expect(err).NotTo(HaveOccurred())
	return outcome.Version
}

// begin has the holder remove what it keeps of the job.
func (r *removal) begin() {
	r.loop.core.Advance(dispatch.Now{Monotonic: r.loop.now().Monotonic + afterRetention, Wall: time.Now()})
	r.loop.store()
}

// handle handles the next events of the holder.
func (r *removal) handle(g Gomega) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	events, err := r.node.events.Take(ctx, nil)
	g.Expect(err).NotTo(HaveOccurred())
	for _, handle := range events {
		handle(r.loop)
	}
	r.loop.publish(r.loop.core.TakeStateChanges())
}

// isKnown reports whether the holder has the job.
func (r *removal) isKnown() bool {
	r.loop.publish(r.loop.core.TakeStateChanges())
	_, known := r.node.states.Load(endedJob)
	return known
}

// Guards against UNASKED and TWICE: a job whose records were removed while the table was read started again.
func TestRemovedJobIsNotAddedByAReadThatBeganBefore(t *testing.T) {
	g := NewWithT(t)
	r := newRemoval(t, g)
	<-r.feed.read
	g.Expect(r.isKnown()).To(BeTrue())
	r.begin()
	r.handle(g)
	g.Expect(r.loop.batchInFlight).To(BeFalse())
	g.Expect(r.isKnown()).To(BeFalse())
	close(r.feed.release)
	r.handle(g)
	g.Expect(r.isKnown()).To(BeFalse())
}

func TestRemovedJobThatIsSubmittedAgainIsAdded(t *testing.T) {
	g := NewWithT(t)
	r := newRemoval(t, g)
	close(r.feed.release)
	r.handle(g)
	r.begin()
	for r.loop.batchInFlight || len(r.loop.jobRows) > 0 {
		r.handle(g)
	}
	g.Expect(r.isKnown()).To(BeFalse())
	r.write(g, table.RowWrite{RowID: r.node.jobRow(endedJob), Value: mustEncode(wire.FromJob(endedSpec()))})
	r.handle(g)
	g.Expect(r.isKnown()).To(BeTrue())
}

func TestRowsOfJobsAreForgottenThatAReadOfTheTableHasNotFound(t *testing.T) {
	g := NewWithT(t)
	l := newLoop(New(Config{Shard: "shard"}, memory.NewRows(), nil, logging.Discard().For("test")))
	l.jobRows[endedJob], l.jobRows[remarkedJob] = 1, 2
	l.keepJobRows([]table.VersionedRow{{RowID: l.node.jobRow(endedJob), Version: 1}})
	g.Expect(l.jobRows).To(Equal(map[carobkeel.JobID]table.Version{endedJob: 1}))
}
