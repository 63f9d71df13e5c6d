package operator_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func booking() carobkeel.Entry {
	return carobkeel.Entry{
		Name: "booking", Owner: "desk", Class: carobkeel.ClassLatencyCritical,
		Limits: carobkeel.Limits{Timeout: time.Second, Concurrency: 8},
	}
}

func deskQuota(milliCPU int64) carobkeel.Quota {
	return carobkeel.Quota{Owner: "desk", Weight: 1, Guaranteed: carobkeel.Resources{MilliCPU: milliCPU}}
}

func current() *carobkeel.Catalogue {
	return operator.Document{
		Quotas:  []carobkeel.Quota{deskQuota(4000)},
		Entries: []carobkeel.Entry{booking()},
	}.Catalogue(7)
}

func entryEdit(entry *carobkeel.Entry, expect operator.Expectation) operator.EditItem {
	return operator.EditItem{Kind: operator.KindEntry, Name: "booking", Expect: expect, Entry: entry}
}

func quotaEdit(quota *carobkeel.Quota) operator.EditItem {
	return operator.EditItem{Kind: operator.KindOwner, Name: "desk", Quota: quota}
}

func TestPlanAcceptsOrRefusesEdits(t *testing.T) {
	same, slower, foreign, batch := booking(), booking(), booking(), booking()
	slower.Limits.Timeout = 2 * time.Second
	foreign.Owner = "stranger"
	batch.Class, batch.RunTime, batch.Demand.MilliCPU = carobkeel.ClassBatch, time.Hour, 100
	low, high := deskQuota(1000), deskQuota(5000)
	running := operator.Usage{
		Owners:  map[carobkeel.Owner]carobkeel.Resources{"desk": {MilliCPU: 2000}},
		Running: map[string]int{"booking": 3},
	}
	idle := operator.Usage{}
	cases := []struct {
		name  string
		items []operator.EditItem
		usage operator.Usage
		code  carobkeel.Code
		count int
	}{
		{"nothing differs", []operator.EditItem{entryEdit(&same, operator.ExpectRevision(7))}, running, carobkeel.CodeOK, 0},
		{"a limit differs", []operator.EditItem{entryEdit(&slower, operator.ExpectRevision(7))}, running, carobkeel.CodeOK, 1},
		{"another revision", []operator.EditItem{entryEdit(&slower, operator.ExpectRevision(6))}, idle, carobkeel.CodeRevisionConflict, 0},
		{"expected absent", []operator.EditItem{entryEdit(&slower, operator.ExpectAbsent())}, idle, carobkeel.CodeRevisionConflict, 0},
		{"expected present", []operator.EditItem{entryEdit(&slower, operator.ExpectPresent())}, idle, carobkeel.CodeOK, 1},
		{"remove what runs", []operator.EditItem{entryEdit(nil, operator.ExpectAny())}, running, carobkeel.CodeEntryInUse, 0},
		{"remove what is idle", []operator.EditItem{entryEdit(nil, operator.ExpectAny())}, idle, carobkeel.CodeOK, 1},
		{"class of what runs", []operator.EditItem{entryEdit(&batch, operator.ExpectAny())}, running, carobkeel.CodeEntryInUse, 0},
		{"owner with an entry", []operator.EditItem{quotaEdit(nil)}, idle, carobkeel.CodeEntryInUse, 0},
		{"owner with work", []operator.EditItem{entryEdit(nil, operator.ExpectAny()), quotaEdit(nil)}, operator.Usage{Owners: running.Owners}, carobkeel.CodeEntryInUse, 0},
		{"owner and its entry", []operator.EditItem{quotaEdit(nil), entryEdit(nil, operator.ExpectAny())}, idle, carobkeel.CodeOK, 2},
		{"quota below use", []operator.EditItem{quotaEdit(&low)}, running, carobkeel.CodeEntryInUse, 0},
		{"quota raised", []operator.EditItem{quotaEdit(&high)}, running, carobkeel.CodeOK, 1},
		{"remove what is absent", []operator.EditItem{{Kind: operator.KindEntry, Name: "other"}}, idle, carobkeel.CodeUnknownEntry, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			change, err := operator.Plan(current(), operator.Edit{ID: "e", Items: c.items}, c.usage, noon)
			g.Expect(carobkeel.CodeOf(err)).To(Equal(c.code), "%v", err)
			g.Expect(change.Items).To(HaveLen(c.count))
			g.Expect(change.Differences()).To(HaveLen(c.count))
		})
	}
	for name, items := range map[string][]operator.EditItem{
		"unknown owner": {entryEdit(&foreign, operator.ExpectAny())},
		"same twice":    {entryEdit(&slower, operator.ExpectAny()), entryEdit(&same, operator.ExpectAny())},
		"too many":      make([]operator.EditItem, operator.MaxEditItems+1),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := operator.Plan(current(), operator.Edit{Items: items}, idle, noon)
			NewWithT(t).Expect(err).To(BeAssignableToTypeOf(operator.Problems{}))
		})
	}
}

func TestAppliedChangesReproduceThePlannedCatalogue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner, follower := current(), current()
		for range rapid.IntRange(1, 20).Draw(t, "edits") {
			entry := booking()
			entry.Limits.Queue = rapid.IntRange(0, 2).Draw(t, "queue")
			item := entryEdit(&entry, operator.ExpectAny())
			if rapid.Bool().Draw(t, "remove") {
				item.Entry = nil
			}
			change, err := operator.Plan(planner, operator.Edit{Items: []operator.EditItem{item}}, operator.Usage{}, noon)
			if err != nil || len(change.Items) == 0 {
				continue
			}
			planner, _ = operator.Apply(planner, change)
			if follower, err = operator.Apply(follower, change); err != nil {
				t.Fatal(err)
			}
			if _, err = operator.Apply(follower, change); !errors.Is(err, operator.ErrGap) {
				t.Fatal("a change was applied twice")
			}
		}
		NewWithT(t).Expect(follower).To(Equal(planner))
	})
}

func TestAcceptRevisionRefusesOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := carobkeel.Revision(rapid.Uint64().Draw(t, "seen"))
		offered := carobkeel.Revision(rapid.Uint64().Draw(t, "offered"))
		err := operator.AcceptRevision(seen, offered)
		if (err != nil) != (offered < seen) {
			t.Fatalf("seen %d, offered %d: %v", seen, offered, err)
		}
	})
}

func TestQuantitiesAreParsedAndFormatted(t *testing.T) {
	g := NewWithT(t)
	for text, milli := range map[string]int64{"500m": 500, "2": 2000, "1.5": 1500, "0.05": 50} {
		g.Expect(operator.ParseCPU(text)).To(Equal(milli), text)
	}
	for text, size := range map[string]int64{"4GiB": 4 << 30, "1": 1, "64KiB": 64 << 10, "0": 0} {
		g.Expect(operator.ParseBytes(text)).To(Equal(size), text)
	}
	for _, text := range []string{"", "-1", "4GB", "1.5GiB", "9999999999TiB", "4 GiB"} {
		_, err := operator.ParseBytes(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
	for _, text := range []string{"", "0", "800", "2 s", "s"} {
		_, err := operator.ParseDuration(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
	g.Expect(operator.FormatDuration(90 * time.Minute)).To(Equal("1h30m"))
	g.Expect(operator.FormatDuration(2 * time.Hour)).To(Equal("2h"))
}
