package operator

import (
	"github.com/carobkeel/carobkeel"
)

// Usage is a snapshot of the running work. The zero value means that nothing
// runs.
type Usage struct {
	// Owners holds the resources that the running work of each owner uses.
	Owners map[carobkeel.Owner]carobkeel.Resources
	// Running holds the number of running instances or tasks of each entry.
	Running map[string]int
}

// check rejects items that are incompatible with running work.
func (u Usage) check(items []ChangeItem) error {
	for _, item := range items {
		var err error
		if item.Kind == KindEntry {
			err = u.checkEntry(item)
		} else {
			err = u.checkOwner(item)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (u Usage) checkEntry(item ChangeItem) error {
	running := u.Running[item.Name]
	if running == 0 || item.EntryBefore == nil {
		return nil
	}
	if item.EntryAfter == nil {
		return carobkeel.NewError(carobkeel.CodeEntryInUse,
			"entry %q has %d instances or tasks running; stop them first", item.Name, running)
	}
	if item.EntryAfter.Class != item.EntryBefore.Class || item.EntryAfter.Owner != item.EntryBefore.Owner {
		return carobkeel.NewError(carobkeel.CodeEntryInUse,
			"entry %q has %d instances or tasks running, so that its class and owner can't change", item.Name, running)
	}
	return nil
}

func (u Usage) checkOwner(item ChangeItem) error {
	used := u.Owners[carobkeel.Owner(item.Name)]
	if item.QuotaAfter == nil {
		if used.IsZero() {
			return nil
		}
		return carobkeel.NewError(carobkeel.CodeEntryInUse,
			"owner %q has work running that uses %s", item.Name, FormatResources(used))
	}
	if item.QuotaBefore == nil {
		return nil
	}
	before, after := item.QuotaBefore.Guaranteed, item.QuotaAfter.Guaranteed
	if lowersBelowUse(before.MilliCPU, after.MilliCPU, used.MilliCPU) ||
		lowersBelowUse(before.MemoryBytes, after.MemoryBytes, used.MemoryBytes) ||
		lowersBelowUse(before.Accelerators, after.Accelerators, used.Accelerators) {
		return carobkeel.NewError(carobkeel.CodeEntryInUse,
			"owner %q would be guaranteed %s, and its running work uses %s", item.Name, FormatResources(after), FormatResources(used))
	}
	return nil
}

// lowersBelowUse reports whether a guarantee is lowered to less than the use. A
// guarantee that was already below the use, because the owner borrows, may be
// raised.
func lowersBelowUse(before, after, used int64) bool { return after < before && after < used }
