package wire_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/operator"
)

func drawEntry(t *rapid.T, name string) carobkeel.Entry {
	methods := rapid.SliceOfN(rapid.SampledFrom([]string{"POST", "PATCH"}), 0, 2)
	return carobkeel.Entry{
		Name:     name,
		Owner:    carobkeel.Owner(rapid.String().Draw(t, "owner")),
		Class:    carobkeel.Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Revision: carobkeel.Revision(rapid.Uint64().Draw(t, "revision")),
		Limits: carobkeel.Limits{
			Timeout: time.Duration(rapid.Int64().Draw(t, "timeout")), Concurrency: rapid.Int().Draw(t, "concurrency"),
			Queue: rapid.Int().Draw(t, "queue"), GuaranteedShare: rapid.Float64().Draw(t, "floor"), BodyBytes: rapid.Int64().Draw(t, "body"),
		},
		Demand:               carobkeel.Resources{MilliCPU: rapid.Int64().Draw(t, "cpu"), MemoryBytes: rapid.Int64().Draw(t, "memory")},
		Instances:            rapid.Int().Draw(t, "instances"),
		IdempotentMethods:    methods.Draw(t, "idempotent"),
		NonIdempotentMethods: methods.Draw(t, "non-idempotent"),
		RunTime:              time.Duration(rapid.Int64().Draw(t, "run time")),
	}
}

func drawCatalogue(t *rapid.T) *carobkeel.Catalogue {
	c := &carobkeel.Catalogue{
		Revision: carobkeel.Revision(rapid.Uint64().Draw(t, "revision")),
		Entries:  make(map[string]*carobkeel.Entry),
		Quotas:   map[carobkeel.Owner]carobkeel.Quota{"desk": {Owner: "desk", Weight: rapid.Float64().Draw(t, "weight")}},
	}
	sample := drawEntry(t, "service")
	for i := range rapid.IntRange(0, 500).Draw(t, "entries") {
		e := sample
		e.Name = fmt.Sprint("service-", i)
		c.Entries[e.Name] = &e
	}
	return c
}

func TestSnapshotKeepsEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		sent := drawCatalogue(t)
		payloads, err := wire.EncodeSnapshot(sent, entry.StampOf(sent))
		g.Expect(err).NotTo(HaveOccurred())
		var assembler wire.SnapshotAssembler
		for i, payload := range payloads {
			got, stamp, err := assembler.Add(payload)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got != nil).To(Equal(i == len(payloads)-1))
			if got != nil {
				g.Expect(entry.StampOf(got)).To(Equal(entry.StampOf(sent)))
				g.Expect(stamp).To(Equal(entry.StampOf(sent)))
			}
		}
	})
}

func TestChangesKeepEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		e := drawEntry(t, "desk")
		quota := carobkeel.Quota{Owner: "o", Weight: 2, Guaranteed: carobkeel.Resources{Accelerators: 3}}
		sent := []entry.StampedChange{{Digest: rapid.Uint64Min(1).Draw(t, "digest"), Change: operator.Change{Revision: 4, Items: []operator.ChangeItem{
			{Kind: operator.KindEntry, Name: "desk", EntryAfter: &e},
			{Kind: operator.KindOwner, Name: "o", QuotaAfter: &quota},
			{Kind: operator.KindEntry, Name: "gone"},
		}}}}
		payload, err := wire.EncodeChanges(sent)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := wire.DecodeChanges(payload)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fmt.Sprintf("%+v", *got[0].Change.Items[0].EntryAfter)).To(Equal(fmt.Sprintf("%+v", e)))
		got[0].Change.Items[0].EntryAfter = &e
		g.Expect(got).To(Equal(sent))
	})
}

func TestSnapshotPiecesOutOfOrderAreRefused(t *testing.T) {
	g := NewWithT(t)
	c := &carobkeel.Catalogue{Revision: 1, Entries: make(map[string]*carobkeel.Entry)}
	for i := range 500 {
		c.Entries[fmt.Sprint(i)] = &carobkeel.Entry{Name: fmt.Sprint(i)}
	}
	payloads, err := wire.EncodeSnapshot(c, entry.StampOf(c))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(payloads).To(HaveLen(3))
	var assembler wire.SnapshotAssembler
	_, _, err = assembler.Add(payloads[0])
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = assembler.Add(payloads[2])
	g.Expect(err).To(HaveOccurred())
	_, _, err = assembler.Add(payloads[1])
	g.Expect(err).To(HaveOccurred())
}
