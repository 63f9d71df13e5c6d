// Package frame implements the framing of messages between the system's own
// processes. A frame consists of a length, a checksum, a sequence number, a type,
// a stream number and a payload.
//
//	length   4 bytes, big endian, of all that follows the checksum
//	checksum 4 bytes, CRC-32C of all that follows
//	sequence 4 bytes, big endian, one more than that of the previous frame
//	type     1 byte
//	stream   8 bytes, big endian
//	payload  length - 13 bytes
//
// A damaged, missing, duplicate or out-of-order frame is an error, after which
// the stream can't be read further.
package frame

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/pkg/errors"
)

const (
	prefixBytes = 8
	headerBytes = 13
	typeOffset  = 4
	// streamOffset is the offset of the stream number from the end of the
	// checksum.
	streamOffset = 5
	// MaxPayload is the largest payload of one frame, in bytes. Larger content
	// is sent in several frames.
	MaxPayload = 256 << 10
	// firstBytes is the part of a frame for which memory is allocated before it has come.
	firstBytes = 16 << 10
)

// ErrCorrupt means that a frame's length, checksum or sequence number is wrong.
// The link that carried it can't be read any further.
var ErrCorrupt = errors.New("corrupt frame")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Type is the type of a frame's payload. Protocols on top of this package define
// their types from FirstProtocolType on.
type Type uint8

// Types that package link uses for heartbeats.
const (
	// TypePing requests a TypePong. Both have no payload.
	TypePing Type = iota + 1
	// TypePong answers a TypePing.
	TypePong
	// FirstProtocolType is the first type that a protocol may define.
	FirstProtocolType
)

// Frame is one message on a link.
type Frame struct {
	Type    Type
	Stream  uint64
	Payload []byte
}

// Writer encodes frames and assigns their sequence numbers. The zero value is
// ready for a new link.
type Writer struct {
	sequence uint32
}

// Append appends the bytes of the next frame to buf and returns it.
func (w *Writer) Append(buf []byte, f Frame) ([]byte, error) {
	if len(f.Payload) > MaxPayload {
		return buf, errors.Errorf("payload of %d bytes exceeds %d", len(f.Payload), MaxPayload)
	}
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, uint32(headerBytes+len(f.Payload)))
	buf = append(buf, 0, 0, 0, 0)
	buf = binary.BigEndian.AppendUint32(buf, w.sequence)
	buf = append(buf, byte(f.Type))
	buf = binary.BigEndian.AppendUint64(buf, f.Stream)
	buf = append(buf, f.Payload...)
	sum := crc32.Checksum(buf[start+prefixBytes:], castagnoli)
	binary.BigEndian.PutUint32(buf[start+4:], sum)
	w.sequence++
	return buf, nil
}

// Reader reads frames from a stream of bytes.
type Reader struct {
	source   io.Reader
	prefix   [prefixBytes]byte
	sequence uint32
}

// NewReader returns a reader of source, which should be buffered.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// SetSource replaces the source, from which the next frame is read.
func (r *Reader) SetSource(source io.Reader) { r.source = source }

// read reads a number of bytes. Memory for them is allocated as they come, as the length of a frame
// may have been sent by anybody.
func (r *Reader) read(length int) ([]byte, error) {
	body := make([]byte, min(length, firstBytes))
	if _, err := io.ReadFull(r.source, body); err != nil {
		return nil, err
	}
	for len(body) < length {
		have := len(body)
		body = append(body, make([]byte, min(have, length-have))...)
		if _, err := io.ReadFull(r.source, body[have:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// Next reads one frame. The payload is not reused by later calls.
func (r *Reader) Next() (Frame, error) {
	if _, err := io.ReadFull(r.source, r.prefix[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(r.prefix[:4])
	if length < headerBytes || length > headerBytes+MaxPayload {
		return Frame{}, errors.Wrapf(ErrCorrupt, "length %d", length)
	}
	body, err := r.read(int(length))
	if err != nil {
		return Frame{}, err
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(r.prefix[4:]) {
		return Frame{}, errors.Wrap(ErrCorrupt, "checksum")
	}
	if sequence := binary.BigEndian.Uint32(body); sequence != r.sequence {
		return Frame{}, errors.Wrapf(ErrCorrupt, "frame %d in the place of %d", sequence, r.sequence)
	}
	r.sequence++
	return Frame{
		Type:    Type(body[typeOffset]),
		Stream:  binary.BigEndian.Uint64(body[streamOffset:headerBytes]),
		Payload: body[headerBytes:],
	}, nil
}
