package operator

import (
	"fmt"
	"reflect"
	"time"

	"github.com/carobkeel/carobkeel"
)

// MaxEditItems is the largest number of items in one edit, which is written in
// one transaction.
const MaxEditItems = 500

// Edit is a change that an operator requests. It is applied atomically.
type Edit struct {
	ID EditID
	By string
	// Base is the catalogue revision that the edit expects, or zero if it
	// accepts any.
	Base  carobkeel.Revision
	Items []EditItem
}

// EditItem sets or removes one entry or owner.
type EditItem struct {
	Kind   Kind
	Name   string
	Expect Expectation
	// Entry is the new entry. It is nil for another kind and for a removal.
	Entry *carobkeel.Entry
	// Quota is the new quota. It is nil for another kind and for a removal.
	Quota *carobkeel.Quota
}

func (i EditItem) isRemoval() bool { return i.Entry == nil && i.Quota == nil }

// expectationKind is the kind of state that an edit expects.
type expectationKind uint8

const (
	expectAny expectationKind = iota
	expectAbsent
	expectPresent
	expectRevision
)

// Expectation is a precondition on the current state of an entry or owner. The
// zero value accepts every state.
type Expectation struct {
	kind     expectationKind
	revision carobkeel.Revision
}

// ExpectAny accepts every state.
func ExpectAny() Expectation { return Expectation{} }

// ExpectAbsent requires that no entry or owner of that name exists.
func ExpectAbsent() Expectation { return Expectation{kind: expectAbsent} }

// ExpectPresent requires that an entry or owner of that name exists.
func ExpectPresent() Expectation { return Expectation{kind: expectPresent} }

// ExpectRevision requires that the entry or owner was last changed in the given
// revision.
func ExpectRevision(revision carobkeel.Revision) Expectation {
	return Expectation{kind: expectRevision, revision: revision}
}

// check compares the expectation with the item's current state.
func (e Expectation) check(kind Kind, name string, present bool, revision carobkeel.Revision) error {
	state := "is absent"
	if present {
		state = fmt.Sprintf("is at revision %d", revision)
	}
	switch {
	case e.kind == expectAbsent && present:
		return carobkeel.NewError(carobkeel.CodeRevisionConflict, "%s %q %s, the edit expects none", kind, name, state)
	case e.kind == expectPresent && !present:
		return carobkeel.NewError(carobkeel.CodeRevisionConflict, "%s %q %s, the edit expects one", kind, name, state)
	case e.kind == expectRevision && (!present || revision != e.revision):
		return carobkeel.NewError(carobkeel.CodeRevisionConflict, "%s %q %s, the edit expects revision %d", kind, name, state, e.revision)
	}
	return nil
}

// EditFromDocument returns the edit that sets all owners and entries in the
// document. Each one with a revision is expected to be at that revision.
func EditFromDocument(doc Document, id EditID, by string) Edit {
	edit := Edit{ID: id, By: by}
	for _, quota := range doc.Quotas {
		edit.Items = append(edit.Items, EditItem{
			Kind: KindOwner, Name: string(quota.Owner), Expect: expectationOf(quota.Revision), Quota: &quota,
		})
	}
	for _, entry := range doc.Entries {
		edit.Items = append(edit.Items, EditItem{
			Kind: KindEntry, Name: entry.Name, Expect: expectationOf(entry.Revision), Entry: &entry,
		})
	}
	return edit
}

func expectationOf(revision carobkeel.Revision) Expectation {
	if revision == 0 {
		return ExpectAny()
	}
	return ExpectRevision(revision)
}

// Plan decides whether the edit may be applied to the current catalogue while
// the given work is running. It returns the change to make, which has no items
// if the catalogue already has the requested content. It returns Problems for an
// edit that is not valid, and a carobkeel.Error for any other refusal.
func Plan(current *carobkeel.Catalogue, edit Edit, usage Usage, now time.Time) (Change, error) {
	if len(edit.Items) > MaxEditItems {
		return Change{}, Problems{{Reason: fmt.Sprintf("the edit has %d items, want at most %d", len(edit.Items), MaxEditItems)}}
	}
	if edit.Base != 0 && edit.Base != revisionOf(current) {
		return Change{}, carobkeel.NewError(carobkeel.CodeRevisionConflict,
			"the catalogue is at revision %d, the edit expects revision %d", revisionOf(current), edit.Base)
	}
	change := Change{Revision: revisionOf(current) + 1, Edit: edit.ID, By: edit.By, At: now}
	for _, item := range edit.Items {
		planned, changed, err := planItem(current, item, change.Revision)
		if err != nil {
			return Change{}, err
		}
		if changed {
			change.Items = append(change.Items, planned)
		}
	}
	if err := validateItems(edit.Items).AsError(); err != nil {
		return Change{}, err
	}
	next, err := Apply(current, change)
	if err != nil {
		return Change{}, err
	}
	if err := checkReferences(next, change.Items); err != nil {
		return Change{}, err
	}
	if err := usage.check(change.Items); err != nil {
		return Change{}, err
	}
	return change, nil
}

