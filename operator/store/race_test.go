package store_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

const (
	raceSeed      = 5
	raceOperators = 16
	raceEdits     = 2000
	raceEntries   = 20
)

// lossyTable is a table that loses commits: the transaction itself or only its
// answer. The outcome of the nth attempt of a transaction depends only on the
// seed and the transaction id.
type lossyTable struct {
	table.Table
	seed uint64
	mu   sync.Mutex
	sent map[table.TransactionID]uint64
	lost int
}

func (l *lossyTable) draw(id table.TransactionID) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id]++
	h := fnv.New64a()
	h.Write(id[:])
	h.Write(binary.BigEndian.AppendUint64(nil, l.seed))
	h.Write(binary.BigEndian.AppendUint64(nil, l.sent[id]))
	roll := rand.New(rand.NewPCG(h.Sum64(), l.seed)).Uint64N(10)
	if roll < 6 {
		l.lost++
	}
	return roll
}

func (l *lossyTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	switch roll := l.draw(txn.ID); {
	case roll < 3:
		return table.Outcome{}, table.ErrUnsettled
	case roll < 6:
		if _, err := l.Table.Commit(ctx, txn); err != nil {
			return table.Outcome{}, err
		}
		return table.Outcome{}, table.ErrUnsettled
	default:
		return l.Table.Commit(ctx, txn)
	}
}

// reportedResults holds the results that the operators received.
type reportedResults struct {
	mu       sync.Mutex
	accepted map[operator.EditID]carobkeel.Revision
	refused  map[operator.EditID]bool
	unknown  map[operator.EditID]bool
}

func (d *reportedResults) record(id operator.EditID, result store.Result, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.accepted[id] = result.Revision
	case carobkeel.CodeOf(err) == carobkeel.CodeEditUnsettled:
		d.unknown[id] = true
	default:
		d.refused[id] = true
	}
}

// raceCatalogue returns the catalogue with the entries that the operators edit.
func raceCatalogue() operator.Document {
	doc := operator.Document{Quotas: []carobkeel.Quota{{Owner: "desk", Weight: 1}}}
	for i := range raceEntries {
		doc.Entries = append(doc.Entries, carobkeel.Entry{
			Name: fmt.Sprintf("entry-%02d", i), Owner: "desk", Class: carobkeel.ClassLatencyCritical,
			Limits: carobkeel.Limits{Timeout: time.Second, Concurrency: 1},
		})
	}
	return doc
}

// runOperator makes edits, each on the condition that the entry still has the
// revision that this operator read. Each edit sets a different queue length.
func runOperator(rows table.Table, number int, outcomes *reportedResults) {
	random := rand.New(rand.NewPCG(raceSeed, uint64(number)))
	newID := func() (id table.TransactionID) {
		binary.BigEndian.PutUint64(id[:], random.Uint64())
		binary.BigEndian.PutUint64(id[8:], random.Uint64())
		return id
	}
	s := store.New(store.Config{Table: rows, NewID: newID, Wait: noWait, Now: func() time.Time { return start }})
	ctx := context.Background()
	for i := range raceEdits / raceOperators {
		seen, err := s.Load(ctx)
		if err != nil {
			panic(err)
		}
		entry := *seen.Entries[fmt.Sprintf("entry-%02d", random.IntN(raceEntries))]
		expect := operator.ExpectRevision(entry.Revision)
		entry.Limits.Queue = 1 + number*raceEdits + i
		id := operator.EditID(fmt.Sprintf("op-%d-%d", number, i))
		result, err := s.Edit(ctx, operator.Edit{ID: id, Items: []operator.EditItem{
			{Kind: operator.KindEntry, Name: entry.Name, Expect: expect, Entry: &entry},
		}})
		outcomes.record(id, result, err)
	}
}

func TestConcurrentEditsGetConsecutiveRevisions(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	rows := memory.New()
	g.Expect(newStore(rows).Seed(ctx, raceCatalogue(), "test")).To(Succeed())
	faulty := &lossyTable{Table: rows, seed: raceSeed, sent: make(map[table.TransactionID]uint64)}
	outcomes := &reportedResults{
		accepted: make(map[operator.EditID]carobkeel.Revision),
		refused:  make(map[operator.EditID]bool), unknown: make(map[operator.EditID]bool),
	}
	var group sync.WaitGroup
	for number := range raceOperators {
		group.Go(func() { runOperator(faulty, number, outcomes) })
	}
	group.Wait()
	g.Expect(len(outcomes.accepted) + len(outcomes.refused) + len(outcomes.unknown)).To(Equal(raceEdits))
	g.Expect(outcomes.accepted).NotTo(BeEmpty())
	t.Logf("%d accepted, %d refused, %d unsettled, %d answers lost",
		len(outcomes.accepted), len(outcomes.refused), len(outcomes.unknown), faulty.lost)

	checkLog(g, rows, outcomes)
}

// checkLog checks that the revisions in the change log are consecutive, and
// compares the log with the results that the operators received.
func checkLog(g *WithT, rows table.Table, outcomes *reportedResults) {
	ctx := context.Background()
	observer := newStore(rows)
	changes, err := observer.Changes(ctx, 0, raceEdits+1)
	g.Expect(err).NotTo(HaveOccurred())
	inLog := make(map[operator.EditID]carobkeel.Revision)
	var replayed *carobkeel.Catalogue
	for i, change := range changes {
		g.Expect(change.Revision).To(Equal(carobkeel.Revision(i + 1)))
		g.Expect(inLog).NotTo(HaveKey(change.Edit))
		inLog[change.Edit] = change.Revision
		for _, item := range change.Items {
			if item.EntryBefore != nil {
				g.Expect(item.EntryBefore).To(Equal(replayed.Entries[item.Name]))
			}
		}
		replayed, err = operator.Apply(replayed, change)
		g.Expect(err).NotTo(HaveOccurred())
	}
	for id, revision := range outcomes.accepted {
		g.Expect(inLog).To(HaveKeyWithValue(id, revision))
	}
	for id := range outcomes.refused {
		g.Expect(inLog).NotTo(HaveKey(id))
	}
	for id := range inLog {
		_, isAccepted := outcomes.accepted[id]
		g.Expect(id == "seed" || isAccepted || outcomes.unknown[id]).To(BeTrue(), "%s", id)
	}
	loaded, err := observer.Load(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded).To(Equal(replayed))
}
