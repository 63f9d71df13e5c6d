package operator

import (
	"github.com/carobkeel/carobkeel"
)

// Usage is a snapshot of the work that runs. The zero value says that nothing
// does.
type Usage struct {
	// Owners holds what the running work of each owner uses.
	Owners map[carobkeel.Owner]carobkeel.Resources
	// Running holds the number of instances or tasks of each entry that run.
	Running map[string]int
}

// check refuses items that would break work that runs.
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
	if cutsBelow(before.MilliCPU, after.MilliCPU, used.MilliCPU) ||
		cutsBelow(before.MemoryBytes, after.MemoryBytes, used.MemoryBytes) ||
		cutsBelow(before.Accelerators, after.Accelerators, used.Accelerators) {
		return carobkeel.NewError(carobkeel.CodeEntryInUse,
			"owner %q would be guaranteed %s, and its running work uses %s", item.Name, FormatResources(after), FormatResources(used))
	}
	return nil
}

// cutsBelow reports whether a guarantee is lowered below what is used. A
// guarantee that was below it before, because the owner borrows, may rise.
func cutsBelow(before, after, used int64) bool { return after < before && after < used }
