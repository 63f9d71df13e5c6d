package store_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func noWait(context.Context, int) error { return nil }

func newStore(t table.Table) *store.Store {
	return store.New(store.Config{Table: t, Wait: noWait, Now: func() time.Time { return start }})
}

func seeded(g *WithT) (*memory.Table, *store.Store) {
	rows := memory.New()
	s := newStore(rows)
	g.Expect(s.Seed(context.Background(), catalogfile.DevCatalogue(), "test")).To(Succeed())
	return rows, s
}

// timeoutEdit returns an edit that sets the timeout of echo.
func timeoutEdit(g *WithT, s *store.Store, id operator.EditID, timeout time.Duration, expect operator.Expectation) operator.Edit {
	c, err := s.Load(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	echo, _ := c.Lookup("echo")
	next := *echo
	next.Limits.Timeout = timeout
	return operator.Edit{ID: id, By: "test", Items: []operator.EditItem{
		{Kind: operator.KindEntry, Name: "echo", Expect: expect, Entry: &next},
	}}
}

func TestEditBecomesTheNextRevision(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	rows, s := seeded(g)
	result, err := s.Edit(ctx, timeoutEdit(g, s, "e1", time.Second, operator.ExpectRevision(1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Revision).To(Equal(carobkeel.Revision(2)))

	// Another process loads the same catalogue from the rows.
	c, err := newStore(rows).Load(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c).To(Equal(s.LastSeen()))
	echo, _ := c.Lookup("echo")
	g.Expect(echo.Limits.Timeout).To(Equal(time.Second))

	changes, err := s.Changes(ctx, 0, 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(2))
	history, err := s.History(ctx, operator.KindEntry, "echo", 0, 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history).To(HaveLen(2))
	g.Expect(history[1].Item.Difference().Fields).To(Equal([]operator.FieldDifference{
		{Field: "limits.timeout", Before: "2s", After: "1s"},
	}))
}

func TestOnlyOneOfTwoEditsOfARevisionIsApplied(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, s := seeded(g)
	first := timeoutEdit(g, s, "e1", time.Second, operator.ExpectRevision(1))
	second := timeoutEdit(g, s, "e2", 3*time.Second, operator.ExpectRevision(1))
	_, err := s.Edit(ctx, first)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Edit(ctx, second)
	g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeRevisionConflict))

	again, err := s.Edit(ctx, first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(store.Result{Revision: 2, Repeated: true}))
	second.ID = "e1"
	second.Items[0].Expect = operator.ExpectAny()
	_, err = s.Edit(ctx, second)
	g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeKeyConflict))
}

func TestOlderStateIsRefused(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	_, s := seeded(g)
	restored := newStore(memory.New())
	restored.Observe(s.LastSeen())
	_, err := restored.Load(ctx)
	g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeStoreUnavailable))
	var older *operator.OlderRevisionError
	g.Expect(errors.As(err, &older)).To(BeTrue())
	g.Expect(*older).To(Equal(operator.OlderRevisionError{Seen: s.LastSeen().Revision, Offered: 0}))
	_, err = restored.Edit(ctx, timeoutEdit(g, s, "e", time.Second, operator.ExpectAny()))
	g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeStoreUnavailable))
}

// scriptedTable is a table with a scripted outcome for each commit: answered,
// lost before or after the effect, or not sent.
type scriptedTable struct {
	table.Table
	steps   []step
	readErr error
}

type step int

const (
	answered step = iota
	lostBeforeEffect
	lostAfterEffect
	notSent
)

func (s *scriptedTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	next := answered
	if len(s.steps) > 0 {
		next, s.steps = s.steps[0], s.steps[1:]
	}
	switch next {
	case notSent:
		return table.Outcome{}, table.ErrUnavailable
	case lostBeforeEffect:
		return table.Outcome{}, table.ErrUnsettled
	}
	outcome, err := s.Table.Commit(ctx, txn)
	if next == lostAfterEffect {
		return table.Outcome{}, errors.Wrap(table.ErrUnsettled, "answer lost")
	}
	return outcome, err
}

