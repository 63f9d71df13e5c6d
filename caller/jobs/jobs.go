// Package jobs makes callers' submissions and cancellations of jobs durable.
// Requests that come close together share a transaction, so that a wave of them
// costs the table service little.
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

// Config is what a Service works with.
type Config struct {
	Table table.Table
	// Self keeps the ids of this process's jobs apart from all others'.
	Self carobkeel.Incarnation
	// Shards lists the shards that jobs are spread over, of one data centre.
	Shards []scheduler.ShardID
	// Delay is how long a request waits for others to share its transaction.
	Delay time.Duration
	// Timeout bounds the wait for an unsettled transaction.
	Timeout time.Duration
	// MaxJobs and MaxCancelled bound one transaction.
	MaxJobs, MaxCancelled int
}

// Defaults of Config.
const (
	DefaultDelay        = 100 * time.Millisecond
	DefaultTimeout      = 5 * time.Second
	DefaultMaxJobs      = 128
	DefaultMaxCancelled = 2048
)

// Service takes jobs from callers. All methods are safe for use by several
// goroutines.
type Service struct {
	config  Config
	next    atomic.Uint64
	writers map[scheduler.ShardID]*writer
}

// New returns a service whose writers run until the context ends.
func New(ctx context.Context, config Config) (*Service, error) {
	if len(config.Shards) == 0 {
		return nil, errors.New("a job service needs a shard")
	}
	s := &Service{config: config, writers: make(map[scheduler.ShardID]*writer)}
	for _, shard := range config.Shards {
		w := &writer{
			config: config, shard: shard, store: store.New(config.Table, shard),
			requests: make(chan *request, config.MaxCancelled),
		}
		s.writers[shard] = w
		go w.run(ctx)
	}
	return s, nil
}

// Submit makes a job of the catalogue's entry durable and returns it. Every
// error is a *carobkeel.Error; one whose outcome is unknown says so.
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

// Get returns a job as it was last made durable.
func (s *Service) Get(ctx context.Context, id carobkeel.JobID) (scheduler.Job, error) {
	shard, ok := scheduler.ShardOf(id)
	if !ok {
		return scheduler.Job{}, unknown(id)
	}
	job, err := store.New(s.config.Table, shard).Job(ctx, id)
	if err != nil {
		return scheduler.Job{}, coded(err)
	}
	return job, nil
}

// Cancel makes the cancellation of a job durable. The job's state tells when
// its copy has ended.
func (s *Service) Cancel(ctx context.Context, id carobkeel.JobID) error {
	shard, ok := scheduler.ShardOf(id)
	if !ok {
		return unknown(id)
	}
	w, ok := s.writers[shard]
	if !ok {
		return unknown(id)
	}
	return w.enqueue(ctx, &request{cancel: id, done: make(chan error, 1)})
}

// nextShard spreads the jobs over the shards. Neighbours go to the same one, to
// share a transaction.
func (s *Service) nextShard() scheduler.ShardID {
	turn := s.next.Add(1) / uint64(s.config.MaxJobs)
	return s.config.Shards[turn%uint64(len(s.config.Shards))]
}

func unknown(id carobkeel.JobID) error {
	return carobkeel.NewError(carobkeel.CodeUnknownJob, "there is no job %s", id)
}

func coded(err error) error {
	var known *carobkeel.Error
	if errors.As(err, &known) {
		return known
	}
	e := carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err)
	if errors.Is(err, table.ErrUnsettled) || errors.Is(err, context.DeadlineExceeded) {
		return e.WithRan(carobkeel.RanUnknown)
	}
	return e
}

// request is one caller's wish. Either job or cancel is set.
type request struct {
	job    *scheduler.Job
	cancel carobkeel.JobID
	// done gets the outcome. It has room for it, so the writer never waits.
	done chan error
}

// writer writes the requests to one shard, one transaction at a time.
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

// collect waits for a request and then for others until the delay has passed or
// a transaction is full. It returns nil once the context ends.
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
	for jobs < w.config.MaxJobs && len(batch) < w.config.MaxCancelled {
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

// write commits one transaction until it is settled or the time runs out.
func (w *writer) write(ctx context.Context, batch []*request) error {
	txn, err := w.store.RequestTransaction(w.build(batch))
	if err != nil {
		return coded(err)
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
		return coded(err)
	}
	return nil
}

// build names the jobs: those of one transaction have ids with a common
// beginning, so that the holder finds them by one read.
func (w *writer) build(batch []*request) store.Request {
	w.batches++
	key := fmt.Sprintf("%s-%x", w.config.Self, w.batches)
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
