package frame_test

import (
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel/internal/frame"
)

func encode(t interface{ Fatal(...any) }, frames ...frame.Frame) []byte {
	var w frame.Writer
	var data []byte
	var err error
	for _, f := range frames {
		if data, err = w.Append(data, f); err != nil {
			t.Fatal(err)
		}
	}
	return data
}

func readAll(data []byte) ([]frame.Frame, error) {
	r := frame.NewReader(bytes.NewReader(data))
	var frames []frame.Frame
	for {
		f, err := r.Next()
		if err == io.EOF {
			return frames, nil
		}
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
}

var drawFrame = rapid.Custom(func(t *rapid.T) frame.Frame {
	return frame.Frame{
		Type:    frame.Type(rapid.Byte().Draw(t, "type")),
		Stream:  rapid.Uint64().Draw(t, "stream"),
		Payload: rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "payload"),
	}
})

func TestFramesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		frames := rapid.SliceOfN(drawFrame, 1, 8).Draw(t, "frames")
		got, err := readAll(encode(t, frames...))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(len(frames)))
		for i := range frames {
			g.Expect(got[i].Type).To(Equal(frames[i].Type))
			g.Expect(got[i].Stream).To(Equal(frames[i].Stream))
			g.Expect(bytes.Equal(got[i].Payload, frames[i].Payload)).To(BeTrue())
		}
	})
}

// One flipped bit must give an error, and the frames read before it must be
// unchanged.
func TestReaderDetectsFlippedBits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		frames := rapid.SliceOfN(drawFrame, 1, 6).Draw(t, "frames")
		data := encode(t, frames...)
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		data[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		got, err := readAll(data)
		g.Expect(err).To(HaveOccurred())
		for i := range got {
			g.Expect(bytes.Equal(got[i].Payload, frames[i].Payload)).To(BeTrue())
		}
	})
}

func TestReaderRejectsOutOfOrderFrames(t *testing.T) {
	one := frame.Frame{Type: 9, Payload: []byte("one")}
	two := frame.Frame{Type: 9, Payload: []byte("two")}
	first := encode(t, one)
	both := encode(t, one, two)
	second := both[len(first):]
	for name, data := range map[string][]byte{
		"doubled": append(append([]byte{}, first...), first...),
		"missing": second,
		"swapped": append(append([]byte{}, second...), first...),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(data)
			NewWithT(t).Expect(err).To(MatchError(frame.ErrCorrupt))
		})
	}
}

func TestAppendRejectsOversizedPayload(t *testing.T) {
	var w frame.Writer
	_, err := w.Append(nil, frame.Frame{Payload: make([]byte, frame.MaxPayload+1)})
	NewWithT(t).Expect(err).To(HaveOccurred())
}

func FuzzReader(f *testing.F) {
	f.Add([]byte{})
	f.Add(encode(f, frame.Frame{Type: 3, Stream: 1, Payload: []byte("seed")}))
	f.Add([]byte{0, 0, 0, 13, 0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frames, _ := readAll(data)
		total := 0
		for _, got := range frames {
			total += len(got.Payload)
		}
		if total > len(data) {
			t.Fatalf("%d bytes of payload from %d bytes", total, len(data))
		}
	})
}
