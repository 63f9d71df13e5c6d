package wire

import (
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/operator"
)

const (
	// entriesPerPiece is the maximum number of entries, and of quotas, in one
	// piece of a snapshot. A piece is then well below the maximum frame size.
	entriesPerPiece = 200
	// maxPieces is the maximum number of pieces of a received snapshot.
	maxPieces = 10_000
)

// EncodeCatalogueState encodes the stamp of a process's state as a payload. In a
// request, wantSnapshot asks for a full snapshot.
func EncodeCatalogueState(stamp entry.Stamp, wantSnapshot bool) ([]byte, error) {
	m := CatalogueState{Revision: uint64(stamp.Revision), Digest: stamp.Digest, Format: entry.DigestFormat, Snapshot: wantSnapshot}
	payload, err := m.MarshalMsg(nil)
	return payload, errors.Wrap(err, "encode stamp")
}

// DecodeCatalogueState decodes a payload of EncodeCatalogueState.
func DecodeCatalogueState(payload []byte) (entry.Stamp, bool, error) {
	var m CatalogueState
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return entry.Stamp{}, false, errors.Wrap(err, "decode stamp")
	}
	return stampOf(m.Revision, m.Digest, m.Format), m.Snapshot, nil
}

// stampOf returns a stamp. Its digest is unknown if it has another format than
// the one of this process.
func stampOf(revision, digest uint64, format int) entry.Stamp {
	return entry.Stamp{Revision: carobkeel.Revision(revision), Digest: digestOf(digest, format)}
}

func digestOf(digest uint64, format int) uint64 {
	if format != entry.DigestFormat {
		return 0
	}
	return digest
}

// EncodeChanges encodes changes as a payload.
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

// DecodeChanges decodes a payload of EncodeChanges.
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

// EncodeSnapshot encodes a catalogue as the payloads of the pieces of a full
// snapshot, in order.
func EncodeSnapshot(c *carobkeel.Catalogue, stamp entry.Stamp) ([][]byte, error) {
	doc := operator.DocumentFromCatalogue(c)
	count := max(1, (max(len(doc.Entries), len(doc.Quotas))+entriesPerPiece-1)/entriesPerPiece)
	payloads := make([][]byte, 0, count)
	for i := range count {
		m := SnapshotPiece{
			Revision: uint64(stamp.Revision), Digest: stamp.Digest, Format: entry.DigestFormat,
			Index: i, Count: count,
		}
		for _, e := range pieceOf(doc.Entries, i) {
			m.Entries = append(m.Entries, entryMessage(&e))
		}
		for _, q := range pieceOf(doc.Quotas, i) {
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

// pieceOf returns the values that belong to the piece with the index.
func pieceOf[T any](values []T, index int) []T {
	first := min(index*entriesPerPiece, len(values))
	return values[first:min(first+entriesPerPiece, len(values))]
}

// SnapshotAssembler assembles a snapshot from its pieces, which must be added in order.
// The zero value is ready for the first piece of a snapshot.
type SnapshotAssembler struct {
	stamp     entry.Stamp
	catalogue *carobkeel.Catalogue
	next      int
}

// Add adds the payload of one piece. After the last piece it returns the catalogue
// and its stamp, before that nil. A piece out of order is an error and discards
// the pieces added so far.
func (a *SnapshotAssembler) Add(payload []byte) (*carobkeel.Catalogue, entry.Stamp, error) {
	var m SnapshotPiece
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, entry.Stamp{}, errors.Wrap(err, "decode snapshot")
	}
	stamp := stampOf(m.Revision, m.Digest, m.Format)
	if m.Index == 0 {
		*a = SnapshotAssembler{stamp: stamp, catalogue: &carobkeel.Catalogue{
			Revision: stamp.Revision,
			Entries:  make(map[string]*carobkeel.Entry),
			Quotas:   make(map[carobkeel.Owner]carobkeel.Quota),
		}}
	}
	if a.catalogue == nil || m.Index != a.next || stamp != a.stamp || m.Count > maxPieces || m.Index >= m.Count {
		*a = SnapshotAssembler{}
		return nil, entry.Stamp{}, errors.Errorf("piece %d of snapshot %d is out of order", m.Index, m.Revision)
	}
	a.addPiece(m)
	if a.next < m.Count {
		return nil, entry.Stamp{}, nil
	}
	catalogue := a.catalogue
	*a = SnapshotAssembler{}
	return catalogue, stamp, nil
}

func (a *SnapshotAssembler) addPiece(m SnapshotPiece) {
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
		GuaranteedShare:      e.Limits.GuaranteedShare,
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
			Timeout:         time.Duration(m.TimeoutNanos),
			Concurrency:     m.Concurrency,
			Queue:           m.Queue,
			GuaranteedShare: m.GuaranteedShare,
			BodyBytes:       m.BodyBytes,
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