func (s *scriptedTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if s.readErr != nil && len(s.steps) == 0 {
		return table.Row{}, false, s.readErr
	}
	return s.Table.Get(ctx, key)
}

func TestEditResultsAreCorrectWhenAnswersAreLost(t *testing.T) {
	allLost := func(s step) []step { return []step{s, s, s, s} }
	cases := []struct {
		name    string
		steps   []step
		readErr error
		code    carobkeel.Code
		applied bool
	}{
		{"answered", nil, nil, carobkeel.CodeOK, true},
		{"lost after effect", []step{lostAfterEffect}, nil, carobkeel.CodeOK, true},
		{"lost before effect", []step{lostBeforeEffect}, nil, carobkeel.CodeOK, true},
		{"each answer lost after effect", allLost(lostAfterEffect), nil, carobkeel.CodeOK, true},
		{"each answer lost before effect", allLost(lostBeforeEffect), nil, carobkeel.CodeEditUnsettled, false},
		{"never sent", []step{notSent}, nil, carobkeel.CodeStoreUnavailable, false},
		{"lost after effect, then never sent", []step{lostAfterEffect, notSent, notSent, notSent}, nil, carobkeel.CodeOK, true},
		{"lost before effect, then never sent", []step{lostBeforeEffect, notSent, notSent, notSent}, nil, carobkeel.CodeEditUnsettled, false},
		{"lost after effect, reads down", allLost(lostAfterEffect), table.ErrUnavailable, carobkeel.CodeEditUnsettled, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, ctx := NewWithT(t), context.Background()
			rows, _ := seeded(g)
			edit := timeoutEdit(g, newStore(rows), "e1", time.Second, operator.ExpectRevision(1))
			faulty := &scriptedTable{Table: rows, steps: c.steps, readErr: c.readErr}
			if c.steps == nil {
				faulty.readErr = nil
			}
			s := newStore(faulty)
			_, err := s.Edit(ctx, edit)
			g.Expect(carobkeel.CodeOf(err)).To(Equal(c.code), "%v", err)
			if err != nil {
				g.Expect(carobkeel.AsError(err).Ran).To(Equal(carobkeel.RanUnknown), "an edit with this id may have run")
			}
			after, err := newStore(rows).Load(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after.Revision == 2).To(Equal(c.applied))

			// Whatever the first result was, a repeat succeeds and the edit
			// takes effect once.
			faulty.readErr, faulty.steps = nil, nil
			again, err := s.Edit(ctx, edit)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again.Revision).To(Equal(carobkeel.Revision(2)))
			changes, err := s.Changes(ctx, 0, 10)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(changes).To(HaveLen(2))
		})
	}
}

func TestUnsentEditWithANewIDIsReportedAsNotRun(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	rows, s := seeded(g)
	edit := timeoutEdit(g, s, "", time.Second, operator.ExpectRevision(1))
	_, err := newStore(&scriptedTable{Table: rows, steps: []step{notSent}}).Edit(ctx, edit)
	g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeStoreUnavailable))
	g.Expect(carobkeel.AsError(err).Ran).To(Equal(carobkeel.RanNo))
	g.Expect(s.Load(ctx)).To(HaveField("Revision", carobkeel.Revision(1)))
}

func TestTrimKeepsTheCatalogueAndTheNewestRecords(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	rows, s := seeded(g)
	for i := range 5 {
		_, err := s.Edit(ctx, timeoutEdit(g, s, "", time.Duration(i+3)*time.Second, operator.ExpectAny()))
		g.Expect(err).NotTo(HaveOccurred())
	}
	follower := newStore(rows)
	g.Expect(s.Trim(ctx, start)).To(Equal(0))
	g.Expect(s.Trim(ctx, start.Add(time.Second))).To(Equal(5))
	_, err := follower.Changes(ctx, 2, 10)
	g.Expect(errors.Is(err, operator.ErrGap)).To(BeTrue())
	c, err := follower.Load(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c).To(Equal(s.LastSeen()))
	g.Expect(s.History(ctx, operator.KindEntry, "echo", 0, 10)).To(HaveLen(1))
	g.Expect(s.History(ctx, operator.KindEntry, "sample", 0, 10)).To(HaveLen(1))
}
