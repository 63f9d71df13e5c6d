// Package submission handles jobs of several steps at an entry: it makes submissions
// and cancellations durable before they are acknowledged, and returns the state of a
// job.
package submission

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// maxStoreAge is the time since the last answer of the table service after
	// which submissions are refused at once. The table service answers within
	// 12 ms, an idle entry queries it every second, and one of these calls that gets
	// no answer ends after 2.5 s.
	maxStoreAge = 2700 * time.Millisecond
	// storeRetryAfter is the retry delay for a refused caller.
	storeRetryAfter = time.Second
	// answerMargin is the part of the caller's time limit that is reserved for
	// sending the answer. It is at most one part in marginParts of the time that is left,
	// as a repeat may come with little of it.
	answerMargin = 150 * time.Millisecond
	marginParts  = 4
	// patienceShare is the part of the caller's time after which a transaction without an answer
	// is given up if other entries still reach the table service, so that the caller can repeat
	// the request through one of them. A second try on a new connection fits in it.
	patienceShare = 2.0 / 3
	// retryDelay is the time between two attempts at a transaction or a read.
	retryDelay = 30 * time.Millisecond
	// marksPerSecond and marksBurst bound the cancellations of unknown jobs that this entry
	// stores: each is a row that stays for dispatch.CancelMarkRetention.
	marksPerSecond = 10
	marksBurst     = 200
	// marksRetryAfter is the retry delay for a caller whose cancellation exceeds that.
	marksRetryAfter = 2 * time.Second
)

// Scheduler is the interface of a Service to the scheduler node.
type Scheduler interface {
	State(ctx context.Context, job carobkeel.JobID) (carobkeel.JobState, bool, error)
	Waiting(ctx context.Context, queue carobkeel.QueueName) (int, error)
	NotifyCancelled(job carobkeel.JobID)
	StoreAge() time.Duration
	// LostStoreAlone reports that other entries may reach the table service, and this one
	// does not.
	LostStoreAlone() bool
	Queues() *carobkeel.QueueConfig
}

// Service accepts submissions and cancellations of jobs, and returns their states.
type Service struct {
	shard     string
	rows      table.Rows
	scheduler Scheduler
	metrics   *Metrics
	log       *log.Logger
	unsettled *unsettledJobs
	// marks bounds the cancellations of unknown jobs.
	marks *rate.Limiter
	// shedding is nil if no submission is refused for the load.
	shedding *loadShedding
	// memory returns the memory that accepted jobs take, nil if no job is refused for it. memoryRefusals
	// limits the lines about those that are.
	memory         func() holder.JobMemory
	memoryRefusals logging.RateLimit
}

// New returns a service that stores jobs in a shard.
func New(shard string, rows table.Rows, scheduler Scheduler, metrics *Metrics, logger *log.Logger) *Service {
	return &Service{
		shard: shard, rows: rows, scheduler: scheduler, metrics: metrics, log: logger,
		unsettled: newUnsettledJobs(), marks: rate.NewLimiter(marksPerSecond, marksBurst),
	}
}

// Queues returns the current configuration of the queues. Its version is zero until
// one is received.
func (s *Service) Queues() *carobkeel.QueueConfig { return s.scheduler.Queues() }

func (s *Service) jobRow(id carobkeel.JobID) table.RowID {
	return table.RowID{Table: holder.TableJobs, Part: s.shard, Key: string(id)}
}

func (s *Service) cancelRow(id carobkeel.JobID) table.RowID {
	return table.RowID{Table: holder.TableJobs, Part: s.shard, Key: string(id) + holder.CancelSuffix}
}

// Submit makes a job durable. Submitting the same job again, through any entry,
// creates no second job. The Ran of an error says whether the job may have been
// stored.
func (s *Service) Submit(ctx context.Context, job *carobkeel.JobSpec) error {
	started := time.Now()
	err := s.submit(ctx, job)
	if err != nil {
		err = s.checkEarlier(ctx, job.ID, carobkeel.AsError(err))
	}
	code := carobkeel.CodeOK
	if err != nil {
		code = carobkeel.AsError(err).Code
	}
	s.metrics.answered(job.Queue, code, time.Since(started))
	return err
}

