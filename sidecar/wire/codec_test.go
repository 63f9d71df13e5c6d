package wire_test

import (
	"bytes"
	"testing"

	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// message is implemented by every message of the package.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

func messages() map[frame.Type]func() message {
	return map[frame.Type]func() message{
		wire.TypeHello:     func() message { return &wire.Hello{} },
		wire.TypeOpen:      func() message { return &wire.Open{} },
		wire.TypeAnswer:    func() message { return &wire.Answer{} },
		wire.TypeAnswerEnd: func() message { return &wire.AnswerEnd{} },
		wire.TypeRefused:   func() message { return &wire.Refused{} },
		wire.TypeCredit:    func() message { return &wire.Credit{} },
		wire.TypeQuery:     func() message { return &wire.Query{} },
	}
}

// FuzzDecode decodes arbitrary bytes as each message. A message that decodes must
// encode to bytes that decode to the same message again.
func FuzzDecode(f *testing.F) {
	for kind, make := range messages() {
		f.Add(byte(kind), wire.Encode(kind, 1, make()).Payload)
	}
	f.Add(byte(wire.TypeOpen), wire.Encode(wire.TypeOpen, 1, &wire.Open{
		Service: "echo", Header: []wire.Field{{Name: "Accept", Value: "*/*"}}, Body: []byte("body"),
	}).Payload)
	// An answer that states far more header fields than its bytes can hold.
	f.Add(byte(wire.TypeAnswer), []byte("\x8f\xa1h\xdd\xff\xff\x7f0"))
	f.Fuzz(func(t *testing.T, kind byte, payload []byte) {
		make, known := messages()[frame.Type(kind)]
		if !known {
			return
		}
		first := make()
		if wire.Decode(frame.Frame{Type: frame.Type(kind), Payload: payload}, first) != nil {
			return
		}
		encoded := wire.Encode(frame.Type(kind), 1, first)
		second := make()
		if err := wire.Decode(encoded, second); err != nil {
			t.Fatalf("encoded message does not decode: %v", err)
		}
		if again := wire.Encode(frame.Type(kind), 1, second); !bytes.Equal(again.Payload, encoded.Payload) {
			t.Fatal("encodings before and after decoding differ")
		}
	})
}

// The length limit of lists must not apply to bodies.
func TestLongBodiesDecode(t *testing.T) {
	const bodyBytes = 64 << 10
	sent := wire.Open{Body: bytes.Repeat([]byte("x"), bodyBytes)}
	var got wire.Open
	if err := wire.Decode(wire.Encode(wire.TypeOpen, 1, &sent), &got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Body, sent.Body) {
		t.Fatalf("got a body of %d bytes that differs from the one sent", len(got.Body))
	}
}
