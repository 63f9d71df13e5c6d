package client_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/objectstore"
	"github.com/carobkeel/carobkeel/objectstore/client"
	"github.com/carobkeel/carobkeel/objectstore/faulty"
	"github.com/carobkeel/carobkeel/objectstore/memory"
)

const kind = objectstore.SnapshotOfCatalogue

type fixture struct {
	objects   *memory.Store
	faults    *faulty.Store
	snapshots *client.Snapshots
}

func newFixture(seed uint64) *fixture {
	f := &fixture{objects: memory.New()}
	f.faults = faulty.New(f.objects, seed, clock.System{})
	metrics := client.NewMetrics(tally.NoopScope)
	store := client.New(f.faults, client.DefaultConfig(), metrics)
	f.snapshots = client.NewSnapshots(store, kind, 3, metrics)
	return f
}

func contentOf(revision uint64) []byte {
	return []byte(fmt.Sprintf("catalogue of revision %d", revision))
}

var faultMatrix = map[string]faulty.Faults{
	"none":        {},
	"slow":        {Delay: 2 * time.Second},
	"answer lost": {LostAnswers: 0.4},
	"torn reads":  {TruncatedReads: 0.4},
	"torn writes": {TruncatedWrites: 0.4},
	"together":    {Delay: 100 * time.Millisecond, LostAnswers: 0.2, TruncatedReads: 0.2, TruncatedWrites: 0.2},
}

// A loaded snapshot is complete. It comes from a successful save, or from a failed
// one that took effect nevertheless.
func TestSnapshotsUnderFaults(t *testing.T) {
	for name, faults := range faultMatrix {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFixture(seed)
					f.faults.Set(faults)
					var saved uint64
					for revision := uint64(1); revision <= 10; revision++ {
						if f.snapshots.Save(context.Background(), revision, contentOf(revision)) == nil {
							saved = revision
						}
						f.checkLoad(g, revision)
					}
					f.faults.Set(faulty.Faults{})
					<-time.After(time.Minute)
					snapshot, err := f.snapshots.Load(context.Background(), 0)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(snapshot.Revision).To(BeNumerically(">=", saved))
					g.Expect(snapshot.Content).To(Equal(contentOf(snapshot.Revision)))
				})
			})
		}
	}
}

func (f *fixture) checkLoad(g *WithT, newest uint64) {
	snapshot, err := f.snapshots.Load(context.Background(), 0)
	if err != nil {
		return
	}
	g.Expect(snapshot.Revision).To(BeNumerically("<=", newest))
	g.Expect(snapshot.Content).To(Equal(contentOf(snapshot.Revision)))
}

func TestLoadSkipsInvalidSnapshots(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1)
	ctx := context.Background()
	g.Expect(f.snapshots.Save(ctx, 9, contentOf(9))).To(Succeed())
	g.Expect(f.snapshots.Save(ctx, 10, contentOf(10))).To(Succeed())
	object := objectstore.EncodeSnapshot(objectstore.Snapshot{Kind: kind, Revision: 11, Content: contentOf(11)})
	g.Expect(f.objects.Put(ctx, objectstore.SnapshotName(kind, 11), object[:len(object)-1])).To(Succeed())
	g.Expect(f.objects.Put(ctx, objectstore.SnapshotName(kind, 12), object)).To(Succeed())
	snapshot, err := f.snapshots.Load(ctx, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snapshot.Revision).To(BeEquivalentTo(10))

	_, err = f.snapshots.Load(ctx, 11)
	g.Expect(errors.Is(err, objectstore.ErrNotSnapshot)).To(BeTrue(), "the newest one holds another revision")
	_, err = f.snapshots.Load(ctx, 13)
	g.Expect(errors.Is(err, objectstore.ErrNotFound)).To(BeTrue())
}

func TestSaveRetainsTheNewestOnly(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1)
	for _, revision := range []uint64{1, 2, 3, 99, 100, 7} {
		g.Expect(f.snapshots.Save(context.Background(), revision, contentOf(revision))).To(Succeed())
	}
	names, err := f.objects.List(context.Background(), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objectstore.NewestFirst(kind, names, 0)).To(Equal([]string{
		objectstore.SnapshotName(kind, 100), objectstore.SnapshotName(kind, 99), objectstore.SnapshotName(kind, 7),
	}))
}

func TestOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		f.faults.Set(faulty.Faults{Down: true})
		begin := time.Now()
		err := f.snapshots.Save(context.Background(), 1, contentOf(1))
		g.Expect(errors.Is(err, objectstore.ErrUnavailable)).To(BeTrue())
		g.Expect(time.Since(begin)).To(Equal(client.DefaultConfig().Timeout))
		f.faults.Set(faulty.Faults{})
		g.Expect(f.snapshots.Save(context.Background(), 1, contentOf(1))).To(Succeed())
	})
}