func (s *Service) submit(ctx context.Context, job *carobkeel.JobSpec) error {
	if age := s.scheduler.StoreAge(); age > maxStoreAge {
		return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "the table service has not answered for %d ms", age.Milliseconds()).
			WithRetryAfter(storeRetryAfter)
	}
	if err := s.checkMemory(ctx, job); err != nil {
		return err
	}
	if err := s.shed(ctx, job); err != nil {
		return err
	}
	value, err := wire.FromJob(job).MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "job")
	}
	id, cancelled := s.jobRow(job.ID), s.cancelRow(job.ID)
	outcome, err := s.transact(ctx, table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: id}, {RowID: cancelled}},
		Writes:     []table.RowWrite{{RowID: id, Value: value}},
	})
	if err != nil || outcome.Applied || outcome.CurrentVersion(id) != 0 {
		return err // if the row already exists, an earlier attempt or request has stored it
	}
	return carobkeel.NewError(carobkeel.CodeJobCancelled, "job %s was cancelled before it was stored", job.ID)
}

// checkEarlier returns what is true of a job whose submission failed, as an earlier one
// with a lost answer may have been stored: nil if the holder knows the job, and an error
// with an unknown outcome if this entry had no answer to an earlier one.
func (s *Service) checkEarlier(ctx context.Context, id carobkeel.JobID, failure *carobkeel.Error) error {
	if failure.Ran != carobkeel.RanNo {
		s.unsettled.add(id, time.Now())
	}
	if failure.Code == carobkeel.CodeInvalidRequest || failure.Code == carobkeel.CodeJobCancelled {
		return failure
	}
	// The caller's time may be used up, but not the margin for the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTime(ctx))
	defer cancel()
	if _, known, err := s.scheduler.State(ctx, id); err == nil && known {
		return nil
	}
	if failure.Ran == carobkeel.RanNo && s.unsettled.contains(id, time.Now()) {
		return carobkeel.NewError(carobkeel.CodeTimeoutUnknown, "an earlier submission may have been stored: %s", failure.Detail)
	}
	return failure
}

// checkTime returns how long the check for an earlier submission may take: half of the margin
// for the answer.
func checkTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if left := time.Until(deadline); ok && left > 0 {
		return min(answerMargin, left) / 2
	}
	return answerMargin / 2
}

// transact commits a transaction, and retries it until its outcome is known or the
// caller's time limit is reached, or another entry should try.
func (s *Service) transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	ctx, cancel := s.withPatience(ctx)
	defer cancel()
	unknown := false
	for {
		outcome, err := s.rows.Transact(ctx, txn)
		if err == nil {
			return outcome, nil
		}
		if errors.Is(err, table.ErrInvalid) {
			return outcome, carobkeel.NewError(carobkeel.CodeInvalidRequest, "%v", err)
		}
		unknown = unknown || !errors.Is(err, table.ErrUnavailable)
		timer := time.NewTimer(retryDelay)
		select {
		case <-timer.C:
			continue
		case <-ctx.Done():
			timer.Stop()
		}
		if unknown {
			return outcome, carobkeel.NewError(carobkeel.CodeTimeoutUnknown, "the table service's answer is missing: %v", err)
		}
		return outcome, carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	}
}

// withPatience leaves the time for the answer, and enough to repeat the request through another
// entry if only this one has lost the table service.
func (s *Service) withPatience(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	left := time.Until(deadline)
	patience := time.Duration(patienceShare * float64(left))
	ctx, cancel := withAnswerMargin(ctx)
	if !ok || left-patience < answerMargin {
		return ctx, cancel
	}
	timer := time.AfterFunc(patience, func() {
		if s.scheduler.LostStoreAlone() {
			cancel()
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// withAnswerMargin leaves the time for the answer.
func withAnswerMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		margin := min(answerMargin, time.Until(deadline)/marginParts)
		return context.WithDeadline(ctx, deadline.Add(-margin))
	}
	return context.WithCancel(ctx)
}

// State returns the state of a job. For an unknown job the error has the code
// CodeUnknownJob.
func (s *Service) State(ctx context.Context, id carobkeel.JobID) (carobkeel.JobState, error) {
	state, known, err := s.scheduler.State(ctx, id)
	if err == nil && known {
		return state, nil
	}
	return s.storedState(ctx, id)
}

// storedState reads the state of a job from the table service.
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
		return s.pendingUnlessCancelled(ctx, id)
	}
	progress, err := wire.DecodeProgress(row.Value, id)
	if err != nil {
		s.log.Error().Err(err).Str("job", string(id)).Msg("progress row left out")
	} else if progress.State.IsFinal() {
		return progress.State, nil
	}
	return s.unlessCancelled(ctx, id, carobkeel.JobActive)
}

