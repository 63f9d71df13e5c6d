// Package client is the client that every part uses of the table service. It
// wraps any table.Table, usually one from package httptable, and adds budgets
// by purpose, deadlines, retries with back-off, circuit breakers, shared reads
// and the settling of transactions whose answer was lost.
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
	// Processes is how many processes share each budget.
	Processes int
	// AttemptTimeout is how long one call to the service may take.
	AttemptTimeout time.Duration
	// Timeout is how long a call may take with its retries where the caller's
	// context has no earlier deadline.
	Timeout time.Duration
	// FirstBackoff and MaxBackoff bound the time between retries.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// BreakerFailures is how many failures in a row open a breaker, and
	// BreakerTimeout how long it stays open.
	BreakerFailures uint32
	BreakerTimeout  time.Duration
}

// DefaultConfig returns the settings for a service some milliseconds away.
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

// Client is shared by all parts of a process. A transaction's id may be used
// through one client only: what it knows of an unsettled id is in its memory.
type Client struct {
	raw        table.Table
	config     Config
	metrics    *Metrics
	budgets    []budget
	reads      *breaker
	commits    *breaker
	flights    singleflight.Group
	generation generation
	unsettled  *ledger
}

// breaker lets calls through or says at once that the service is down.
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
		unsettled: newLedger(),
	}
	for _, purpose := range table.Purposes() {
		share := purpose.Budget().Divide(config.Processes)
		c.budgets = append(c.budgets, budget{writes: newLimiter(share.Writes), reads: newLimiter(share.Reads)})
	}
	return c
}

// newLimiter returns a limiter whose burst is one second's share, so that the
// fleet's bursts add up to what the service takes in a second. A share below
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

// For returns the table as one purpose sees it.
func (c *Client) For(purpose table.Purpose) table.Table {
	return &view{client: c, purpose: purpose}
}

// view is the client with the budget of one purpose.
type view struct {
	client  *Client
	purpose table.Purpose
}

// admit waits for the budget and asks the breaker. Where it returns an error
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

// cause returns context.Canceled where the caller's time ended, which does not
// count against the service, and err otherwise.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Canceled
	}
	return err
}
