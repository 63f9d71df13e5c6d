package objectstore_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/objectstore"
)

var sample = objectstore.Snapshot{
	Kind:     objectstore.SnapshotOfCatalogue,
	Revision: 1<<40 + 7,
	Content:  []byte("entries of the catalogue"),
}

func TestSnapshotRoundTrip(t *testing.T) {
	g := NewWithT(t)
	g.Expect(objectstore.DecodeSnapshot(objectstore.EncodeSnapshot(sample))).To(Equal(sample))
	empty := objectstore.Snapshot{Kind: objectstore.SnapshotOfAssignments, Content: []byte{}}
	g.Expect(objectstore.DecodeSnapshot(objectstore.EncodeSnapshot(empty))).To(Equal(empty))
}

func TestTruncatedSnapshotIsRefused(t *testing.T) {
	g := NewWithT(t)
	object := objectstore.EncodeSnapshot(sample)
	for length := range object {
		_, err := objectstore.DecodeSnapshot(object[:length])
		g.Expect(err).To(HaveOccurred(), "%d bytes", length)
	}
	_, err := objectstore.DecodeSnapshot(append(object, 0))
	g.Expect(errors.Is(err, objectstore.ErrCorrupt)).To(BeTrue())
}

func TestSnapshotWithAnyBitChangedIsRefused(t *testing.T) {
	g := NewWithT(t)
	object := objectstore.EncodeSnapshot(sample)
	for i := range object {
		for bit := range 8 {
			changed := append([]byte(nil), object...)
			changed[i] ^= 1 << bit
			_, err := objectstore.DecodeSnapshot(changed)
			g.Expect(err).To(HaveOccurred(), "byte %d, bit %d", i, bit)
		}
	}
}

func TestSnapshotOfNewerFormatIsReported(t *testing.T) {
	g := NewWithT(t)
	object := objectstore.EncodeSnapshot(sample)
	object[5] = byte(objectstore.SnapshotFormat + 1)
	_, err := objectstore.DecodeSnapshot(object)
	g.Expect(errors.Is(err, objectstore.ErrNewerFormat)).To(BeTrue())
	_, err = objectstore.DecodeSnapshot([]byte("something else"))
	g.Expect(errors.Is(err, objectstore.ErrNotSnapshot)).To(BeTrue())
}

func FuzzDecodeSnapshot(f *testing.F) {
	object := objectstore.EncodeSnapshot(sample)
	f.Add(object)
	f.Add(object[:len(object)-1])
	f.Add(object[:12])
	f.Add([]byte("CKSN"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, object []byte) {
		snapshot, err := objectstore.DecodeSnapshot(object)
		if err != nil {
			return
		}
		again := objectstore.EncodeSnapshot(snapshot)
		if string(again[6:24]) != string(object[6:24]) || string(again[28:]) != string(object[28:]) {
			t.Fatalf("decoded %+v from another object", snapshot)
		}
	})
}
