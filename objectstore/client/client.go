// Package client is the client of the object store for all components. Client
// adds deadlines, retries with back-off and a circuit breaker to any
// objectstore.Store; Snapshots saves and loads snapshots through one.
package client

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/objectstore"
)

// Config is the settings of a client.
type Config struct {
	// AttemptTimeout is the time limit of one call to the store.
	AttemptTimeout time.Duration
	// Timeout is the time limit of a call with its retries.
	Timeout time.Duration
	// FirstBackoff and MaxBackoff bound the time between retries.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// BreakerFailures is the number of consecutive failures that open the
	// breaker, and BreakerTimeout the time for which it stays open.
	BreakerFailures uint32
	BreakerTimeout  time.Duration
}

// DefaultConfig returns the settings for objects of some megabytes.
func DefaultConfig() Config {
	return Config{
		AttemptTimeout:  5 * time.Second,
		Timeout:         20 * time.Second,
		FirstBackoff:    50 * time.Millisecond,
		MaxBackoff:      2 * time.Second,
		BreakerFailures: 5,
		BreakerTimeout:  2 * time.Second,
	}
}

// Client is an objectstore.Store. Every call is idempotent and is retried until
// it succeeds or times out. A put that failed may still take effect later; use a
// different name for each content, as Snapshots does.
type Client struct {
	raw     objectstore.Store
	config  Config
	breaker *gobreaker.TwoStepCircuitBreaker[struct{}]
	metrics *Metrics
}

// New returns a client of raw.
func New(raw objectstore.Store, config Config, metrics *Metrics) *Client {
	return &Client{
		raw:     raw,
		config:  config,
		metrics: metrics,
		breaker: gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
			Timeout: config.BreakerTimeout,
			ReadyToTrip: func(counts gobreaker.Counts) bool {
				return counts.ConsecutiveFailures >= config.BreakerFailures
			},
			IsSuccessful: func(err error) bool { return !errors.Is(err, objectstore.ErrUnavailable) },
			IsExcluded:   func(err error) bool { return errors.Is(err, context.Canceled) },
		}),
	}
}

// Put implements objectstore.Store.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := repeat(ctx, c, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.raw.Put(ctx, name, data)
	})
	return err
}

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return repeat(ctx, c, func(ctx context.Context) ([]byte, error) { return c.raw.Get(ctx, name) })
}

// List implements objectstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	return repeat(ctx, c, func(ctx context.Context) ([]string, error) { return c.raw.List(ctx, prefix) })
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := repeat(ctx, c, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.raw.Delete(ctx, name)
	})
	return err
}

// repeat retries the call until it succeeds, times out, or fails with an error
// other than ErrUnavailable.
func repeat[T any](ctx context.Context, c *Client, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = c.config.FirstBackoff
	delays.MaxInterval = c.config.MaxBackoff
	for {
		result, err := once(ctx, c, call)
		if !errors.Is(err, objectstore.ErrUnavailable) {
			return result, err
		}
		if clock.Sleep(ctx, delays.NextBackOff()) != nil {
			c.metrics.Failures.Inc(1)
			return result, err
		}
	}
}

func once[T any](ctx context.Context, c *Client, call func(context.Context) (T, error)) (T, error) {
	done, err := c.breaker.Allow()
	if err != nil {
		var none T
		return none, errors.Wrap(objectstore.ErrUnavailable, err.Error())
	}
	attempt, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	c.metrics.Calls.Inc(1)
	result, err := call(attempt)
	if ctx.Err() != nil {
		done(context.Canceled) // the caller's context is done; not a failure of the store
	} else {
		done(err)
	}
	return result, err
}
