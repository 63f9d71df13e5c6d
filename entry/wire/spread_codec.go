package wire

import (
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/operator"
)

const (
	// pieceEntries is how many entries go in one piece of a snapshot, well
	// below the largest frame.
	pieceEntries = 200
	// maxPieces bounds the pieces of one snapshot that are taken.
	maxPieces = 10_000
)

// EncodeHave returns the payload of a process's word on what it holds.
func EncodeHave(stamp entry.Stamp, whole bool) ([]byte, error) {
	m := Have{Revision: uint64(stamp.Revision), Digest: stamp.Digest, Format: entry.DigestFormat, Whole: whole}
	payload, err := m.MarshalMsg(nil)
	return payload, errors.Wrap(err, "encode stamp")
}

// DecodeHave reads what EncodeHave wrote.
func DecodeHave(payload []byte) (entry.Stamp, bool, error) {
	var m Have
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return entry.Stamp{}, false, errors.Wrap(err, "decode stamp")
	}
	return stampOf(m.Revision, m.Digest, m.Format), m.Whole, nil
}

// stampOf returns a stamp whose digest is unknown where it was computed in
// another way.
func stampOf(revision, digest uint64, format int) entry.Stamp {
	return entry.Stamp{Revision: carobkeel.Revision(revision), Digest: digestOf(digest, format)}
}

func digestOf(digest uint64, format int) uint64 {
	if format != entry.DigestFormat {
		return 0
	}
	return digest
}

// EncodeChanges returns the payload of changes.
func EncodeChanges(changes []entry.StampedChange) ([]byte, error) {
	m := Changes{Format: entry.DigestFormat}
	for _, c := range changes {
		m.Changes = append(m.Changes, changeMessage(c))
	}
	payload, err := m.MarshalMsg(nil)
	return payload, errors.Wrap(err, "encode changes")
}

func changeMessage(c entry.StampedChange) Change {
	m := Change{Revision: uint64(c.Change.Revision), Digest: c.Digest}
	for _, item := range c.Change.Items {
		message := ChangeItem{Kind: string(item.Kind), Name: item.Name}
		if item.EntryAfter != nil {
			e := entryMessage(item.EntryAfter)
			message.Entry = &e
		}
		if item.QuotaAfter != nil {
			q := quotaMessage(*item.QuotaAfter)
			message.Quota = &q
		}
		m.Items = append(m.Items, message)
	}
	return m
}

// DecodeChanges reads what EncodeChanges wrote.
func DecodeChanges(payload []byte) ([]entry.StampedChange, error) {
	var m Changes
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, errors.Wrap(err, "decode changes")
	}
	changes := make([]entry.StampedChange, 0, len(m.Changes))
	for _, message := range m.Changes {
		change := operator.Change{Revision: carobkeel.Revision(message.Revision)}
		for _, item := range message.Items {
			change.Items = append(change.Items, itemOf(item))
		}
		changes = append(changes, entry.StampedChange{Change: change, Digest: digestOf(message.Digest, m.Format)})
	}
	return changes, nil
}

func itemOf(m ChangeItem) operator.ChangeItem {
	item := operator.ChangeItem{Kind: operator.Kind(m.Kind), Name: m.Name}
	if m.Entry != nil {
		e := entryOf(*m.Entry)
		item.EntryAfter = &e
	}
	if m.Quota != nil {
		q := quotaOf(*m.Quota)
		item.QuotaAfter = &q
	}
	return item
}

// EncodeSnapshot returns the payloads of a whole catalogue's pieces, in order.
func EncodeSnapshot(c *carobkeel.Catalogue, stamp entry.Stamp) ([][]byte, error) {
	doc := operator.DocumentOf(c)
	count := max(1, (max(len(doc.Entries), len(doc.Quotas))+pieceEntries-1)/pieceEntries)
	payloads := make([][]byte, 0, count)
	for i := range count {
		m := SnapshotPiece{
			Revision: uint64(stamp.Revision), Digest: stamp.Digest, Format: entry.DigestFormat,
			Index: i, Count: count,
		}
		for _, e := range part(doc.Entries, i) {
			m.Entries = append(m.Entries, entryMessage(&e))
		}
		for _, q := range part(doc.Quotas, i) {
			m.Quotas = append(m.Quotas, quotaMessage(q))
		}
		payload, err := m.MarshalMsg(nil)
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
		payloads = append(payloads, payload)
	}
	return payloads, nil
}

