package directory_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/directory"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

func write(g Gomega, rows table.Rows, key string, value []byte) {
	id := table.RowID{Table: "entries", Key: key}
	_, err := rows.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{{RowID: id, Value: value}}})
	g.Expect(err).NotTo(HaveOccurred())
}

func TestOddEntriesAreLeftOutAndLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	odd := [][]byte{nil, {0xc1}, append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, 60<<10)...)}
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", ":7720", "host:7720", "10.0.0.1:7720 "} {
		value, err := (&wire.EntryRow{Host: "x", Address: address}).MarshalMsg(nil)
		g.Expect(err).NotTo(HaveOccurred())
		odd = append(odd, value)
	}
	for i, value := range odd {
		write(g, rows, "odd-"+string(rune('a'+i)), value)
	}
	sound, err := (&wire.EntryRow{Host: "edge", Address: "10.0.0.2:7720"}).MarshalMsg(nil)
	g.Expect(err).NotTo(HaveOccurred())
	write(g, rows, "edge", sound)
	var out bytes.Buffer
	reader := directory.NewReader(rows, logging.NewFactory(logging.Config{Level: "info", JSON: true}, &out).For("test"))
	for range 3 {
		g.Expect(reader.Addresses(context.Background())).To(Equal([]string{"10.0.0.2:7720"}))
	}
	g.Expect(strings.Count(out.String(), "left out")).To(Equal(len(odd)))
	write(g, rows, "odd-a", odd[1])
	g.Expect(reader.Addresses(context.Background())).To(HaveLen(1))
	g.Expect(strings.Count(out.String(), "left out")).To(Equal(len(odd)+1), "a changed row is logged again")
}

// lateRows answers no transaction, and keeps the first one to be carried out later.
type lateRows struct {
	table.Rows
	late   *table.RowTransaction
	giveUp context.CancelFunc
}

func (r *lateRows) Transact(_ context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	r.late = &txn
	r.giveUp()
	return table.RowOutcome{}, table.ErrUnsettled
}

// Guards against an entry that no sidecar finds: the late write of its earlier process gave its
// row an address where nothing listens.
func TestLateRowOfAnEarlierProcessDoesNotReplaceThatOfTheNext(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	logger := logging.Discard().For("test")
	ctx, cancel := context.WithCancel(t.Context())
	earlier := &lateRows{Rows: rows, giveUp: cancel}
	directory.Register(ctx, earlier, "edge", 1, "10.0.0.1:7720", logger)
	directory.Register(t.Context(), rows, "edge", 2, "10.0.0.2:7720", logger)
	_, err := rows.Transact(t.Context(), *earlier.late)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(directory.NewReader(rows, logger).Addresses(t.Context())).To(Equal([]string{"10.0.0.2:7720"}))
	directory.Register(t.Context(), rows, "edge", 3, "10.0.0.3:7720", logger)
	g.Expect(directory.NewReader(rows, logger).Addresses(t.Context())).To(Equal([]string{"10.0.0.3:7720"}))
}

// Guards against a holder without links: a row that another writer had spoilt ended the links of
// all sidecars to a live entry.
func TestSpoiltRowOfAnEntryKeepsItsLastAddress(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	logger := logging.Discard().For("test")
	directory.Register(t.Context(), rows, "edge", 1, "10.0.0.1:7720", logger)
	reader := directory.NewReader(rows, logger)
	g.Expect(reader.Addresses(t.Context())).To(HaveLen(1))
	write(g, rows, "edge", []byte{0xc1})
	for range 2 {
		g.Expect(reader.Addresses(t.Context())).To(Equal([]string{"10.0.0.1:7720"}))
	}
	g.Expect(directory.NewReader(rows, logger).Addresses(t.Context())).To(BeEmpty())
}
