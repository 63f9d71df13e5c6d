package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/follow"
)

// instantRows answers each call at once, always with the same version.
type instantRows struct {
	table.Rows
	version table.Version
	calls   int
}

func (r *instantRows) Scan(context.Context, string, string, string) (table.RowScan, error) {
	r.calls++
	return table.RowScan{Version: r.version}, nil
}

func (r *instantRows) Follow(context.Context, string, table.Version, time.Duration) (table.RowChanges, error) {
	r.calls++
	return table.RowChanges{Rows: []table.VersionedRow{{Version: 1}}, Next: r.version}, nil
}

func TestAnswersThatMoveNothingAreNotReadInATightLoop(t *testing.T) {
	for _, version := range []table.Version{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			rows := &instantRows{version: version}
			ctx, cancel := context.WithCancel(t.Context())
			f := follow.Follower{Rows: rows, Table: "jobs", Wait: time.Second, Log: logging.Discard().For("test"), OnUpdate: func(follow.Update) {
				if rows.calls == 1000 {
					cancel()
				}
			}}
			time.AfterFunc(time.Second, cancel)
			f.Run(ctx, 0)
			NewWithT(t).Expect(rows.calls).To(BeNumerically("<", 50))
		})
	}
}

// forgetfulRows has no history.
type forgetfulRows struct{ instantRows }

func (r *forgetfulRows) Follow(context.Context, string, table.Version, time.Duration) (table.RowChanges, error) {
	return table.RowChanges{}, table.ErrHistoryLost
}

func TestTableWithoutHistoryIsNotReadInATightLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &forgetfulRows{instantRows{version: 5}}
		ctx, cancel := context.WithCancel(t.Context())
		f := follow.Follower{Rows: rows, Table: "jobs", Wait: time.Second, Log: logging.Discard().For("test"), OnUpdate: func(follow.Update) {
			if rows.calls == 1000 {
				cancel()
			}
		}}
		time.AfterFunc(time.Second, cancel)
		f.Run(ctx, 0)
		NewWithT(t).Expect(rows.calls).To(BeNumerically("<", 20))
	})
}

// silentRows gives one call no answer for silentTimeout longer than it waits for a change.
type silentRows struct {
	instantRows
	silentCall int
}

const silentTimeout = 1500 * time.Millisecond

func (r *silentRows) Follow(_ context.Context, _ string, after table.Version, wait time.Duration) (table.RowChanges, error) {
	r.calls++
	time.Sleep(wait)
	if r.calls == r.silentCall {
		time.Sleep(silentTimeout)
		return table.RowChanges{}, table.ErrUnavailable
	}
	return table.RowChanges{Next: after}, nil
}

// Guards against refused callers: after a call without an answer, the next one waited for a change.
func TestTableCountsAsReachableAtOnceAfterASilentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		last, longest := time.Now(), time.Duration(0)
		f := follow.Follower{
			Rows: &silentRows{silentCall: 5}, Table: "jobs", Wait: time.Second, Log: logging.Discard().For("test"),
			OnUpdate: func(follow.Update) {
				longest = max(longest, time.Since(last))
				last = time.Now()
			},
		}
		f.Run(ctx, 1)
		NewWithT(t).Expect(longest).To(BeNumerically("<", f.Wait+silentTimeout+100*time.Millisecond))
	})
}
