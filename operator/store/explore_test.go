package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// What becomes of one sending of a transaction. The table may also take a
// transaction after its sender has given up waiting.
const (
	sendAnswered = iota
	sendLostBeforeEffect
	sendLostAfterEffect
	sendNotSent
	sendDelayed
	sendOutcomes
)

const (
	// exploredSends is the number of sendings whose outcome is varied; later
	// ones are answered.
	exploredSends = 4
	// noCompetitor is the position of a competing edit that is never made.
	noCompetitor = -1
)

// explored is a table whose sendings have given outcomes. A competing edit is
// made before the sending at its position. Delayed transactions are taken
// before the read that follows, or at the end.
type explored struct {
	table.Table
	outcomes     [exploredSends]int
	competitorAt int
	compete      func()
	lateDelivery bool

	sends   int
	delayed []table.Transaction
}

func (e *explored) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if e.sends == e.competitorAt {
		e.compete()
	}
	outcome := sendAnswered
	if e.sends < exploredSends {
		outcome = e.outcomes[e.sends]
	}
	e.sends++
	switch outcome {
	case sendLostBeforeEffect:
		return table.Outcome{}, table.ErrUnsettled
	case sendLostAfterEffect:
		_, _ = e.Table.Commit(ctx, txn)
		return table.Outcome{}, table.ErrUnsettled
	case sendNotSent:
		return table.Outcome{}, table.ErrUnavailable
	case sendDelayed:
		e.delayed = append(e.delayed, txn)
		return table.Outcome{}, table.ErrUnsettled
	default:
		return e.Table.Commit(ctx, txn)
	}
}

func (e *explored) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if !e.lateDelivery {
		e.deliver(ctx)
	}
	return e.Table.Get(ctx, key)
}

func (e *explored) deliver(ctx context.Context) {
	for _, txn := range e.delayed {
		_, _ = e.Table.Commit(ctx, txn)
	}
	e.delayed = nil
}

// exploration is one interleaving.
type exploration struct {
	outcomes     [exploredSends]int
	competitorAt int
	lateDelivery bool
	// sameEntry lets the competitor edit the same entry, so that one of the two
	// has to be refused; else it edits another one.
	sameEntry bool
}

func editOf(id operator.EditID, entry carobkeel.Entry, timeout time.Duration) operator.Edit {
	expect := operator.ExpectRevision(entry.Revision)
	entry.Limits.Timeout = timeout
	return operator.Edit{ID: id, Items: []operator.EditItem{
		{Kind: operator.KindEntry, Name: entry.Name, Expect: expect, Entry: &entry},
	}}
}

// template is a seeded table whose rows each exploration starts from.
type template struct {
	writes []table.Write
	seeded *carobkeel.Catalogue
}

func newTemplate(doc operator.Document) (template, error) {
	ctx := context.Background()
	rows := memory.New()
	s := newStore(rows)
	if err := s.Seed(ctx, doc, "test"); err != nil {
		return template{}, err
	}
	all, err := rows.Range(ctx, "", "", pageOfRows)
	var writes []table.Write
	for _, row := range all {
		writes = append(writes, table.Write{Key: row.Key, Value: row.Value})
	}
	return template{writes: writes, seeded: s.Seen()}, err
}

// start returns a table with the template's rows.
func (t template) start() (*memory.Table, error) {
	rows := memory.New()
	_, err := rows.Commit(context.Background(), table.Transaction{ID: table.NewTransactionID(), Writes: t.writes})
	return rows, err
}

// store returns a store that has seen the template's catalogue.
func (t template) store(rows table.Table) *store.Store {
	s := newStore(rows)
	s.Observe(t.seeded)
	return s
}

// check carries the interleaving out and compares what the operator was told
// with the log. It returns how often the first request sent transactions.
func (x exploration) check(t template) (sends int, err error) {
	ctx := context.Background()
	rows, err := t.start()
	if err != nil {
		return 0, err
	}
	target, other := *t.seeded.Entries["entry-00"], *t.seeded.Entries["entry-01"]
	if x.sameEntry {
		other = target
	}
	faulty := &explored{
		Table: rows, outcomes: x.outcomes, competitorAt: x.competitorAt, lateDelivery: x.lateDelivery,
		compete: func() { _, _ = t.store(rows).Edit(ctx, editOf("rival", other, 3*time.Second)) },
	}
	s := t.store(faulty)
	edit := editOf("mine", target, 2*time.Second)
	result, told := s.Edit(ctx, edit)
	faulty.deliver(ctx)
	sends = faulty.sends
	if err := compare(rows, result, told); err != nil {
		return sends, err
	}
	// The repeat of an edit that may have run gives one effect or a refusal.
	faulty.sends = exploredSends + 1
	result, told = s.Edit(ctx, edit)
	return sends, compare(rows, result, told)
}

// compare holds what was told against the log.
func compare(rows table.Table, result store.Result, told error) error {
	changes, err := newStore(rows).Changes(context.Background(), 1, pageOfChanges)
	if err != nil {
		return err
	}
	found := make(map[operator.EditID][]carobkeel.Revision)
	for _, change := range changes {
		found[change.Edit] = append(found[change.Edit], change.Revision)
	}
	mine := found["mine"]
	switch {
	case len(mine) > 1:
		return fmt.Errorf("the edit is in the log %d times", len(mine))
	case told == nil && (len(mine) != 1 || mine[0] != result.Revision):
		return fmt.Errorf("accepted as revision %d, the log has it at %v", result.Revision, mine)
	case told != nil && carobkeel.AsError(told).Ran == carobkeel.RanNo && len(mine) != 0:
		return fmt.Errorf("refused with %v, and the log has it at %v", told, mine)
	}
	return nil
}

const (
	pageOfChanges = 10
	pageOfRows    = 100
)

// next returns the outcomes that follow in order, passing over those that only
// differ in sendings that were not made. The second result is false at the end.
func next(outcomes [exploredSends]int, made int) ([exploredSends]int, bool) {
	last := min(made, exploredSends) - 1
	for i := last + 1; i < exploredSends; i++ {
		outcomes[i] = 0
	}
	for i := last; i >= 0; i-- {
		if outcomes[i]++; outcomes[i] < sendOutcomes {
			return outcomes, true
		}
		outcomes[i] = 0
	}
	return outcomes, false
}

// variants returns the explorations of one competitor position. Without a
// competitor it does not matter what it would edit.
func variants(competitorAt int) []exploration {
	all := []exploration{{competitorAt: competitorAt}, {competitorAt: competitorAt, lateDelivery: true}}
	if competitorAt == noCompetitor {
		return all
	}
	return append(all,
		exploration{competitorAt: competitorAt, sameEntry: true},
		exploration{competitorAt: competitorAt, sameEntry: true, lateDelivery: true})
}

func TestEveryInterleavingOfLostAnswersIsToldTruly(t *testing.T) {
	doc := raceCatalogue()
	doc.Entries = doc.Entries[:2]
	seeded, err := newTemplate(doc)
	if err != nil {
		t.Fatal(err)
	}
	for competitorAt := noCompetitor; competitorAt < exploredSends; competitorAt++ {
		for _, x := range variants(competitorAt) {
			t.Run(fmt.Sprintf("%d/%t/%t", x.competitorAt, x.sameEntry, x.lateDelivery), func(t *testing.T) {
				t.Parallel()
				count := 0
				for more := true; more; count++ {
					made, err := x.check(seeded)
					if err != nil {
						t.Fatalf("%+v: %v", x, err)
					}
					x.outcomes, more = next(x.outcomes, made)
				}
				t.Logf("%d interleavings", count)
			})
		}
	}
}
