package store

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/table"
)

// rowFormat is the newest row format that this release reads, and the one that
// it writes.
const rowFormat = 1

// Keys of the catalogue's rows.
const (
	headKey       = "catalogue/head"
	entryPrefix   = "catalogue/entry/"
	ownerPrefix   = "catalogue/owner/"
	changePrefix  = "catalogue/change/"
	historyPrefix = "catalogue/history/"
	editPrefix    = "catalogue/edit/"
)

// headRow is the content of the head row.
type headRow struct {
	Format   int                `json:"format"`
	Revision carobkeel.Revision `json:"revision"`
}

// editRow is the content of an edit's row.
type editRow struct {
	Format   int                `json:"format"`
	Revision carobkeel.Revision `json:"revision"`
	// Digest is the digest of the edit's content. It detects a different edit
	// under the same id.
	Digest string `json:"digest"`
}

// envelope is the content of every other row.
type envelope[T any] struct {
	Format int `json:"format"`
	Value  T   `json:"value"`
}

// revisionKey formats the revision with a fixed width, so that keys sort by
// revision.
func revisionKey(prefix string, revision carobkeel.Revision) string {
	return fmt.Sprintf("%s%020d", prefix, uint64(revision))
}

func historyPrefixOf(kind operator.Kind, name string) string {
	return fmt.Sprintf("%s%s/%s/", historyPrefix, kind, name)
}

func itemKey(item operator.ChangeItem) string {
	if item.Kind == operator.KindOwner {
		return ownerPrefix + item.Name
	}
	return entryPrefix + item.Name
}

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	return data, errors.WithStack(err)
}

func wrap[T any](value T) ([]byte, error) {
	return encode(envelope[T]{Format: rowFormat, Value: value})
}

func unwrap[T any](row table.Row) (T, error) {
	var content envelope[T]
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return content.Value, unreadableRow(row.Key, err)
	}
	return content.Value, checkFormat(row.Key, content.Format)
}

func checkFormat(key string, format int) error {
	if format < 1 || format > rowFormat {
		return unreadableRow(key, errors.Errorf("format %d, this release reads 1 to %d", format, rowFormat))
	}
	return nil
}

func unreadableRow(key string, err error) error {
	return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "row %s can't be read: %v", key, err)
}

func decodeHead(row table.Row) (headRow, error) {
	var head headRow
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, unreadableRow(row.Key, err)
	}
	return head, checkFormat(row.Key, head.Format)
}

func decodeEdit(row table.Row) (editRow, error) {
	var edit editRow
	if err := json.Unmarshal(row.Value, &edit); err != nil {
		return edit, unreadableRow(row.Key, err)
	}
	return edit, checkFormat(row.Key, edit.Format)
}

// writesOf returns the rows that a change writes.
func writesOf(change operator.Change, digest string) ([]table.Write, error) {
	var writes []table.Write
	add := func(key string, value []byte, err error) error {
		if err == nil {
			writes = append(writes, table.Write{Key: key, Value: value})
		}
		return err
	}
	head, err := encode(headRow{Format: rowFormat, Revision: change.Revision})
	if err := add(headKey, head, err); err != nil {
		return nil, err
	}
	edit, err := encode(editRow{Format: rowFormat, Revision: change.Revision, Digest: digest})
	if err := add(editPrefix+string(change.Edit), edit, err); err != nil {
		return nil, err
	}
	changeRow, err := wrap(change)
	if err := add(revisionKey(changePrefix, change.Revision), changeRow, err); err != nil {
		return nil, err
	}
	for _, record := range change.Records() {
		value, err := wrap(record)
		key := revisionKey(historyPrefixOf(record.Item.Kind, record.Item.Name), record.Revision)
		if err := add(key, value, err); err != nil {
			return nil, err
		}
		write, err := itemWrite(record.Item)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	return writes, nil
}

// itemWrite returns the write of an entry's or owner's own row.
func itemWrite(item operator.ChangeItem) (table.Write, error) {
	var value []byte
	var err error
	switch {
	case item.EntryAfter != nil:
		value, err = wrap(*item.EntryAfter)
	case item.QuotaAfter != nil:
		value, err = wrap(*item.QuotaAfter)
	default:
		return table.Write{Key: itemKey(item), Delete: true}, nil
	}
	return table.Write{Key: itemKey(item), Value: value}, err
}
