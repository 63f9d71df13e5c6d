package wire

import (
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel/internal/frame"
)

// Types of frames on a link between an entry and a sidecar.
const (
	TypeHello frame.Type = iota + frame.FirstProtocolType
	TypeOpen
	TypeBody
	TypeBodyEnd
	TypeAnswer
	TypeAnswerBody
	TypeAnswerEnd
	TypeRefused
	TypeCredit
	TypeCancel
	TypeQuery
)

var typeNames = map[frame.Type]string{
	frame.TypePing: "ping", frame.TypePong: "pong",
	TypeHello: "hello", TypeOpen: "open",
	TypeBody: "body", TypeBodyEnd: "body-end", TypeAnswer: "answer",
	TypeAnswerBody: "answer-body", TypeAnswerEnd: "answer-end",
	TypeRefused: "refused", TypeCredit: "credit", TypeCancel: "cancel",
	TypeQuery: "query",
}

// TypeName returns the name of a frame type.
func TypeName(t frame.Type) string {
	if name, ok := typeNames[t]; ok {
		return name
	}
	return "unknown"
}

// Encode returns a frame with the message as its payload. It panics if the message
// can't be encoded, which the messages of this package always can.
func Encode(t frame.Type, stream uint64, message msgp.Marshaler) frame.Frame {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		panic(errors.Wrapf(err, "encode %s", TypeName(t)))
	}
	return frame.Frame{Type: t, Stream: stream, Payload: payload}
}

// Decode decodes a frame's payload into message. Bytes after the message are an
// error.
func Decode(f frame.Frame, message msgp.Unmarshaler) error {
	rest, err := message.UnmarshalMsg(f.Payload)
	if err != nil {
		return errors.Wrapf(err, "decode %s", TypeName(f.Type))
	}
	if len(rest) > 0 {
		return errors.Errorf("decode %s: %d bytes left over", TypeName(f.Type), len(rest))
	}
	return nil
}
