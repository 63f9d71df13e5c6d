package objectstore

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	snapshotPrefix = "snapshots/"
	// revisionDigits is the number of digits of the greatest revision. Revisions
	// are padded to it, so that names sort by revision.
	revisionDigits = 20
)

// SnapshotPrefix returns the prefix of the names of snapshots of a kind.
func SnapshotPrefix(kind SnapshotKind) string {
	return snapshotPrefix + strconv.Itoa(int(kind)) + "/"
}

// SnapshotName returns the name of a snapshot. Each revision has a name of its
// own, so a delayed put can't replace a newer snapshot.
func SnapshotName(kind SnapshotKind, revision uint64) string {
	return fmt.Sprintf("%s%0*d", SnapshotPrefix(kind), revisionDigits, revision)
}

// SnapshotRevision returns the revision in a name, or false if it is not the
// name of a snapshot of the kind.
func SnapshotRevision(kind SnapshotKind, name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, SnapshotPrefix(kind))
	if !ok || len(digits) != revisionDigits {
		return 0, false
	}
	revision, err := strconv.ParseUint(digits, 10, 64)
	return revision, err == nil
}

// NewestFirst returns the names of the kind's snapshots of at least the given
// revision, the newest first.
func NewestFirst(kind SnapshotKind, names []string, least uint64) []string {
	var found []string
	for i := len(names) - 1; i >= 0; i-- {
		if revision, ok := SnapshotRevision(kind, names[i]); ok && revision >= least {
			found = append(found, names[i])
		}
	}
	return found
}

// Superseded returns the names of the kind's snapshots that are beyond the
// newest ones to keep.
func Superseded(kind SnapshotKind, names []string, keep int) []string {
	newest := NewestFirst(kind, names, 0)
	if len(newest) <= keep {
		return nil
	}
	return newest[keep:]
}
