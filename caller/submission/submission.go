// Package submission is an entry's part in jobs of steps: it makes submissions
// and cancellations durable before they are acknowledged, and answers what has
// become of a job.
package submission

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// storeOutage is how long the table service may be silent before a
	// submission is refused at once: it answers within 12 ms, and an idle entry
	// asks it every second.
	storeOutage = 2500 * time.Millisecond
	// retryAfterOutage is when a refused caller should come back.
	retryAfterOutage = time.Second
	// answerMargin is kept of a caller's time for the answer's way back.
	answerMargin = 150 * time.Millisecond
	// retryPause is the time between two tries of one transaction.
	retryPause = 30 * time.Millisecond
)

// Scheduler is what a Service needs of the node that schedules.
type Scheduler interface {
	State(ctx context.Context, job carobkeel.JobID) (carobkeel.JobState, bool, error)
	Waiting(ctx context.Context, queue carobkeel.QueueName) (int, error)
	NotifyCancelled(job carobkeel.JobID)
	StoreAge() time.Duration
	Queues() *carobkeel.QueueConfig
}

// Service takes submissions. Use New.
type Service struct {
	shard     string
	rows      table.Rows
	scheduler Scheduler
	metrics   *Metrics
	log       *log.Logger
}

// New returns a service that stores jobs in a shard.
func New(shard string, rows table.Rows, scheduler Scheduler, metrics *Metrics, logger *log.Logger) *Service {
	return &Service{shard: shard, rows: rows, scheduler: scheduler, metrics: metrics, log: logger}
}

// Queues returns the configuration in force. Its version is zero before the
// first one.
func (s *Service) Queues() *carobkeel.QueueConfig { return s.scheduler.Queues() }

func (s *Service) jobRow(id carobkeel.JobID) table.RowID {
	return table.RowID{Table: holder.TableJobs, Part: s.shard, Key: string(id)}
}

func (s *Service) cancelRow(id carobkeel.JobID) table.RowID {
	return table.RowID{Table: holder.TableJobs, Part: s.shard, Key: string(id) + holder.CancelSuffix}
}

// Submit makes a job durable. The same job may be submitted again, through any
// entry, and stays one job. An error's Ran says whether the job may have been
// stored all the same.
func (s *Service) Submit(ctx context.Context, job *carobkeel.JobSpec) error {
	begin := time.Now()
	err := s.submit(ctx, job)
	code := carobkeel.CodeOK
	if err != nil {
		code = carobkeel.AsError(err).Code
	}
	s.metrics.answered(job.Queue, code, time.Since(begin))
	return err
}

func (s *Service) submit(ctx context.Context, job *carobkeel.JobSpec) error {
	if age := s.scheduler.StoreAge(); age > storeOutage {
		return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "the table service has not answered for %d ms", age.Milliseconds()).
			WithRetryAfter(retryAfterOutage)
	}
	value, err := wire.FromJob(job).MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "job")
	}
	id := s.jobRow(job.ID)
	// Where the row is there already, an earlier try or request has stored it.
	_, err = s.transact(ctx, table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: id}},
		Writes:     []table.RowWrite{{RowID: id, Value: value}},
	})
	return err
}

// transact carries a transaction out, and repeats it until its effect is known
// or the caller's time is over.
func (s *Service) transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	ctx, cancel := withMargin(ctx)
	defer cancel()
	unsettled := false
	for {
		outcome, err := s.rows.Transact(ctx, txn)
		if err == nil {
			return outcome, nil
		}
		if errors.Is(err, table.ErrInvalid) {
			return outcome, carobkeel.NewError(carobkeel.CodeInvalidRequest, "%v", err)
		}
		unsettled = unsettled || !errors.Is(err, table.ErrUnavailable)
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
			continue
		case <-ctx.Done():
			timer.Stop()
		}
		if unsettled {
			return outcome, carobkeel.NewError(carobkeel.CodeTimeoutUnknown, "the table service's answer is missing: %v", err)
		}
		return outcome, carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err).WithRetryAfter(retryAfterOutage)
	}
}

func withMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-answerMargin))
	}
	return context.WithCancel(ctx)
}

// State returns what has become of a job. An unknown job is an error with
// CodeUnknownJob.
func (s *Service) State(ctx context.Context, id carobkeel.JobID) (carobkeel.JobState, error) {
	state, known, err := s.scheduler.State(ctx, id)
	if err == nil && known {
		return state, nil
	}
	return s.storedState(ctx, id)
}

// storedState reads what the table service has of a job.
func (s *Service) storedState(ctx context.Context, id carobkeel.JobID) (carobkeel.JobState, error) {
	_, found, err := s.get(ctx, s.jobRow(id))
	if err != nil {
		return 0, err
	}
	if !found {
		return 0, carobkeel.NewError(carobkeel.CodeUnknownJob, "job %s is not known", id)
	}
	row, found, err := s.get(ctx, table.RowID{Table: holder.TableProgress, Part: s.shard, Key: string(id)})
	if err != nil {
		return 0, err
	}
	if !found {
		return s.cancelledOrPending(ctx, id)
	}
	var progress wire.ProgressRow
	if _, err := progress.UnmarshalMsg(row.Value); err != nil {
		return 0, errors.Wrap(err, "progress")
	}
	if state := carobkeel.JobState(progress.State); state.IsFinal() {
		return state, nil
	}
	return s.cancelledOr(ctx, id, carobkeel.JobActive)
}

func (s *Service) cancelledOrPending(ctx context.Context, id carobkeel.JobID) (carobkeel.JobState, error) {
	return s.cancelledOr(ctx, id, carobkeel.JobPending)
}

func (s *Service) cancelledOr(ctx context.Context, id carobkeel.JobID, state carobkeel.JobState) (carobkeel.JobState, error) {
	_, cancelled, err := s.get(ctx, s.cancelRow(id))
	if cancelled {
		state = carobkeel.JobCancelled
	}
	return state, err
}

// get reads a row, and tries again until the caller's time is over.
func (s *Service) get(ctx context.Context, id table.RowID) (table.VersionedRow, bool, error) {
	ctx, cancel := withMargin(ctx)
	defer cancel()
	for {
		row, found, err := s.rows.Get(ctx, id)
		if err == nil {
			return row, found, nil
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return row, false, carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err).WithRetryAfter(retryAfterOutage)
		}
	}
}

// Cancel makes the cancelling of a job durable. An unknown job is an error with
// CodeUnknownJob.
func (s *Service) Cancel(ctx context.Context, id carobkeel.JobID) error {
	state, err := s.State(ctx, id)
	if err != nil {
		return err
	}
	if state.IsFinal() {
		return nil
	}
	_, err = s.transact(ctx, table.RowTransaction{Writes: []table.RowWrite{{RowID: s.cancelRow(id), Value: []byte{1}}}})
	if err != nil {
		return err
	}
	s.scheduler.NotifyCancelled(id)
	return nil
}

// WaitingCount returns how many jobs of a queue have not begun.
func (s *Service) WaitingCount(ctx context.Context, queue carobkeel.QueueName) (int, error) {
	n, err := s.scheduler.Waiting(ctx, queue)
	if err != nil {
		return 0, carobkeel.NewError(carobkeel.CodeDraining, "%v", err).WithRetryAfter(retryAfterOutage)
	}
	return n, nil
}
