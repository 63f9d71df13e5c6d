// Package frame is the framing between the system's own processes: a length, a
// checksum, a place in the order of frames, a type, a stream number and a
// payload.
//
//	length   4 bytes, big endian, of all that follows the checksum
//	checksum 4 bytes, CRC-32C of all that follows
//	order    4 bytes, big endian, one more than that of the frame before
//	type     1 byte
//	stream   8 bytes, big endian
//	payload  length - 13 bytes
//
// A frame that is damaged, missing, doubled or out of order ends the reading.
package frame

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/pkg/errors"
)

const (
	prefixBytes = 8
	headBytes   = 13
	typeOffset  = 4
	// streamOffset is where the stream's number begins after the checksum.
	streamOffset = 5
	// MaxPayload is the largest payload of one frame, in bytes. Larger content
	// goes in pieces.
	MaxPayload = 256 << 10
)

// ErrCorrupt says that a frame's length, checksum or order is wrong. The link
// that it came on can't be read any further.
var ErrCorrupt = errors.New("corrupt frame")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Type says what a frame's payload is. The packages that use frames define the
// types from FirstOwn on.
type Type uint8

// Types that every link uses by itself.
const (
	// TypePing asks for a TypePong. Both are empty.
	TypePing Type = iota + 1
	// TypePong answers a TypePing.
	TypePong
	// FirstOwn is the first type that a protocol may define.
	FirstOwn
)

// Frame is one message on a link.
type Frame struct {
	Type    Type
	Stream  uint64
	Payload []byte
}

// Writer numbers frames and encodes them. The zero value begins a link.
type Writer struct {
	order uint32
}

// Append appends the bytes of the next frame to buf and returns it.
func (w *Writer) Append(buf []byte, f Frame) ([]byte, error) {
	if len(f.Payload) > MaxPayload {
		return buf, errors.Errorf("payload of %d bytes exceeds %d", len(f.Payload), MaxPayload)
	}
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, uint32(headBytes+len(f.Payload)))
	buf = append(buf, 0, 0, 0, 0)
	buf = binary.BigEndian.AppendUint32(buf, w.order)
	buf = append(buf, byte(f.Type))
	buf = binary.BigEndian.AppendUint64(buf, f.Stream)
	buf = append(buf, f.Payload...)
	sum := crc32.Checksum(buf[start+prefixBytes:], castagnoli)
	binary.BigEndian.PutUint32(buf[start+4:], sum)
	w.order++
	return buf, nil
}

// Reader reads frames from a stream of bytes.
type Reader struct {
	source io.Reader
	prefix [prefixBytes]byte
	order  uint32
}

// NewReader returns a reader of source. Give it a buffered source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Next reads one frame. The payload is the caller's to keep.
func (r *Reader) Next() (Frame, error) {
	if _, err := io.ReadFull(r.source, r.prefix[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(r.prefix[:4])
	if length < headBytes || length > headBytes+MaxPayload {
		return Frame{}, errors.Wrapf(ErrCorrupt, "length %d", length)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r.source, body); err != nil {
		return Frame{}, err
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(r.prefix[4:]) {
		return Frame{}, errors.Wrap(ErrCorrupt, "checksum")
	}
	if order := binary.BigEndian.Uint32(body); order != r.order {
		return Frame{}, errors.Wrapf(ErrCorrupt, "frame %d in the place of %d", order, r.order)
	}
	r.order++
	return Frame{
		Type:    Type(body[typeOffset]),
		Stream:  binary.BigEndian.Uint64(body[streamOffset:headBytes]),
		Payload: body[headBytes:],
	}, nil
}
