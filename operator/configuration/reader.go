// Package configuration keeps the operator's configuration in force at an entry: it
// follows the row that holds it and applies each newer version.
package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/follow"
)

const (
	// pollTimeout is how long a poll for a new configuration waits.
	pollTimeout = time.Second
	// ageInterval is the interval at which the metric of the age is updated.
	ageInterval = 5 * time.Second
)

// Decode decodes a row. The second result is false if the row holds no configuration.
type Decode func(row table.VersionedRow) (*carobkeel.QueueConfig, bool, error)

// Reader follows the configuration. All methods are safe for use by several goroutines.
type Reader struct {
	rows    table.Rows
	table   string
	decode  Decode
	apply   func(*carobkeel.QueueConfig)
	metrics *Metrics
	log     *log.Logger
	// confirmedAt is when the last call was sent whose answer confirmed the
	// configuration in force, by clock.Boottime.
	confirmedAt atomic.Int64
}

// NewReader returns a reader of the configuration in a table. It calls apply with each
// configuration that it reads, which may be older than the one in force.
func NewReader(rows table.Rows, tableName string, decode Decode, apply func(*carobkeel.QueueConfig), metrics *Metrics, logger *log.Logger) *Reader {
	r := &Reader{rows: rows, table: tableName, decode: decode, apply: apply, metrics: metrics, log: logger}
	r.confirmedAt.Store(int64(clock.Boottime()))
	return r
}

// Run follows the configuration until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	go r.updateAge(ctx)
	follower := follow.Follower{
		Rows: r.rows, Table: r.table, Wait: pollTimeout, NewestOnly: true, Log: r.log, OnUpdate: r.update,
	}
	follower.Run(ctx, 0)
}

// Age returns the time since the last call was sent whose answer confirmed the
// configuration in force, or since the reader was made.
func (r *Reader) Age() time.Duration { return clock.Boottime() - time.Duration(r.confirmedAt.Load()) }

func (r *Reader) updateAge(ctx context.Context) {
	for clock.Sleep(ctx, ageInterval) == nil {
		r.metrics.recordAge(r.Age())
	}
}

func (r *Reader) update(update follow.Update) {
	for _, row := range update.Rows {
		config, isConfig, err := r.decode(row)
		if err != nil {
			r.log.Error().Err(err).Uint64("row_version", uint64(row.Version)).Msg("cannot decode the configuration; row skipped")
			continue
		}
		if isConfig {
			r.apply(config)
			r.record(config, row.Version, &update)
		}
	}
	r.confirmedAt.Store(int64(update.RequestedAt))
}

// record logs what was applied, and how the answer that held it was received.
func (r *Reader) record(config *carobkeel.QueueConfig, rowVersion table.Version, update *follow.Update) {
	t := &update.Transfer
	r.metrics.Version.Update(float64(config.Version))
	r.metrics.Transfer.RecordDuration(t.LastByteAt - t.FirstByteAt)
	r.log.Info().Uint64("version", uint64(config.Version)).Int("queues", len(config.Queues)).
		Int("left_out", config.LeftOut).Bool("full", update.Full).Int("passed", update.Passed).
		Uint64("row_version", uint64(rowVersion)).Int64("store_ms", t.ServiceTime.Milliseconds()).
		Int("bytes", t.Bytes).Dur("first_byte", t.FirstByteAt-t.RequestedAt).
		Dur("transfer", t.LastByteAt-t.FirstByteAt).Dur("age", clock.Boottime()-update.RequestedAt).
		Msg("configuration applied")
}
