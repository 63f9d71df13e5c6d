package configuration_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/operator/configuration"
	"github.com/carobkeel/carobkeel/table"
)

var testRow = table.RowID{Table: "op", Key: "config"}

func newTestReader(rows table.Rows, decode configuration.Decode, apply func(*carobkeel.QueueConfig)) *configuration.Reader {
	return configuration.NewReader(configuration.Config{
		Rows: rows, Row: testRow, Decode: decode, Apply: apply, Metrics: configuration.NewMetrics(tally.NoopScope),
		Log: logging.Discard().For("test"),
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
		rows = append(rows, table.VersionedRow{RowID: testRow, Version: version})
	}
	time.Sleep(time.Duration(versions) * time.Second)
	r.newest += 2 * versions
	return rows
}

func (r *slowRows) Scan(context.Context, string, string, string) (table.RowScan, error) {
	version := r.newest
	return table.RowScan{Rows: r.read(1), Version: version, Transfer: table.Transfer{Receiving: time.Second}}, nil
}

func (r *slowRows) Transact(_ context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	version := r.newest
	if txn.Conditions[0].Version == version {
		return table.RowOutcome{Applied: true, Version: version}, nil
	}
	return table.RowOutcome{Current: r.read(1), Version: version}, nil
}

func (r *slowRows) Follow(_ context.Context, _ string, from table.Version, _ time.Duration) (table.RowChanges, error) {
	version := r.newest
	rows := r.read(version - from)
	return table.RowChanges{Rows: rows, Next: version, Transfer: table.Transfer{Receiving: time.Duration(len(rows)) * time.Second}}, nil
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
		apply := func(config *carobkeel.QueueConfig) {
			behind := rows.newest - table.Version(config.Version)
			worst = max(worst, time.Duration(behind)*time.Second/2)
		}
		newTestReader(rows, decodeVersion, apply).Run(ctx)
		g.Expect(worst).To(BeNumerically("<=", 3*time.Second))
	})
}

// oddRows is a table with a single row, whose feed or whose transactions fail.
type oddRows struct {
	table.Rows
	followErr, transactErr error
	scans, others          int
}

func (r *oddRows) Scan(context.Context, string, string, string) (table.RowScan, error) {
	r.scans++
	return table.RowScan{
		Rows: []table.VersionedRow{{RowID: testRow, Version: 3}}, Version: 5, Transfer: table.Transfer{Receiving: time.Second},
	}, nil
}

func (r *oddRows) Transact(context.Context, table.RowTransaction) (table.RowOutcome, error) {
	r.others++
	return table.RowOutcome{Applied: true}, r.transactErr
}

func (r *oddRows) Follow(ctx context.Context, _ string, after table.Version, wait time.Duration) (table.RowChanges, error) {
	r.others++
	if r.followErr == nil {
		time.Sleep(wait)
	}
	return table.RowChanges{Next: after}, r.followErr
}

func TestTableThatAnswersOddlyIsNotReadInATightLoop(t *testing.T) {
	for name, rows := range map[string]*oddRows{
		"no history":              {followErr: table.ErrHistoryLost},
		"feed away":               {followErr: table.ErrUnavailable},
		"transactions refused":    {transactErr: table.ErrInvalid},
		"neither":                 {followErr: table.ErrUnavailable, transactErr: table.ErrInvalid},
		"neither, and no history": {followErr: table.ErrHistoryLost, transactErr: table.ErrUnsettled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				newTestReader(rows, decodeVersion, func(*carobkeel.QueueConfig) {}).Run(ctx)
				g := NewWithT(t)
				g.Expect(rows.scans).To(BeNumerically("<", 50), "reads of the whole row in 10 s")
				g.Expect(rows.others).To(BeNumerically("<", 100))
			})
		})
	}
}

// changedRows is a table whose row changes once, which transactions report without the row.
type changedRows struct{ oddRows }

func (r *changedRows) Scan(context.Context, string, string, string) (table.RowScan, error) {
	r.scans++
	version := table.Version(2 + r.scans)
	return table.RowScan{
		Rows: []table.VersionedRow{{RowID: testRow, Version: version}}, Version: version, Transfer: table.Transfer{Receiving: time.Second},
	}, nil
}

func (r *changedRows) Transact(context.Context, table.RowTransaction) (table.RowOutcome, error) {
	return table.RowOutcome{}, nil
}

func TestChangedRowThatIsMissingInAnAnswerIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		newest := carobkeel.Revision(0)
		newTestReader(&changedRows{}, decodeVersion, func(config *carobkeel.QueueConfig) { newest = config.Version }).Run(ctx)
		NewWithT(t).Expect(newest).To(Equal(carobkeel.Revision(4)))
	})
}

func decodeVersion(row table.VersionedRow) (*carobkeel.QueueConfig, bool, error) {
	return &carobkeel.QueueConfig{Version: carobkeel.Revision(row.Version)}, true, nil
}
