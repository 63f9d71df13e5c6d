package store

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/table"
)

// trimChanges is the largest number of changes that one transaction removes.
const trimChanges = 50

// Trim removes at most 50 of the oldest changes that were made before the given
// time, with their edit and history rows, and returns how many it removed. It
// keeps the newest record of each entry and owner. An edit that is repeated
// after its row was removed counts as a new edit. Trim may be repeated and
// called concurrently.
func (s *Store) Trim(ctx context.Context, before time.Time) (int, error) {
	current, err := s.Load(ctx)
	if err != nil {
		return 0, err
	}
	rows, err := s.table.Range(ctx, changePrefix, "", trimChanges)
	if err != nil {
		return 0, unavailable(err)
	}
	txn := table.Transaction{ID: s.newID()}
	removed := 0
	for _, row := range rows {
		change, err := unwrap[operator.Change](row)
		if err != nil {
			return 0, err
		}
		if !change.At.Before(before) || change.Revision == current.Revision {
			break
		}
		txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, trimWrites(current, row.Key, change)...)
		removed++
	}
	if removed == 0 {
		return 0, nil
	}
	outcome, known, err := s.commit(ctx, txn)
	if err != nil || !known || !outcome.Applied {
		return 0, err
	}
	return removed, nil
}

func trimWrites(current *carobkeel.Catalogue, key string, change operator.Change) []table.Write {
	writes := []table.Write{
		{Key: key, Delete: true},
		{Key: editPrefix + string(change.Edit), Delete: true},
	}
	for _, item := range change.Items {
		if isNewest(current, item, change.Revision) {
			continue
		}
		record := revisionKey(historyPrefixOf(item.Kind, item.Name), change.Revision)
		writes = append(writes, table.Write{Key: record, Delete: true})
	}
	return writes
}

// isNewest reports whether the revision is the one that last changed the item.
func isNewest(current *carobkeel.Catalogue, item operator.ChangeItem, revision carobkeel.Revision) bool {
	if item.Kind == operator.KindOwner {
		return current.Quotas[carobkeel.Owner(item.Name)].Revision == revision
	}
	entry, ok := current.Lookup(item.Name)
	return ok && entry.Revision == revision
}
