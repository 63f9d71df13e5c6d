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

// slowRows takes a second for each version of a row that it returns, while two more are
// written.
type slowRows struct {
	table.Rows
	newest table.Version
}

func (r *slowRows) read(versions table.Version) []table.VersionedRow {
	var rows []table.VersionedRow
	for version := r.newest - versions + 1; version <= r.newest; version++ {
		rows = append(rows, table.VersionedRow{RowID: table.RowID{Key: "config"}, Version: version})
	}
	time.Sleep(time.Duration(versions) * time.Second)
	r.newest += 2 * versions
	return rows
}

func (r *slowRows) Scan(context.Context, string, string, string) (table.RowScan, error) {
	version := r.newest
	return table.RowScan{Rows: r.read(1), Version: version}, nil
}

func (r *slowRows) Follow(_ context.Context, _ string, from table.Version, _ time.Duration) (table.RowChanges, error) {
	version := r.newest
	return table.RowChanges{Rows: r.read(version - from), Next: version}, nil
}

// Guards against CONFIG: an entry with little bandwidth read each version of a configuration that
// changed faster than that, and fell further and further behind.
func TestReaderOfTheNewestVersionsDoesNotFallBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows := &slowRows{newest: 1}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		worst := time.Duration(0)
		f := follow.Follower{
			Rows: rows, Table: "config", Wait: time.Second, NewestOnly: true, Log: logging.Discard().For("test"),
			OnUpdate: func(u follow.Update) {
				g.Expect(u.Rows).To(HaveLen(1))
				behind := rows.newest - u.Rows[0].Version
				worst = max(worst, time.Duration(behind)*time.Second/2)
			},
		}
		f.Run(ctx, 0)
		g.Expect(worst).To(BeNumerically("<=", 3*time.Second))
	})
}
