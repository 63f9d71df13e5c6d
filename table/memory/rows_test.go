package memory_test

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

func rowID(key string) table.RowID { return table.RowID{Table: "t", Part: "p", Key: key} }

func write(t *testing.T, rows table.Rows, key, value string, condition table.Version) table.RowOutcome {
	t.Helper()
	outcome, err := rows.Transact(context.Background(), table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: rowID(key), Version: condition}},
		Writes:     []table.RowWrite{{RowID: rowID(key), Value: []byte(value)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

func TestRowsCheckConditions(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	first := write(t, rows, "a", "1", 0)
	g.Expect(first.Applied).To(BeTrue())
	second := write(t, rows, "a", "2", 0)
	g.Expect(second.Applied).To(BeFalse())
	g.Expect(second.CurrentVersion(rowID("a"))).To(Equal(first.Version))
	g.Expect(write(t, rows, "a", "2", first.Version).Applied).To(BeTrue())
}

func TestScanAllReadsEveryPage(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	var writes []table.RowWrite
	for i := range 1200 {
		writes = append(writes, table.RowWrite{RowID: rowID(string(rune('a'+i%26)) + string(rune(0x100+i)))})
	}
	for chunk := range slices.Chunk(writes, 100) {
		_, err := rows.Transact(context.Background(), table.RowTransaction{Writes: chunk})
		g.Expect(err).NotTo(HaveOccurred())
	}
	all, err := table.ScanAll(context.Background(), rows, "t", "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all.Rows).To(HaveLen(1200))
	g.Expect(all.Version).To(BeNumerically(">", 0))
}

func TestTransactionsHaveThePlatformsSizeLimits(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	var writes []table.RowWrite
	for i := range 101 {
		writes = append(writes, table.RowWrite{RowID: rowID(string(rune(0x100 + i)))})
	}
	_, err := rows.Transact(context.Background(), table.RowTransaction{Writes: writes})
	g.Expect(err).To(MatchError(table.ErrInvalid))
	large := table.RowWrite{RowID: rowID("a"), Value: make([]byte, 65<<10)}
	_, err = rows.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{large}})
	g.Expect(err).To(MatchError(table.ErrInvalid))
}

func TestFeedReturnsChangesInOrderAndReportsLostHistory(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	start := write(t, rows, "a", "1", 0).Version
	write(t, rows, "b", "2", 0)
	changes, err := rows.Follow(context.Background(), "t", start, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes.Rows).To(HaveLen(1))
	g.Expect(changes.Rows[0].Key).To(Equal("b"))
	rows.DropHistory()
	_, err = rows.Follow(context.Background(), "t", start, time.Minute)
	g.Expect(err).To(MatchError(table.ErrHistoryLost))
}
