// Package jobs makes callers' submissions and cancellations of jobs durable.
// Requests that arrive within a short time share a transaction, so that a burst of
// them puts little load on the table service.
package jobs

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/table"
)

// Config configures a Service.
type Config struct {
	Table table.Table
	// Incarnation is the incarnation of this process. It makes the ids of its jobs
	// unique.
	Incarnation carobkeel.Incarnation
	// Shards lists the shards, all of one data centre, that jobs are distributed to.
	Shards []scheduler.ShardID
	// Delay is the time that a request waits for others to share its transaction.
	Delay time.Duration
	// Timeout limits the time for committing one transaction.
	Timeout time.Duration
	// MaxJobs is the maximum number of submissions in one transaction, MaxRequests
	// the maximum number of requests.
	MaxJobs, MaxRequests int
}

// Defaults of Config.
const (
	DefaultDelay       = 100 * time.Millisecond
	DefaultTimeout     = 5 * time.Second
	DefaultMaxJobs     = 128
	DefaultMaxRequests = 2048
)

// Service accepts submissions and cancellations of jobs from callers. All methods
// are safe for use by several goroutines.
type Service struct {
	config  Config
	next    atomic.Uint64
	writers map[scheduler.ShardID]*writer
}

// New returns a service whose writers run until the context ends.
func New(ctx context.Context, config Config) (*Service, error) {
	if len(config.Shards) == 0 {
		return nil, errors.New("job service: no shards configured")
	}
	s := &Service{config: config, writers: make(map[scheduler.ShardID]*writer)}
	for _, shard := range config.Shards {
		w := &writer{
			config: config, shard: shard, store: store.New(config.Table, shard),
			requests: make(chan *request, config.MaxRequests),
		}
		s.writers[shard] = w
		go w.run(ctx)
	}
	return s, nil
}

// Submit creates a job of the catalogue entry, makes it durable and returns it.
// Every error is a *carobkeel.Error. Its Ran is RanUnknown if the job may have been
// stored.
func (s *Service) Submit(ctx context.Context, entry *carobkeel.Entry) (scheduler.Job, error) {
	shard := s.nextShard()
	job, err := scheduler.NewJob("", entry)
	if err != nil {
		return scheduler.Job{}, err
	}
	r := &request{job: &job, done: make(chan error, 1)}
	if err := s.writers[shard].enqueue(ctx, r); err != nil {
		return scheduler.Job{}, err
	}
	return *r.job, nil
}

// Get returns the stored state of a job.
func (s *Service) Get(ctx context.Context, id carobkeel.JobID) (scheduler.Job, error) {
	shard, ok := scheduler.ShardOf(id)
	if !ok {
		return scheduler.Job{}, unknownJobError(id)
	}
	job, err := store.New(s.config.Table, shard).Job(ctx, id)
	if err != nil {
		return scheduler.Job{}, asError(err)
	}
	return job, nil
}

// Cancel makes the cancellation of a job durable. The job's state shows when its run
// has ended.
func (s *Service) Cancel(ctx context.Context, id carobkeel.JobID) error {
	shard, ok := scheduler.ShardOf(id)
	if !ok {
		return unknownJobError(id)
	}
	w, ok := s.writers[shard]
	if !ok {
		return unknownJobError(id)
	}
	return w.enqueue(ctx, &request{cancel: id, done: make(chan error, 1)})
}

// nextShard distributes the jobs over the shards. MaxJobs consecutive jobs go to the
// same shard, so that they can share a transaction.
func (s *Service) nextShard() scheduler.ShardID {
	index := s.next.Add(1) / uint64(s.config.MaxJobs)
	return s.config.Shards[index%uint64(len(s.config.Shards))]
}

func unknownJobError(id carobkeel.JobID) error {
	return carobkeel.NewError(carobkeel.CodeUnknownJob, "there is no job %s", id)
}

func asError(err error) error {
	var coded *carobkeel.Error
	if errors.As(err, &coded) {
		return coded
	}
	e := carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err)
	if errors.Is(err, table.ErrUnsettled) || errors.Is(err, context.DeadlineExceeded) {
		return e.WithRan(carobkeel.RanUnknown)
	}
	return e
}

// request is a submission or a cancellation. Either job or cancel is set.
type request struct {
	job    *scheduler.Job
	cancel carobkeel.JobID
	// done receives the outcome. It is buffered, so that the writer never blocks.
	done chan error
}

// writer writes the requests for one shard, one transaction at a time.
type writer struct {
	config   Config
	shard    scheduler.ShardID
	store    *store.Store
	requests chan *request
	batches  uint64
}

func (w *writer) enqueue(ctx context.Context, r *request) error {
	select {
	case w.requests <- r:
	default:
		return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "too many requests wait for the table service")
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return carobkeel.NewError(carobkeel.CodeTimeoutUnknown, "the request was not settled in time")
	}
}

func (w *writer) run(ctx context.Context) {
	for {
		batch := w.collect(ctx)
		if batch == nil {
			return
		}
		err := w.write(ctx, batch)
		for _, r := range batch {
			r.done <- err
		}
	}
}

// collect waits for a request, and then for more until the delay has passed or the
// transaction is full. It returns nil if the context ends before the first request.
func (w *writer) collect(ctx context.Context) []*request {
	var batch []*request
	jobs := 0
	add := func(r *request) {
		batch = append(batch, r)
		if r.job != nil {
			jobs++
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case r := <-w.requests:
		add(r)
	}
	timer := time.NewTimer(w.config.Delay)
	defer timer.Stop()
	for jobs < w.config.MaxJobs && len(batch) < w.config.MaxRequests {
		select {
		case r := <-w.requests:
			add(r)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// write commits one transaction. It repeats the commit while the outcome is unknown,
// until the time limit.
func (w *writer) write(ctx context.Context, batch []*request) error {
	txn, err := w.store.RequestTransaction(w.build(batch))
	if err != nil {
		return asError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, w.config.Timeout)
	defer cancel()
	for {
		_, err = w.store.Commit(ctx, txn)
		if !errors.Is(err, table.ErrUnsettled) || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return asError(err)
	}
	return nil
}

// build assigns the ids of the jobs and returns the contents of the transaction. The
// ids of jobs in one transaction have a common prefix, so that the holder of the
// shard finds them with one read.
func (w *writer) build(batch []*request) store.Request {
	w.batches++
	key := fmt.Sprintf("%s-%x", w.config.Incarnation, w.batches)
	r := store.Request{Key: key}
	for i, item := range batch {
		if item.job == nil {
			r.Cancelled = append(r.Cancelled, item.cancel)
			continue
		}
		r.Submitted = string(scheduler.NewJobID(w.shard, key+"-"))
		item.job.ID = scheduler.NewJobID(w.shard, fmt.Sprintf("%s-%x", key, i))
		r.Jobs = append(r.Jobs, *item.job)
	}
	return r
}