// planItem checks an item's expectation and fills in its state before and after
// the edit. The second result is false if the item would not change.
func planItem(current *carobkeel.Catalogue, item EditItem, revision carobkeel.Revision) (ChangeItem, bool, error) {
	planned := ChangeItem{Kind: item.Kind, Name: item.Name}
	var present bool
	var last carobkeel.Revision
	if item.Kind == KindEntry {
		if entry, ok := current.Lookup(item.Name); ok {
			planned.EntryBefore, present, last = entry, true, entry.Revision
		}
	} else if quota, ok := lookupQuota(current, item.Name); ok {
		planned.QuotaBefore, present, last = &quota, true, quota.Revision
	}
	if item.isRemoval() && !present {
		return planned, false, carobkeel.NewError(carobkeel.CodeUnknownEntry, "there is no %s %q", item.Kind, item.Name)
	}
	if err := item.Expect.check(item.Kind, item.Name, present, last); err != nil {
		return planned, false, err
	}
	changed := planned.setAfter(item, revision)
	return planned, changed, nil
}

// setAfter fills in the state after the edit and reports whether it differs from
// the state before.
func (p *ChangeItem) setAfter(item EditItem, revision carobkeel.Revision) bool {
	switch {
	case item.Entry != nil:
		after := *item.Entry
		if p.EntryBefore != nil {
			after.Revision = p.EntryBefore.Revision
			if reflect.DeepEqual(after, *p.EntryBefore) {
				return false
			}
		}
		after.Revision = revision
		p.EntryAfter = &after
	case item.Quota != nil:
		after := *item.Quota
		if p.QuotaBefore != nil {
			after.Revision = p.QuotaBefore.Revision
			if after == *p.QuotaBefore {
				return false
			}
		}
		after.Revision = revision
		p.QuotaAfter = &after
	}
	return true
}

func lookupQuota(c *carobkeel.Catalogue, owner string) (carobkeel.Quota, bool) {
	if c == nil {
		return carobkeel.Quota{}, false
	}
	quota, ok := c.Quotas[carobkeel.Owner(owner)]
	return quota, ok
}

func validateItems(items []EditItem) Problems {
	var problems Problems
	seen := make(map[Kind]map[string]bool)
	for _, item := range items {
		if seen[item.Kind] == nil {
			seen[item.Kind] = make(map[string]bool)
		}
		if seen[item.Kind][item.Name] {
			problems = append(problems, Problem{Entry: item.Name, Field: "name", Reason: "stands twice"})
		}
		seen[item.Kind][item.Name] = true
		if item.Entry != nil {
			problems = append(problems, ValidateEntry(*item.Entry)...)
			if item.Entry.Name != item.Name {
				problems = append(problems, Problem{Entry: item.Name, Field: "name", Reason: fmt.Sprintf("%q is not the name that is edited", item.Entry.Name)})
			}
		}
		if item.Quota != nil {
			problems = append(problems, ValidateQuota(*item.Quota)...)
		}
	}
	return problems
}

// checkReferences rejects a change that would leave an entry whose owner is not
// in the catalogue.
func checkReferences(next *carobkeel.Catalogue, items []ChangeItem) error {
	var problems Problems
	for _, item := range items {
		if item.EntryAfter == nil {
			continue
		}
		if _, ok := next.Quotas[item.EntryAfter.Owner]; !ok {
			problems = append(problems, Problem{
				Entry: item.Name, Field: "owner",
				Reason: fmt.Sprintf("the catalogue has no owner %q", item.EntryAfter.Owner),
			})
		}
	}
	if err := problems.AsError(); err != nil {
		return err
	}
	for _, item := range items {
		if item.Kind != KindOwner || item.QuotaAfter != nil {
			continue
		}
		for _, entry := range DocumentFromCatalogue(next).Entries {
			if string(entry.Owner) == item.Name {
				return carobkeel.NewError(carobkeel.CodeEntryInUse, "owner %q still has entry %q", item.Name, entry.Name)
			}
		}
	}
	return nil
}
