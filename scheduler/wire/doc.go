// Package wire encodes what the entries, the sidecars and the holder of a shard
// tell each other, and the rows that they keep in the table service.
package wire

import (
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
)

// Types of frames. The peer that dials a link sends a Hello first.
const (
	TypeHello frame.Type = frame.FirstOwn + iota
	// TypePing and TypePong carry who holds the shard, and extend leases.
	TypePing
	TypePong
	// From sidecars.
	TypeDescription
	TypeListing
	TypeAnswer
	TypeSilent
	TypeLeft
	// To sidecars.
	TypeOrders
	// Between entries.
	TypeQuery
	TypeReply
)

// Encode returns a frame with a message.
func Encode(kind frame.Type, message msgp.Marshaler) (frame.Frame, error) {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		return frame.Frame{}, errors.Wrapf(err, "message of type %d", kind)
	}
	return frame.Frame{Type: kind, Payload: payload}, nil
}

// Send queues a message on a link. It never waits; a link that has ended drops it.
func Send(l *link.Link, kind frame.Type, message msgp.Marshaler) error {
	f, err := Encode(kind, message)
	if err != nil {
		return err
	}
	l.Send(f)
	return nil
}

// Decode reads the message of a frame.
func Decode(f frame.Frame, message msgp.Unmarshaler) error {
	_, err := message.UnmarshalMsg(f.Payload)
	return errors.Wrapf(err, "message of type %d", f.Type)
}
