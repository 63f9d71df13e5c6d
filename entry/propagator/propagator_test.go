package propagator_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/link/impair"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// failingTable is a table service that can become unavailable.
type failingTable struct {
	*memory.Table
	down atomic.Bool
	// restored replaces the table if it is set.
	restored atomic.Pointer[memory.Table]
}

func (t *failingTable) current() *memory.Table {
	if restored := t.restored.Load(); restored != nil {
		return restored
	}
	return t.Table
}

func (t *failingTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if t.down.Load() {
		return table.Row{}, false, table.ErrUnavailable
	}
	return t.current().Get(ctx, key)
}

func (t *failingTable) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if t.down.Load() {
		return nil, table.ErrUnavailable
	}
	return t.current().Range(ctx, prefix, after, limit)
}

func edit(number, size int) operator.Edit {
	e := operator.Edit{ID: operator.EditID(fmt.Sprint("edit-", number)), By: "test"}
	quota := carobkeel.Quota{Owner: "desk", Weight: float64(number)}
	e.Items = append(e.Items, operator.EditItem{Kind: operator.KindOwner, Name: "desk", Quota: &quota})
	for i := range size {
		name := fmt.Sprintf("desk-%d", i)
		e.Items = append(e.Items, operator.EditItem{Kind: operator.KindEntry, Name: name, Entry: &carobkeel.Entry{
			Name: name, Owner: "desk", Class: carobkeel.ClassLatencyCritical, Instances: number,
			Demand: carobkeel.Resources{MilliCPU: 100, MemoryBytes: 1 << 20},
			Limits: carobkeel.Limits{Timeout: time.Second, Concurrency: 8, Queue: 8, BodyBytes: 1 << 20},
		}})
	}
	return e
}

// fleet is three entries, the first of which accepts edits, and two leaves.
type fleet struct {
	network *impair.Network
	table   *failingTable
	stores  []*store.Store
	nodes   []*node
	edits   int
}

var entryNames = []string{"e0", "e1", "e2"}

func newFleet() *fleet {
	f := &fleet{network: impair.NewNetwork(impair.Config{Delay: 60 * time.Millisecond}), table: &failingTable{Table: memory.New()}}
	for i := range entryNames {
		f.stores = append(f.stores, nil)
		f.nodes = append(f.nodes, nil)
		f.restart(i)
	}
	for i := range 2 {
		f.nodes = append(f.nodes, start(f.network, fmt.Sprint("s", i), entryNames, nil, uint64(10+i)))
	}
	return f
}

// restart starts an entry without a catalogue.
func (f *fleet) restart(i int) {
	peers := slices.DeleteFunc(slices.Clone(entryNames), func(name string) bool { return name == entryNames[i] })
	f.stores[i] = store.New(store.Config{Table: f.table})
	f.nodes[i] = start(f.network, entryNames[i], peers, f.stores[i], uint64(i))
}

func (f *fleet) edit(g Gomega, size int) {
	f.edits++
	_, err := f.stores[0].Edit(context.Background(), edit(f.edits, size))
	g.Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) revisions() []carobkeel.Revision {
	var revisions []carobkeel.Revision
	for _, n := range f.nodes {
		revisions = append(revisions, n.Revision())
	}
	return revisions
}

// stop stops every node and checks that no node's revision ever decreased.
func (f *fleet) stop(g Gomega) {
	for i, n := range f.nodes {
		n.stop()
		g.Expect(slices.IsSorted(n.history())).To(BeTrue(), "node %d installed %v", i, n.history())
	}
	<-time.After(time.Minute)
	synctest.Wait()
}

// runFleet runs a test with a new fleet in a synctest bubble, whose clock advances
// only while all goroutines wait.
func runFleet(t *testing.T, test func(g Gomega, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet()
		defer f.stop(g)
		<-time.After(3 * time.Second)
		test(g, f)
	})
}

func allAt(revision carobkeel.Revision) []carobkeel.Revision {
	return []carobkeel.Revision{revision, revision, revision, revision, revision}
}

func TestChangesReachEveryProcess(t *testing.T) {
	runFleet(t, func(g Gomega, f *fleet) {
		for range 20 {
			f.edit(g, 1)
		}
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(allAt(20)))
		for _, n := range f.nodes {
			g.Expect(*n.servedConfirmed.Load()).To(BeTrue())
		}
	})
}

func TestChangeIsPropagatedAfterTheTableServiceFails(t *testing.T) {
	runFleet(t, func(g Gomega, f *fleet) {
		f.edit(g, 1)
		f.table.down.Store(true)
		f.nodes[0].reader.PropagateSeen()
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(allAt(1)))
	})
}

func TestChangeIsPropagatedAroundBlockedLinks(t *testing.T) {
	runFleet(t, func(g Gomega, f *fleet) {
		f.network.SetBlocked("e0", "e1", true)
		f.network.SetBlocked("e1", "e0", true)
		f.network.SetBlocked("s0", "e0", true)
		f.network.SetBlocked("s0", "e2", true)
		f.edit(g, 1)
		f.table.down.Store(true)
		f.nodes[0].reader.PropagateSeen()
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(allAt(1)))
	})
}

func TestRestartedEntryAsksItsPeersWhileTheTableServiceIsUnavailable(t *testing.T) {
	runFleet(t, func(g Gomega, f *fleet) {
		for range 3 {
			f.edit(g, 400)
		}
		<-time.After(4 * time.Second)
		f.table.down.Store(true)
		f.nodes[1].stop()
		<-time.After(time.Second)
		f.restart(1)
		<-time.After(3 * time.Second)
		g.Expect(f.revisions()).To(Equal(allAt(3)))
		g.Expect(f.nodes[1].history()).To(Equal([]carobkeel.Revision{3}), "the peers send a snapshot in pieces")
		g.Expect(*f.nodes[1].servedConfirmed.Load()).To(BeFalse(), "the table service has not confirmed it")
	})
}

func TestOlderTableServiceIsRejected(t *testing.T) {
	runFleet(t, func(g Gomega, f *fleet) {
		for range 3 {
			f.edit(g, 1)
		}
		<-time.After(4 * time.Second)
		f.table.restored.Store(memory.New())
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(allAt(3)))
		f.nodes[1].stop()
		<-time.After(time.Second)
		f.restart(1)
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(allAt(3)))
		g.Expect(f.nodes[1].servedConfirmed.Load()).NotTo(BeNil())
		_, err := f.stores[1].Edit(context.Background(), edit(9, 1))
		g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeStoreUnavailable), "an edit of an older state is refused")
	})
}

func TestProcessWithoutPeersOrTableServiceDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := start(impair.NewNetwork(impair.Config{}), "s", entryNames, nil, 1)
		<-time.After(time.Hour)
		g.Expect(n.servedConfirmed.Load()).To(BeNil())
		n.stop()
		<-time.After(time.Minute)
		synctest.Wait()
	})
}
