package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
)

const retention = 30 * time.Second

func newLedger() *entry.RequestLedger {
	return entry.NewRequestLedger(entry.RequestLedgerLimits{Retention: retention, KeyedRetention: 10 * retention, KeptBytes: 100})
}

// ledgerModel holds the requests that started, and those that the ledger answered
// would never start.
type ledgerModel struct {
	started map[carobkeel.RequestID]bool
	denied  map[carobkeel.RequestID]bool
}

// TestLedgerNeverContradictsItsAnswers draws arrivals, starts, ends, queries and
// sweeps at any time and in any order. It fails if a request starts twice, if it
// starts after the ledger answered that it never will, or if the ledger gives
// that answer for a request that started.
func TestLedgerNeverContradictsItsAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := newLedger()
		now := time.Unix(1000, 0)
		model := ledgerModel{started: map[carobkeel.RequestID]bool{}, denied: map[carobkeel.RequestID]bool{}}
		var open []*entry.Record
		anyID := rapid.Custom(func(t *rapid.T) carobkeel.RequestID {
			return carobkeel.RequestID{
				Entry:    carobkeel.Incarnation(rapid.Uint64Range(1, 2).Draw(t, "entry")),
				Sequence: rapid.Uint64Range(1, 12).Draw(t, "sequence"),
			}
		})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				record, isNew := ledger.Begin(anyID.Draw(t, "id"), rapid.Bool().Draw(t, "keyed"))
				if isNew {
					open = append(open, record)
				}
			},
			"start": func(t *rapid.T) {
				for _, record := range open {
					if record.State() == entry.StateAccepted && rapid.Bool().Draw(t, "now") && record.Start() {
						if model.started[record.ID] {
							t.Fatalf("request %s started twice", record.ID)
						}
						if model.denied[record.ID] {
							t.Fatalf("request %s started after the ledger answered that it never would", record.ID)
						}
						model.started[record.ID] = true
					}
				}
			},
			"end": func(t *rapid.T) {
				for _, record := range open {
					record.Finish(&entry.Outcome{Status: 200}, now)
				}
			},
			"query": func(t *rapid.T) {
				id := anyID.Draw(t, "id")
				record := ledger.Query(id, now)
				if record == nil || record.State() != entry.StateRefused {
					return
				}
				if model.started[id] {
					t.Fatalf("request %s started, but the ledger answers that it never will", id)
				}
				model.denied[id] = true
			},
			"sweep": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "seconds")) * time.Second)
				ledger.Sweep(now)
			},
		})
	})
}

func TestLedgerEvictsEndedRequests(t *testing.T) {
	g := NewWithT(t)
	ledger := newLedger()
	now := time.Unix(1000, 0)
	for sequence := range uint64(100) {
		record, _ := ledger.Begin(carobkeel.RequestID{Entry: 1, Sequence: sequence + 1}, false)
		record.Start()
		record.Finish(&entry.Outcome{}, now)
	}
	running, _ := ledger.Begin(carobkeel.RequestID{Entry: 1, Sequence: 101}, false)
	running.Start()
	ledger.Sweep(now.Add(retention))
	g.Expect(ledger.Len()).To(Equal(1))
}

func TestLedgerBoundsTheSizeOfKeptAnswers(t *testing.T) {
	g := NewWithT(t)
	ledger := newLedger()
	now := time.Unix(1000, 0)
	g.Expect(ledger.ReserveBytes(80)).To(BeTrue())
	g.Expect(ledger.ReserveBytes(30)).To(BeFalse())
	record, _ := ledger.Begin(carobkeel.RequestID{Entry: 1, Sequence: 1}, false)
	record.Start()
	record.Finish(&entry.Outcome{Body: make([]byte, 80)}, now)
	ledger.Sweep(now.Add(retention))
	g.Expect(ledger.ReserveBytes(30)).To(BeTrue(), "evicting an answer releases its bytes")
}
