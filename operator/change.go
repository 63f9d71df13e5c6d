package operator

import (
	"fmt"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
)

// EditID identifies an edit. An edit that is sent again with the same id has no
// further effect.
type EditID string

// Kind tells whether an item of an edit is an entry or an owner.
type Kind string

// Kinds of items.
const (
	// KindEntry is a service or batch task.
	KindEntry Kind = "entry"
	// KindOwner is an owner with its quota.
	KindOwner Kind = "owner"
)

// ChangeItem is one entry or owner before and after a change. Before is nil for
// one that is added, After for one that is removed.
type ChangeItem struct {
	Kind        Kind             `json:"kind"`
	Name        string           `json:"name"`
	EntryBefore *carobkeel.Entry `json:"entry_before,omitempty"`
	EntryAfter  *carobkeel.Entry `json:"entry_after,omitempty"`
	QuotaBefore *carobkeel.Quota `json:"quota_before,omitempty"`
	QuotaAfter  *carobkeel.Quota `json:"quota_after,omitempty"`
}

// Change is an accepted edit. Changes have consecutive revisions, so that
// applying them in order leads from the empty catalogue to the current one.
type Change struct {
	Revision carobkeel.Revision `json:"revision"`
	Edit     EditID             `json:"edit"`
	By       string             `json:"by"`
	At       time.Time          `json:"at"`
	Items    []ChangeItem       `json:"items"`
}

// Record is one change of one entry or owner in its history.
type Record struct {
	Revision carobkeel.Revision `json:"revision"`
	Edit     EditID             `json:"edit"`
	By       string             `json:"by"`
	At       time.Time          `json:"at"`
	Item     ChangeItem         `json:"item"`
}

// Records returns the change as a record for each of its items.
func (c Change) Records() []Record {
	records := make([]Record, 0, len(c.Items))
	for _, item := range c.Items {
		records = append(records, Record{Revision: c.Revision, Edit: c.Edit, By: c.By, At: c.At, Item: item})
	}
	return records
}

// ErrGap is returned for a change whose revision does not directly follow the
// catalogue's, so that the full catalogue has to be loaded.
var ErrGap = errors.New("change does not follow on the catalogue")

// Apply returns the catalogue after the change. It returns ErrGap for a change
// whose revision is not the next one.
func Apply(c *carobkeel.Catalogue, change Change) (*carobkeel.Catalogue, error) {
	if change.Revision != revisionOf(c)+1 {
		return nil, errors.Wrapf(ErrGap, "change %d on revision %d", change.Revision, revisionOf(c))
	}
	next := &carobkeel.Catalogue{
		Revision: change.Revision,
		Entries:  make(map[string]*carobkeel.Entry),
		Quotas:   make(map[carobkeel.Owner]carobkeel.Quota),
	}
	if c != nil {
		maps.Copy(next.Entries, c.Entries)
		maps.Copy(next.Quotas, c.Quotas)
	}
	for _, item := range change.Items {
		applyItem(next, item)
	}
	return next, nil
}

func applyItem(c *carobkeel.Catalogue, item ChangeItem) {
	switch {
	case item.Kind == KindEntry && item.EntryAfter != nil:
		c.Entries[item.Name] = item.EntryAfter
	case item.Kind == KindEntry:
		delete(c.Entries, item.Name)
	case item.QuotaAfter != nil:
		c.Quotas[carobkeel.Owner(item.Name)] = *item.QuotaAfter
	default:
		delete(c.Quotas, carobkeel.Owner(item.Name))
	}
}

func revisionOf(c *carobkeel.Catalogue) carobkeel.Revision {
	if c == nil {
		return 0
	}
	return c.Revision
}

// OlderRevisionError reports an offered state that is older than one already
// seen.
type OlderRevisionError struct {
	Seen, Offered carobkeel.Revision
}

// Error implements error.
func (e *OlderRevisionError) Error() string {
	return fmt.Sprintf("catalogue revision %d is older than revision %d that was seen", e.Offered, e.Seen)
}

// AcceptRevision decides whether a process that has seen one revision may accept
// a state with another. It returns an OlderRevisionError for an older state.
func AcceptRevision(seen, offered carobkeel.Revision) error {
	if offered < seen {
		return &OlderRevisionError{Seen: seen, Offered: offered}
	}
	return nil
}