func (s *Service) pendingUnlessCancelled(ctx context.Context, id carobkeel.JobID) (carobkeel.JobState, error) {
	return s.unlessCancelled(ctx, id, carobkeel.JobPending)
}

func (s *Service) unlessCancelled(ctx context.Context, id carobkeel.JobID, state carobkeel.JobState) (carobkeel.JobState, error) {
	_, cancelled, err := s.get(ctx, s.cancelRow(id))
	if cancelled {
		state = carobkeel.JobCancelled
	}
	return state, err
}

// get reads a row, and retries until the caller's time limit is reached.
func (s *Service) get(ctx context.Context, id table.RowID) (table.VersionedRow, bool, error) {
	ctx, cancel := withAnswerMargin(ctx)
	defer cancel()
	for {
		row, found, err := s.rows.Get(ctx, id)
		if err == nil {
			return row, found, nil
		}
		timer := time.NewTimer(retryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return row, false, carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
		}
	}
}

// Cancel makes the cancellation of a job durable. For an unknown job the error has
// the code CodeUnknownJob. No submission of that job can be stored from then on, for
// dispatch.CancelMarkRetention.
func (s *Service) Cancel(ctx context.Context, id carobkeel.JobID) error {
	state, err := s.State(ctx, id)
	switch {
	case err != nil && carobkeel.AsError(err).Code == carobkeel.CodeUnknownJob:
		return s.cancelUnknown(ctx, id, err)
	case err != nil:
		return err
	case state.IsFinal():
		return nil
	}
	return s.cancelStored(ctx, id)
}

// cancelStored makes the cancellation of a job durable whose row may be present.
func (s *Service) cancelStored(ctx context.Context, id carobkeel.JobID) error {
	if _, err := s.transact(ctx, table.RowTransaction{Writes: []table.RowWrite{s.cancelWrite(id)}}); err != nil {
		return err
	}
	s.scheduler.NotifyCancelled(id)
	return nil
}

// cancelUnknown makes the cancellation of a job durable whose row is absent, and returns the given
// error. A submission of the job may still be under way, through whichever entry.
func (s *Service) cancelUnknown(ctx context.Context, id carobkeel.JobID, unknown error) error {
	if !s.marks.Allow() {
		s.metrics.marksRefused.Inc(1)
		return carobkeel.NewError(carobkeel.CodeOverloaded, "too many unknown jobs are cancelled").WithRetryAfter(marksRetryAfter)
	}
	outcome, err := s.transact(ctx, table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: s.jobRow(id)}},
		Writes:     []table.RowWrite{s.cancelWrite(id)},
	})
	switch {
	case err != nil:
		return err
	case !outcome.Applied: // it was stored meanwhile
		return s.cancelStored(ctx, id)
	}
	s.metrics.marks.Inc(1)
	return unknown
}

func (s *Service) cancelWrite(id carobkeel.JobID) table.RowWrite {
	return table.RowWrite{RowID: s.cancelRow(id), Value: []byte{1}}
}

// WaitingCount returns the number of jobs of a queue that have not started.
func (s *Service) WaitingCount(ctx context.Context, queue carobkeel.QueueName) (int, error) {
	n, err := s.scheduler.Waiting(ctx, queue)
	if err != nil {
		return 0, carobkeel.NewError(carobkeel.CodeDraining, "%v", err).WithRetryAfter(storeRetryAfter)
	}
	return n, nil
}
