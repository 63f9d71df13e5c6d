// Package configuration keeps the operator's configuration in force at an entry: it
// follows the row that holds it and applies each newer version.
package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// pollTimeout is how long a poll for a new configuration waits.
	pollTimeout = time.Second
	// maxQuickRead is the longest transfer during which no further version is expected to
	// have been written.
	maxQuickRead = 100 * time.Millisecond
	// firstPause and maxPause bound the delay after a failed call.
	firstPause = 30 * time.Millisecond
	maxPause   = 300 * time.Millisecond
	// ageInterval is the interval at which the metric of the age is updated.
	ageInterval = 5 * time.Second
)

// Decode decodes a row. The second result is false if the row holds no configuration.
type Decode func(row table.VersionedRow) (*carobkeel.QueueConfig, bool, error)

// Config says what a Reader reads and whom it tells.
type Config struct {
	Rows table.Rows
	// Row is the row that holds the configuration.
	Row    table.RowID
	Decode Decode
	// Apply is called with each configuration that is read, which may be older than the
	// one in force.
	Apply   func(*carobkeel.QueueConfig)
	Metrics *Metrics
	Log     *log.Logger
	// Now reads a clock that advances while the host is suspended. It is clock.Boottime
	// where it is nil.
	Now func() time.Duration
}

// Reader follows the configuration. All methods are safe for use by several goroutines.
//
// It needs only the newest version. The feed of changes has each version in full, so on a
// slow link it would fall behind. It therefore polls the feed only while the version that
// it has is the newest, and reads the row itself, if that has changed, until it is.
type Reader struct {
	config Config
	// confirmedAt is when the last call was sent whose answer confirmed the
	// configuration in force, by Config.Now.
	confirmedAt atomic.Int64

	// The following are used on Run's goroutine only.

	// read is the next call.
	read readKind
	// failing reports that a call failed since the last poll that succeeded.
	failing bool
	// ifChangedFailed reports that the last call of that kind failed.
	ifChangedFailed bool
	// rowVersion is the version of the row that was read last, zero if there was none.
	rowVersion table.Version
	// feedVersion is the version from which the feed is polled.
	feedVersion table.Version
}

// NewReader returns a reader. Use Run.
func NewReader(config Config) *Reader {
	if config.Now == nil {
		config.Now = clock.Boottime
	}
	r := &Reader{config: config}
	r.confirmedAt.Store(int64(config.Now()))
	return r
}

// Age returns the time since the last call was sent whose answer confirmed the
// configuration in force, or since the reader was made. No version that was stored longer
// ago is missing, but for one that can't be decoded.
func (r *Reader) Age() time.Duration { return r.config.Now() - time.Duration(r.confirmedAt.Load()) }

// Run follows the configuration until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	go r.updateAge(ctx)
	pause := newPause()
	for ctx.Err() == nil {
		kind := r.read
		err := r.readOnce(ctx)
		if err != nil {
			r.failed(ctx, err)
			_ = clock.Sleep(ctx, pause.NextBackOff()) // the loop ends when ctx does
			continue
		}
		if kind != pollFeed {
			continue // the feed may still be away
		}
		pause.Reset()
		if r.failing {
			r.config.Log.Info().Msg("following the configuration again")
		}
		r.failing = false
	}
}

// failed logs the first of several failures and chooses the next call.
func (r *Reader) failed(ctx context.Context, err error) {
	if !r.failing && ctx.Err() == nil {
		r.config.Log.Warn().Err(err).Stringer("read", r.read).Msg("failed to read the configuration")
	}
	r.failing = true
	r.ifChangedFailed = r.ifChangedFailed || r.read == readIfChanged
	r.read = afterFailure(r.read, err)
}

// afterFailure returns the call to make after a failed one. The feed may hold several
// versions by then. An answer to readIfChanged may be lost where one to readRow isn't.
func afterFailure(failed readKind, err error) readKind {
	if failed == pollFeed && !errors.Is(err, table.ErrHistoryLost) {
		return readIfChanged
	}
	return readRow
}

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, maxPause
	return pause
}

func (r *Reader) updateAge(ctx context.Context) {
	for clock.Sleep(ctx, ageInterval) == nil {
		r.config.Metrics.recordAge(r.Age())
	}
}

// readOnce makes one call, applies what it returns and chooses the next one.
func (r *Reader) readOnce(ctx context.Context) error {
	requestedAt := r.config.Now()
	begunAt := time.Now()
	a, err := r.call(ctx)
	if err != nil {
		return err
	}
	r.feedVersion = max(r.feedVersion, a.feedVersion)
	r.applyNewest(&a, requestedAt)
	r.confirmedAt.Store(int64(requestedAt))
	kind := r.read
	r.read = r.nextRead(&a)
	if kind == pollFeed && len(a.rows) == 0 && time.Since(begunAt) < firstPause {
		return clock.Sleep(ctx, firstPause) // the feed did not wait
	}
	return nil
}

// nextRead returns the call to make after an answer.
func (r *Reader) nextRead(a *answer) readKind {
	if r.read == readIfChanged {
		r.ifChangedFailed = false
	}
	mayBeBehind := len(a.rows) > 1 || len(a.rows) == 1 && a.transfer.Receiving > maxQuickRead
	if !mayBeBehind || r.read == readRow && r.ifChangedFailed {
		return pollFeed
	}
	return readIfChanged
}

// applyNewest applies the newest version in an answer that can be decoded.
func (r *Reader) applyNewest(a *answer, requestedAt time.Duration) {
	for i := len(a.rows) - 1; i >= 0; i-- {
		row := &a.rows[i]
		r.rowVersion = max(r.rowVersion, row.Version)
		config, isConfig, err := r.config.Decode(*row)
		if err != nil {
			r.config.Log.Error().Err(err).Uint64("row_version", uint64(row.Version)).Msg("cannot decode the configuration; row skipped")
			continue
		}
		if isConfig {
			r.config.Apply(config)
			r.record(config, row.Version, &a.transfer, r.config.Now()-requestedAt)
			return
		}
	}
}

// record logs what was applied, and how the answer that held it was received.
func (r *Reader) record(config *carobkeel.QueueConfig, rowVersion table.Version, t *table.Transfer, age time.Duration) {
	r.config.Metrics.Version.Update(float64(config.Version))
	r.config.Metrics.Transfer.RecordDuration(t.Receiving)
	r.config.Log.Info().Uint64("version", uint64(config.Version)).Int("queues", len(config.Queues)).
		Int("left_out", config.LeftOut).Stringer("read", r.read).Uint64("row_version", uint64(rowVersion)).
		Int64("store_ms", t.ServiceTime.Milliseconds()).Int("bytes", t.Bytes).Dur("first_byte", t.FirstByte).
		Dur("transfer", t.Receiving).Dur("age", age).Msg("configuration applied")
}
