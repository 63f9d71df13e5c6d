package table_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

func TestBudgetsStayBelowRateLimits(t *testing.T) {
	g := NewWithT(t)
	var sum table.Rates
	names := make(map[string]bool)
	for _, p := range table.Purposes() {
		g.Expect(names[p.String()]).To(BeFalse(), p.String())
		names[p.String()] = true
		sum.Writes += p.Budget().Writes
		sum.Reads += p.Budget().Reads
	}
	g.Expect(sum.Writes).To(BeNumerically("<=", table.ServiceWritesPerSecond))
	g.Expect(sum.Reads).To(BeNumerically("<=", table.ServiceReadsPerSecond))
	g.Expect(table.Purpose(200).Budget()).To(Equal(table.Rates{}))
}

func drawChange(rt *rapid.T) table.Change {
	key := rapid.Custom(func(rt *rapid.T) string { return fmt.Sprintf("k%d", rapid.IntRange(0, 7).Draw(rt, "key")) })
	var c table.Change
	for _, k := range rapid.SliceOfNDistinct(key, 0, 3, rapid.ID).Draw(rt, "conditions") {
		version := table.Version(rapid.IntRange(0, 2).Draw(rt, "version"))
		c.Conditions = append(c.Conditions, table.Condition{Key: k, Version: version})
	}
	for _, k := range rapid.SliceOfNDistinct(key, 1, 2, rapid.ID).Draw(rt, "writes") {
		c.Writes = append(c.Writes, table.Write{Key: k, Value: []byte(k), Delete: rapid.Bool().Draw(rt, "delete")})
	}
	return c
}

func seeded(rt *rapid.T) *memory.Table {
	t := memory.New()
	for i := range 4 {
		commit(rt, t, table.Transaction{
			ID:     table.NewTransactionID(),
			Writes: []table.Write{{Key: fmt.Sprintf("k%d", i)}},
		})
	}
	return t
}

func commit(rt *rapid.T, t table.Table, txn table.Transaction) table.Outcome {
	outcome, err := t.Commit(context.Background(), txn)
	if err != nil {
		rt.Fatal(err)
	}
	return outcome
}

// Changes that share a transaction have the same effect as in transactions of
// their own.
func TestBatchEqualsSingleChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		batch := table.NewBatch(table.BatchLimits{Changes: 8, Rows: 64, Bytes: 1 << 16})
		var changes []table.Change
		for _, c := range rapid.SliceOfN(rapid.Custom(drawChange), 1, 8).Draw(rt, "changes") {
			if batch.Add(c) {
				changes = append(changes, c)
			}
		}
		together := seeded(rt)
		outcome := commit(rt, together, batch.Transaction(table.NewTransactionID()))
		results := batch.ChangeResults(outcome)
		alone := seeded(rt)
		for i, c := range changes {
			want := commit(rt, alone, table.Transaction{ID: table.NewTransactionID(), Conditions: c.Conditions, Writes: c.Writes})
			refused := !outcome.Applied && len(results[i].Conflicts) > 0
			if refused == want.Applied {
				rt.Fatalf("change %d: together refused %v, alone %+v", i, refused, want)
			}
		}
	})
}

func TestBatchRespectsLimits(t *testing.T) {
	g := NewWithT(t)
	batch := table.NewBatch(table.BatchLimits{Changes: 2, Rows: 3, Bytes: 64})
	write := func(key string, size int) table.Change {
		return table.Change{Writes: []table.Write{{Key: key, Value: make([]byte, size)}}}
	}
	g.Expect(batch.Add(write("a", 100))).To(BeTrue(), "a single change is always accepted")
	g.Expect(batch.Add(write("b", 1))).To(BeFalse())
	batch = table.NewBatch(table.BatchLimits{Changes: 2, Rows: 3, Bytes: 64})
	g.Expect(batch.Add(write("a", 1))).To(BeTrue())
	g.Expect(batch.Add(write("b", 1))).To(BeTrue())
	g.Expect(batch.Add(write("c", 1))).To(BeFalse())
	g.Expect(batch.Len()).To(Equal(2))
}