// part returns the values that go in the piece with the index.
func part[T any](values []T, index int) []T {
	first := min(index*pieceEntries, len(values))
	return values[first:min(first+pieceEntries, len(values))]
}

// Assembler puts a snapshot together from its pieces, which come in order. The
// zero value waits for a first piece.
type Assembler struct {
	stamp     entry.Stamp
	catalogue *carobkeel.Catalogue
	next      int
}

// Add takes the payload of one piece. It returns the catalogue and its stamp
// with the last one, nil before. A piece out of order drops what was gathered.
func (a *Assembler) Add(payload []byte) (*carobkeel.Catalogue, entry.Stamp, error) {
	var m SnapshotPiece
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, entry.Stamp{}, errors.Wrap(err, "decode snapshot")
	}
	stamp := stampOf(m.Revision, m.Digest, m.Format)
	if m.Index == 0 {
		*a = Assembler{stamp: stamp, catalogue: &carobkeel.Catalogue{
			Revision: stamp.Revision,
			Entries:  make(map[string]*carobkeel.Entry),
			Quotas:   make(map[carobkeel.Owner]carobkeel.Quota),
		}}
	}
	if a.catalogue == nil || m.Index != a.next || stamp != a.stamp || m.Count > maxPieces || m.Index >= m.Count {
		*a = Assembler{}
		return nil, entry.Stamp{}, errors.Errorf("piece %d of snapshot %d is out of order", m.Index, m.Revision)
	}
	a.take(m)
	if a.next < m.Count {
		return nil, entry.Stamp{}, nil
	}
	whole := a.catalogue
	*a = Assembler{}
	return whole, stamp, nil
}

func (a *Assembler) take(m SnapshotPiece) {
	for _, message := range m.Entries {
		e := entryOf(message)
		a.catalogue.Entries[e.Name] = &e
	}
	for _, message := range m.Quotas {
		q := quotaOf(message)
		a.catalogue.Quotas[q.Owner] = q
	}
	a.next++
}

func entryMessage(e *carobkeel.Entry) CatalogueEntry {
	return CatalogueEntry{
		Name:                 e.Name,
		Owner:                string(e.Owner),
		Class:                uint8(e.Class),
		Revision:             uint64(e.Revision),
		TimeoutNanos:         int64(e.Limits.Timeout),
		Concurrency:          e.Limits.Concurrency,
		Queue:                e.Limits.Queue,
		Floor:                e.Limits.Floor,
		BodyBytes:            e.Limits.BodyBytes,
		Demand:               Resources(e.Demand),
		Instances:            e.Instances,
		IdempotentMethods:    e.IdempotentMethods,
		NonIdempotentMethods: e.NonIdempotentMethods,
		RunTimeNanos:         int64(e.RunTime),
	}
}

func entryOf(m CatalogueEntry) carobkeel.Entry {
	return carobkeel.Entry{
		Name:     m.Name,
		Owner:    carobkeel.Owner(m.Owner),
		Class:    carobkeel.Class(m.Class),
		Revision: carobkeel.Revision(m.Revision),
		Limits: carobkeel.Limits{
			Timeout:     time.Duration(m.TimeoutNanos),
			Concurrency: m.Concurrency,
			Queue:       m.Queue,
			Floor:       m.Floor,
			BodyBytes:   m.BodyBytes,
		},
		Demand:               carobkeel.Resources(m.Demand),
		Instances:            m.Instances,
		IdempotentMethods:    m.IdempotentMethods,
		NonIdempotentMethods: m.NonIdempotentMethods,
		RunTime:              time.Duration(m.RunTimeNanos),
	}
}

func quotaMessage(q carobkeel.Quota) Quota {
	return Quota{
		Owner:      string(q.Owner),
		Revision:   uint64(q.Revision),
		Guaranteed: Resources(q.Guaranteed),
		Weight:     q.Weight,
	}
}

func quotaOf(m Quota) carobkeel.Quota {
	return carobkeel.Quota{
		Owner:      carobkeel.Owner(m.Owner),
		Revision:   carobkeel.Revision(m.Revision),
		Guaranteed: carobkeel.Resources(m.Guaranteed),
		Weight:     m.Weight,
	}
}
