package client_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
)

const (
	editors  = 16
	edits    = 2000
	entries  = 20
	maxTries = 100
)

// history holds the ids of edits by the result that their editors got.
type history struct {
	mu                           sync.Mutex
	accepted, refused, unsettled []string
}

func (h *history) record(id string, outcome table.Outcome, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil && outcome.Applied:
		h.accepted = append(h.accepted, id)
	case err == nil || errors.Is(err, table.ErrUnavailable):
		h.refused = append(h.refused, id)
	default:
		h.unsettled = append(h.unsettled, id)
	}
}

// edit appends the id to the entry's value, which lists all ids applied to it.
func edit(row table.Row, key, id string) table.Transaction {
	txn := create(key, string(row.Value)+id+"\n")
	txn.Conditions[0].Version = row.Version
	return txn
}

// settleEdit repeats an edit until its outcome is known.
func settleEdit(view table.Table, txn table.Transaction) (outcome table.Outcome, err error) {
	for range maxTries {
		outcome, err = view.Commit(context.Background(), txn)
		if !errors.Is(err, table.ErrUnsettled) {
			break
		}
	}
	return outcome, err
}

func (f *fixture) runEditor(editor int, h *history) {
	view := f.client.For(table.PurposeClaims)
	for n := range edits / editors {
		id := fmt.Sprintf("%d-%d", editor, n)
		key := fmt.Sprintf("entry/%d", (editor*7+n)%entries)
		row, _, err := view.Get(context.Background(), key)
		if err != nil {
			h.record(id, table.Outcome{}, err)
			continue
		}
		outcome, err := settleEdit(view, edit(row, key, id))
		h.record(id, outcome, err)
	}
}

func TestConcurrentEditsMakeOneHistory(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFixture(seed)
				g.Expect(f.faults.Set(faulty.Faults{
					Delay: time.Millisecond, Jitter: 9 * time.Millisecond,
					LostRequests: 0.05, LostAnswers: 0.1, LateEffects: 0.05, LateBy: 2 * time.Second,
				})).To(Succeed())
				h := &history{}
				var group sync.WaitGroup
				for editor := range editors {
					group.Go(func() { f.runEditor(editor, h) })
				}
				group.Wait()
				<-time.After(time.Hour) // all delayed effects have taken place
				synctest.Wait()
				t.Logf("%d accepted, %d refused", len(h.accepted), len(h.refused))
				g.Expect(h.unsettled).To(BeEmpty(), "repeated until settled")
				slices.Sort(h.accepted)
				g.Expect(f.historyInTable(g)).To(Equal(h.accepted), "each accepted edit is applied once, no refused one")
				g.Expect(len(h.accepted) + len(h.refused)).To(Equal(edits))
				g.Expect(len(h.refused)).To(BeNumerically(">", 0), "some edits conflicted")
			})
		})
	}
}

// historyInTable returns the ids in the rows of all entries.
func (f *fixture) historyInTable(g *WithT) []string {
	rows, err := f.rows.Range(context.Background(), "entry/", "", entries)
	g.Expect(err).NotTo(HaveOccurred())
	var ids []string
	for _, row := range rows {
		ids = append(ids, strings.Fields(string(row.Value))...)
	}
	slices.Sort(ids)
	return ids
}
