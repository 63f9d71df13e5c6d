// Package client is the client of the table service for all components. It wraps
// any table.Table, usually one from package httptable, and adds budgets by
// purpose, deadlines, retries with back-off, circuit breakers, coalesced reads
// and the settlement of transactions whose answer was lost.
package client

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/carobkeel/carobkeel/table"
)

// Config is the settings of a client.
type Config struct {
	// Processes is the number of processes that share each budget.
	Processes int
	// AttemptTimeout is the time limit of one call to the service.
	AttemptTimeout time.Duration
	// Timeout is the time limit of a call with its retries, unless the caller's
	// context has an earlier deadline.
	Timeout time.Duration
	// FirstBackoff and MaxBackoff bound the time between retries.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// BreakerFailures is the number of consecutive failures that open a
	// breaker, and BreakerTimeout the time for which it stays open.
	BreakerFailures uint32
	BreakerTimeout  time.Duration
}

// DefaultConfig returns the settings for a service with a round-trip time of
// some milliseconds.
func DefaultConfig() Config {
	return Config{
		Processes:       1,
		AttemptTimeout:  time.Second,
		Timeout:         5 * time.Second,
		FirstBackoff:    20 * time.Millisecond,
		MaxBackoff:      time.Second,
		BreakerFailures: 5,
		BreakerTimeout:  time.Second,
	}
}

// Client is shared by all components of a process. A transaction id may be used
// through one client only: the client keeps the state of unsettled ids in memory.
type Client struct {
	raw        table.Table
	config     Config
	metrics    *Metrics
	budgets    []budget
	reads      *breaker
	commits    *breaker
	flights    singleflight.Group
	generation generation
	unsettled  *unsettledTransactions
}

// breaker admits calls, or rejects them immediately while the service is down.
type breaker = gobreaker.TwoStepCircuitBreaker[struct{}]

// budget is this process's share of one purpose.
type budget struct {
	writes, reads *rate.Limiter
}

// New returns a client of raw.
func New(raw table.Table, config Config, metrics *Metrics) *Client {
	c := &Client{
		raw:       raw,
		config:    config,
		metrics:   metrics,
		reads:     newBreaker(config),
		commits:   newBreaker(config),
		unsettled: newUnsettledTransactions(),
	}
	for _, purpose := range table.Purposes() {
		share := purpose.Budget().Divide(config.Processes)
		c.budgets = append(c.budgets, budget{writes: newLimiter(share.Writes), reads: newLimiter(share.Reads)})
	}
	return c
}

// newLimiter returns a limiter whose burst is one second's share, so that the
// bursts of the fleet add up to the service's limit for one second. A share below
// one a second has a burst of one.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(0, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func newBreaker(config Config) *breaker {
	return gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
		Timeout: config.BreakerTimeout,
		ReadyToTrip: func(counts gobreaker.Counts) bool {
			return counts.ConsecutiveFailures >= config.BreakerFailures
		},
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) },
	})
}

// For returns the table with the budget of one purpose.
func (c *Client) For(purpose table.Purpose) table.Table {
	return &view{client: c, purpose: purpose}
}

// view is the client with the budget of one purpose.
type view struct {
	client  *Client
	purpose table.Purpose
}

// admit waits for the budget and checks the breaker. If it returns an error,
// nothing was sent.
func (c *Client) admit(ctx context.Context, limiter *rate.Limiter, b *breaker) (func(error), error) {
	if err := limiter.Wait(ctx); err != nil {
		c.metrics.BudgetRefusals.Inc(1)
		return nil, errors.Wrap(table.ErrUnavailable, err.Error())
	}
	done, err := b.Allow()
	if err != nil {
		c.metrics.BreakerRefusals.Inc(1)
		return nil, errors.Wrap(table.ErrUnavailable, err.Error())
	}
	return done, nil
}

func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.config.FirstBackoff
	b.MaxInterval = c.config.MaxBackoff
	return b
}

// breakerResult returns context.Canceled if the caller's context is done, which
// the breaker does not count as a failure, and err otherwise.
func breakerResult(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Canceled
	}
	return err
}
