package objectstore

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A snapshot is stored as a header of fixed length and the content. All numbers
// are big-endian.
//
//	bytes  0-3   magic
//	bytes  4-5   format version
//	bytes  6-7   kind
//	bytes  8-15  revision
//	bytes 16-23  length of the content
//	bytes 24-27  CRC-32C of bytes 0-23 and the content
const (
	snapshotMagic      = "CKSN"
	snapshotHeaderSize = 28
	offsetFormat       = 4
	offsetKind         = 6
	offsetRevision     = 8
	offsetLength       = 16
	offsetChecksum     = 24
)

// SnapshotFormat is the newest format that this release reads and the one that
// it writes.
const SnapshotFormat uint16 = 1

// Errors of DecodeSnapshot.
var (
	// ErrNotSnapshot reports that the object is not a snapshot.
	ErrNotSnapshot = errors.New("object is not a snapshot")
	// ErrCorrupt reports that the object is incomplete or corrupt.
	ErrCorrupt = errors.New("snapshot corrupt")
	// ErrNewerFormat reports that a newer release wrote the object.
	ErrNewerFormat = errors.New("snapshot of a newer format")
)

// SnapshotKind is the kind of content of a snapshot.
type SnapshotKind uint16

// Kinds of snapshots.
const (
	SnapshotOfCatalogue   SnapshotKind = 1
	SnapshotOfAssignments SnapshotKind = 2
	SnapshotOfCheckpoint  SnapshotKind = 3
)

// Snapshot is the content of an object with its kind and revision.
type Snapshot struct {
	Kind SnapshotKind
	// Revision is the revision of the stored state. A reader rejects a snapshot
	// that is older than its own state.
	Revision uint64
	Content  []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// EncodeSnapshot returns the object that holds s.
func EncodeSnapshot(s Snapshot) []byte {
	object := make([]byte, snapshotHeaderSize, snapshotHeaderSize+len(s.Content))
	copy(object, snapshotMagic)
	binary.BigEndian.PutUint16(object[offsetFormat:], SnapshotFormat)
	binary.BigEndian.PutUint16(object[offsetKind:], uint16(s.Kind))
	binary.BigEndian.PutUint64(object[offsetRevision:], s.Revision)
	binary.BigEndian.PutUint64(object[offsetLength:], uint64(len(s.Content)))
	binary.BigEndian.PutUint32(object[offsetChecksum:], checksum(object, s.Content))
	return append(object, s.Content...)
}

// DecodeSnapshot verifies an object and returns its snapshot. The content shares
// the memory of the object.
func DecodeSnapshot(object []byte) (Snapshot, error) {
	if len(object) < len(snapshotMagic) || string(object[:len(snapshotMagic)]) != snapshotMagic {
		return Snapshot{}, errors.WithStack(ErrNotSnapshot)
	}
	if len(object) < snapshotHeaderSize {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "object has %d bytes, the header alone needs %d", len(object), snapshotHeaderSize)
	}
	if format := binary.BigEndian.Uint16(object[offsetFormat:]); format > SnapshotFormat {
		return Snapshot{}, errors.Wrapf(ErrNewerFormat, "format %d, this release reads up to %d", format, SnapshotFormat)
	}
	content := object[snapshotHeaderSize:]
	if length := binary.BigEndian.Uint64(object[offsetLength:]); length != uint64(len(content)) {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "content has %d bytes, the header states %d", len(content), length)
	}
	if binary.BigEndian.Uint32(object[offsetChecksum:]) != checksum(object, content) {
		return Snapshot{}, errors.Wrap(ErrCorrupt, "checksum mismatch")
	}
	return Snapshot{
		Kind:     SnapshotKind(binary.BigEndian.Uint16(object[offsetKind:])),
		Revision: binary.BigEndian.Uint64(object[offsetRevision:]),
		Content:  content,
	}, nil
}

func checksum(header, content []byte) uint32 {
	sum := crc32.Update(0, castagnoli, header[:offsetChecksum])
	return crc32.Update(sum, castagnoli, content)
}
