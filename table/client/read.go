package client

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
)

// generation is incremented by each write of this process. Equal reads share a
// call only within a generation, so that a process reads its own writes.
type generation struct{ atomic.Uint64 }

// readResult is the answer to a Get.
type readResult struct {
	row table.Row
	ok  bool
}

// Get implements table.Table. Equal reads at the same time share one call.
func (v *view) Get(ctx context.Context, key string) (table.Row, bool, error) {
	result, err := shareRead(ctx, v, "get\x00"+key, func(ctx context.Context) (readResult, error) {
		row, ok, err := v.client.raw.Get(ctx, key)
		return readResult{row: row, ok: ok}, err
	})
	return result.row, result.ok, err
}

// Range implements table.Table. Equal reads at the same time share one call.
// The rows are shared and must not be changed.
func (v *view) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	key := "range\x00" + prefix + "\x00" + after + "\x00" + strconv.Itoa(limit)
	return shareRead(ctx, v, key, func(ctx context.Context) ([]table.Row, error) {
		return v.client.raw.Range(ctx, prefix, after, limit)
	})
}

// shareRead joins the running read of the key or starts one. The shared read
// continues if the caller that started it cancels.
func shareRead[T any](ctx context.Context, v *view, key string, read func(context.Context) (T, error)) (T, error) {
	c, begin := v.client, time.Now()
	defer func() { c.metrics.recordRead(v.purpose, time.Since(begin)) }()
	key = strconv.FormatUint(c.generation.Load(), 10) + "\x00" + strconv.Itoa(int(v.purpose)) + "\x00" + key
	c.metrics.Reads.Inc(1)
	flight := c.flights.DoChan(key, func() (any, error) {
		shared, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.Timeout)
		defer cancel()
		return retryRead(shared, v, read)
	})
	var none T
	select {
	case result := <-flight:
		if result.Err != nil {
			return none, result.Err
		}
		return result.Val.(T), nil
	case <-ctx.Done():
		return none, errors.Wrap(table.ErrUnavailable, ctx.Err().Error())
	}
}

func retryRead[T any](ctx context.Context, v *view, read func(context.Context) (T, error)) (T, error) {
	delays := v.client.newBackoff()
	for {
		result, err := readOnce(ctx, v, read)
		if err == nil || !errors.Is(err, table.ErrUnavailable) {
			return result, err
		}
		if clock.Sleep(ctx, delays.NextBackOff()) != nil {
			return result, err
		}
	}
}

func readOnce[T any](ctx context.Context, v *view, read func(context.Context) (T, error)) (T, error) {
	c := v.client
	done, err := c.admit(ctx, c.budgets[v.purpose].reads, c.reads)
	if err != nil {
		var none T
		return none, err
	}
	attempt, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	c.metrics.ReadCalls.Inc(1)
	result, err := read(attempt)
	done(breakerResult(ctx, err))
	return result, err
}
