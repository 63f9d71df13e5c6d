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

// Outcomes of one attempt to commit a transaction. A delayed transaction is
// applied after its sender has stopped waiting for the answer.
const (
	attemptAnswered = iota
	attemptLostBeforeEffect
	attemptLostAfterEffect
	attemptNotSent
	attemptDelayed
	attemptOutcomes
)

const (
	// variedAttempts is the number of attempts whose outcome is varied; later
	// ones are answered.
	variedAttempts = 4
	// noCompetitor means that no competing edit is made.
	noCompetitor = -1
)

// faultyTable is a table whose commit attempts have the given outcomes. A
// competing edit is made before the attempt with the index competitorAt. Delayed
// transactions are applied before the next read or, with lateDelivery, at the
// end.
type faultyTable struct {
	table.Table
	outcomes     [variedAttempts]int
	competitorAt int
	compete      func()
	lateDelivery bool

	attempts int
	delayed  []table.Transaction
}

func (e *faultyTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if e.attempts == e.competitorAt {
		e.compete()
	}
	outcome := attemptAnswered
	if e.attempts < variedAttempts {
		outcome = e.outcomes[e.attempts]
	}
	e.attempts++
	switch outcome {
	case attemptLostBeforeEffect:
		return table.Outcome{}, table.ErrUnsettled
	case attemptLostAfterEffect:
		_, _ = e.Table.Commit(ctx, txn)
		return table.Outcome{}, table.ErrUnsettled
	case attemptNotSent:
		return table.Outcome{}, table.ErrUnavailable
	case attemptDelayed:
		e.delayed = append(e.delayed, txn)
		return table.Outcome{}, table.ErrUnsettled
	default:
		return e.Table.Commit(ctx, txn)
	}
}

func (e *faultyTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if !e.lateDelivery {
		e.deliver(ctx)
	}
	return e.Table.Get(ctx, key)
}

func (e *faultyTable) deliver(ctx context.Context) {
	for _, txn := range e.delayed {
		_, _ = e.Table.Commit(ctx, txn)
	}
	e.delayed = nil
}

// interleaving is one combination of attempt outcomes and a competing edit.
type interleaving struct {
	outcomes     [variedAttempts]int
	competitorAt int
	lateDelivery bool
	// sameEntry reports that the competitor edits the same entry, so that one
	// of the two edits has to be refused; otherwise it edits another entry.
	sameEntry bool
}

func editOf(id operator.EditID, entry carobkeel.Entry, timeout time.Duration) operator.Edit {
	expect := operator.ExpectRevision(entry.Revision)
	entry.Limits.Timeout = timeout
	return operator.Edit{ID: id, Items: []operator.EditItem{
		{Kind: operator.KindEntry, Name: entry.Name, Expect: expect, Entry: &entry},
	}}
}

// seededRows holds the rows of a seeded table, from which each interleaving
// starts.
type seededRows struct {
	writes []table.Write
	seeded *carobkeel.Catalogue
}

func newSeededRows(doc operator.Document) (seededRows, error) {
	ctx := context.Background()
	rows := memory.New()
	s := newStore(rows)
	if err := s.Seed(ctx, doc, "test"); err != nil {
		return seededRows{}, err
	}
	all, err := rows.Range(ctx, "", "", pageOfRows)
	var writes []table.Write
	for _, row := range all {
		writes = append(writes, table.Write{Key: row.Key, Value: row.Value})
	}
	return seededRows{writes: writes, seeded: s.LastSeen()}, err
}

// start returns a new table with the rows.
func (t seededRows) start() (*memory.Table, error) {
	rows := memory.New()
	_, err := rows.Commit(context.Background(), table.Transaction{ID: table.NewTransactionID(), Writes: t.writes})
	return rows, err
}

// store returns a store that has seen the seeded catalogue.
func (t seededRows) store(rows table.Table) *store.Store {
	s := newStore(rows)
	s.Observe(t.seeded)
	return s
}

// check runs the interleaving and compares the result that the operator received
// with the change log. It returns the number of attempts of the first request.
func (x interleaving) check(t seededRows) (attempts int, err error) {
	ctx := context.Background()
	rows, err := t.start()
	if err != nil {
		return 0, err
	}
	target, other := *t.seeded.Entries["entry-00"], *t.seeded.Entries["entry-01"]
	if x.sameEntry {
		other = target
	}
	faulty := &faultyTable{
		Table: rows, outcomes: x.outcomes, competitorAt: x.competitorAt, lateDelivery: x.lateDelivery,
		compete: func() { _, _ = t.store(rows).Edit(ctx, editOf("rival", other, 3*time.Second)) },
	}
	s := t.store(faulty)
	edit := editOf("mine", target, 2*time.Second)
	result, editErr := s.Edit(ctx, edit)
	faulty.deliver(ctx)
	attempts = faulty.attempts
	if err := compare(rows, result, editErr); err != nil {
		return attempts, err
	}
	// Repeating an edit that may have run results in one effect or a refusal.
	faulty.attempts = variedAttempts + 1
	result, editErr = s.Edit(ctx, edit)
	return attempts, compare(rows, result, editErr)
}

// compare compares the received result with the change log.
func compare(rows table.Table, result store.Result, editErr error) error {
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
	case editErr == nil && (len(mine) != 1 || mine[0] != result.Revision):
		return fmt.Errorf("accepted as revision %d, the log has it at %v", result.Revision, mine)
	case editErr != nil && carobkeel.AsError(editErr).Ran == carobkeel.RanNo && len(mine) != 0:
		return fmt.Errorf("refused with %v, and the log has it at %v", editErr, mine)
	}
	return nil
}

const (
	pageOfChanges = 10
	pageOfRows    = 100
)

// next returns the next combination of outcomes. It skips combinations that
// differ only in attempts that were not made. The second result is false after
// the last combination.
func next(outcomes [variedAttempts]int, attempts int) ([variedAttempts]int, bool) {
	last := min(attempts, variedAttempts) - 1
	for i := last + 1; i < variedAttempts; i++ {
		outcomes[i] = 0
	}
	for i := last; i >= 0; i-- {
		if outcomes[i]++; outcomes[i] < attemptOutcomes {
			return outcomes, true
		}
		outcomes[i] = 0
	}
	return outcomes, false
}

// variants returns the interleavings of one competitor position. Without a
// competitor there is no variant for the entry that it edits.
func variants(competitorAt int) []interleaving {
	all := []interleaving{{competitorAt: competitorAt}, {competitorAt: competitorAt, lateDelivery: true}}
	if competitorAt == noCompetitor {
		return all
	}
	return append(all,
		interleaving{competitorAt: competitorAt, sameEntry: true},
		interleaving{competitorAt: competitorAt, sameEntry: true, lateDelivery: true})
}

func TestEveryInterleavingOfLostAnswersIsReportedCorrectly(t *testing.T) {
	doc := raceCatalogue()
	doc.Entries = doc.Entries[:2]
	seeded, err := newSeededRows(doc)
	if err != nil {
		t.Fatal(err)
	}
	for competitorAt := noCompetitor; competitorAt < variedAttempts; competitorAt++ {
		for _, x := range variants(competitorAt) {
			t.Run(fmt.Sprintf("%d/%t/%t", x.competitorAt, x.sameEntry, x.lateDelivery), func(t *testing.T) {
				t.Parallel()
				count := 0
				for more := true; more; count++ {
					attempts, err := x.check(seeded)
					if err != nil {
						t.Fatalf("%+v: %v", x, err)
					}
					x.outcomes, more = next(x.outcomes, attempts)
				}
				t.Logf("%d interleavings", count)
			})
		}
	}
}
