// Package wire defines the messages between the entries, the sidecars and the
// holder of a shard, and the rows that they keep in the table service.
package wire

import (
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
)

// Types of frames. The peer that dials a link sends a Hello as its first frame.
const (
	TypeHello frame.Type = frame.FirstProtocolType + iota
	// TypePing and TypePong carry the epoch of the shard and whether the sender
	// of the pong holds it. They also extend leases.
	TypePing
	TypePong
	// The following are sent by sidecars.
	TypeDescription
	TypeListing
	TypeAnswer
	TypeWorkerUnreachable
	TypeWorkerShutDown
	// TypeOrders is sent to sidecars.
	TypeOrders
	// The following are sent between entries.
	TypeQuery
	TypeReply
	TypeTakingOver
	// TypeAdmissionView is sent by the holder to entries.
	TypeAdmissionView
)

// Encode returns a frame that contains the message.
func Encode(kind frame.Type, message msgp.Marshaler) (frame.Frame, error) {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		return frame.Frame{}, errors.Wrapf(err, "encode message of type %d", kind)
	}
	if len(payload) > frame.MaxPayload {
		return frame.Frame{}, errors.Errorf("encode message of type %d: %d bytes don't fit in a frame", kind, len(payload))
	}
	return frame.Frame{Type: kind, Payload: payload}, nil
}

// Send queues a message on a link. It does not block. A closed link drops the
// message.
func Send(l *link.Link, kind frame.Type, message msgp.Marshaler) error {
	f, err := Encode(kind, message)
	if err != nil {
		return err
	}
	l.Send(f)
	return nil
}

// Decode decodes the payload of a frame into message.
func Decode(f frame.Frame, message msgp.Unmarshaler) error {
	_, err := message.UnmarshalMsg(f.Payload)
	return errors.Wrapf(err, "decode message of type %d", f.Type)
}
