// Package follow keeps a reader up to date on a table: it reads the table once,
// follows its changes, and reads it anew where their history was lost.
package follow

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// firstPause and maxPause bound the time between two calls that failed.
	firstPause = 30 * time.Millisecond
	maxPause   = 300 * time.Millisecond
)

// News is what one call has told.
type News struct {
	Rows []table.VersionedRow
	// Whole says that Rows is the whole part, so that a row that is missing is
	// gone.
	Whole bool
	// Asked is when the call was sent, by clock.Boottime. What the news say was
	// true then or later.
	Asked time.Duration
}

// Follower follows one part of a table.
type Follower struct {
	Rows  table.Rows
	Table string
	Part  string
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Take is called with all news, also with empty ones, on Run's goroutine.
	Take func(News)
	Log  *log.Logger
}

// Run follows the table until ctx ends. From is the version to follow from;
// zero reads the whole part first.
func (f *Follower) Run(ctx context.Context, from table.Version) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = maxPause
	failing := false
	for ctx.Err() == nil {
		next, err := f.once(ctx, from)
		if err == nil {
			if failing {
				f.Log.Info().Str("table", f.Table).Msg("table followed again")
			}
			failing = false
			pause.Reset()
			from = next
			continue
		}
		if errors.Is(err, table.ErrHistoryLost) {
			f.Log.Warn().Str("table", f.Table).Msg("history lost, table read anew")
			from = 0
			continue
		}
		if !failing && ctx.Err() == nil {
			f.Log.Warn().Str("table", f.Table).Err(err).Msg("table not followed")
		}
		failing = true
		if clock.Sleep(ctx, pause.NextBackOff()) != nil {
			return
		}
	}
}

// once makes one call, and returns the version to follow from after it.
func (f *Follower) once(ctx context.Context, from table.Version) (table.Version, error) {
	asked := clock.Boottime()
	if from == 0 {
		rows, version, err := table.ScanAll(ctx, f.Rows, f.Table, f.Part)
		if err != nil {
			return 0, err
		}
		f.Take(News{Rows: rows, Whole: true, Asked: asked})
		return version, nil
	}
	changes, err := f.Rows.Follow(ctx, f.Table, from, f.Wait)
	if err != nil {
		return from, err
	}
	rows := changes.Rows[:0]
	for _, row := range changes.Rows {
		if row.Part == f.Part {
			rows = append(rows, row)
		}
	}
	f.Take(News{Rows: rows, Asked: asked})
	return max(from, changes.Next), nil
}
