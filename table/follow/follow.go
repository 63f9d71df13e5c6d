// Package follow passes the state of a table to a reader: it reads the full table
// once, follows its changes, and reads it again if their history was lost.
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
	// firstPause and maxPause bound the delay after a failed call.
	firstPause = 30 * time.Millisecond
	maxPause   = 300 * time.Millisecond
)

// Update is the result of one call.
type Update struct {
	Rows []table.VersionedRow
	// Full reports that Rows holds all rows of the part, so that any other
	// row has been deleted.
	Full bool
	// Version is that of the table up to which all changes are reported. A full read in
	// several pages may hold later rows, without others of that time; they are reported again.
	Version table.Version
	// RequestedAt is the time at which the call was sent, by clock.Boottime. The rows
	// reflect the table at that time or later.
	RequestedAt time.Duration
}

// Follower follows one part of a table.
type Follower struct {
	Rows  table.Rows
	Table string
	Part  string
	// Wait is the maximum time for which one call waits for a change.
	Wait time.Duration
	// OnUpdate is called on Run's goroutine with every result, including empty ones.
	OnUpdate func(Update)
	Log      *log.Logger
}

// Run follows the table until ctx is done. From is the version to follow
// from; with zero it reads the full part first.
func (f *Follower) Run(ctx context.Context, from table.Version) {
	pause, rescanPause := newPause(), newPause()
	failing := false
	for ctx.Err() == nil {
		started := clock.Boottime()
		wait := f.Wait
		if failing {
			wait = 0 // an answer at once shows that the table is reachable again
		}
		next, err := f.once(ctx, from, wait)
		if err == nil {
			if failing {
				f.Log.Info().Str("table", f.Table).Msg("following table changes again")
			}
			failing = false
			pause.Reset()
			if from != 0 {
				rescanPause.Reset()
			}
			// An answer that came at once and moved nothing comes again at once.
			if next == from && clock.Boottime()-started < firstPause && clock.Sleep(ctx, firstPause) != nil {
				return
			}
			from = next
			continue
		}
		if errors.Is(err, table.ErrHistoryLost) {
			f.Log.Warn().Str("table", f.Table).Msg("change history lost, reading the full table")
			from = 0
			if clock.Sleep(ctx, rescanPause.NextBackOff()) != nil {
				return
			}
			continue
		}
		if !failing && ctx.Err() == nil {
			f.Log.Warn().Err(err).Str("table", f.Table).Msg("failed to follow table changes")
		}
		failing = true
		if clock.Sleep(ctx, pause.NextBackOff()) != nil {
			return
		}
	}
}

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, maxPause
	return pause
}

// once makes one call, which waits for a change for a time at most, and returns the version
// from which the next one follows.
func (f *Follower) once(ctx context.Context, from table.Version, wait time.Duration) (table.Version, error) {
	requestedAt := clock.Boottime()
	if from == 0 {
		scan, err := table.ScanAll(ctx, f.Rows, f.Table, f.Part)
		if err != nil {
			return 0, err
		}
		f.OnUpdate(Update{Rows: scan.Rows, Full: true, Version: scan.Version, RequestedAt: requestedAt})
		return scan.Version, nil
	}
	changes, err := f.Rows.Follow(ctx, f.Table, from, wait)
	if err != nil {
		return from, err
	}
	rows := changes.Rows[:0]
	for _, row := range changes.Rows {
		if row.Part == f.Part {
			rows = append(rows, row)
		}
	}
	next := max(from, changes.Next)
	f.OnUpdate(Update{Rows: rows, Version: next, RequestedAt: requestedAt})
	return next, nil
}
