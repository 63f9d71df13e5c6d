package spreader_test

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

// lossyTable is a table service that can be away.
type lossyTable struct {
	*memory.Table
	down atomic.Bool
	// restored takes the place of the table where it is set.
	restored atomic.Pointer[memory.Table]
}

func (t *lossyTable) current() *memory.Table {
	if restored := t.restored.Load(); restored != nil {
		return restored
	}
	return t.Table
}

func (t *lossyTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if t.down.Load() {
		return table.Row{}, false, table.ErrUnavailable
	}
	return t.current().Get(ctx, key)
}

func (t *lossyTable) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
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

// fleet is three entries, the first of which takes edits, and two leaves.
type fleet struct {
	network *impair.Network
	table   *lossyTable
	stores  []*store.Store
	nodes   []*node
	edits   int
}

var entryNames = []string{"e0", "e1", "e2"}

func newFleet() *fleet {
	f := &fleet{network: impair.NewNetwork(impair.Config{Delay: 60 * time.Millisecond}), table: &lossyTable{Table: memory.New()}}
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

// restart starts an entry that holds nothing.
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

// stop ends every node and checks that none was ever set back.
func (f *fleet) stop(g Gomega) {
	for i, n := range f.nodes {
		n.stop()
		g.Expect(slices.IsSorted(n.history())).To(BeTrue(), "node %d had in force %v", i, n.history())
	}
	<-time.After(time.Minute)
	synctest.Wait()
}

// run runs a test on a clock of its own, which Sleep moves.
func run(t *testing.T, test func(g Gomega, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet()
		defer f.stop(g)
		<-time.After(3 * time.Second)
		test(g, f)
	})
}

func all(revision carobkeel.Revision) []carobkeel.Revision {
	return []carobkeel.Revision{revision, revision, revision, revision, revision}
}

func TestChangesReachEveryProcess(t *testing.T) {
	run(t, func(g Gomega, f *fleet) {
		for range 20 {
			f.edit(g, 1)
		}
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(all(20)))
		for _, n := range f.nodes {
			g.Expect(*n.serving.Load()).To(BeTrue())
		}
	})
}

func TestChangeSpreadsAfterTheTableServiceIsGone(t *testing.T) {
	run(t, func(g Gomega, f *fleet) {
		f.edit(g, 1)
		f.table.down.Store(true)
		f.nodes[0].reader.Poke()
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(all(1)))
	})
}

func TestChangeSpreadsAroundABlockedWay(t *testing.T) {
	run(t, func(g Gomega, f *fleet) {
		f.network.Block("e0", "e1", true)
		f.network.Block("e1", "e0", true)
		f.network.Block("s0", "e0", true)
		f.network.Block("s0", "e2", true)
		f.edit(g, 1)
		f.table.down.Store(true)
		f.nodes[0].reader.Poke()
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(all(1)))
	})
}

func TestRestartedEntryAsksItsPeersWhileTheTableServiceIsGone(t *testing.T) {
	run(t, func(g Gomega, f *fleet) {
		for range 3 {
			f.edit(g, 400)
		}
		<-time.After(4 * time.Second)
		f.table.down.Store(true)
		f.nodes[1].stop()
		<-time.After(time.Second)
		f.restart(1)
		<-time.After(3 * time.Second)
		g.Expect(f.revisions()).To(Equal(all(3)))
		g.Expect(f.nodes[1].history()).To(Equal([]carobkeel.Revision{3}), "a snapshot in pieces")
		g.Expect(*f.nodes[1].serving.Load()).To(BeFalse(), "the table service has not confirmed it")
	})
}

func TestTableServiceThatWasSetBackIsRefused(t *testing.T) {
	run(t, func(g Gomega, f *fleet) {
		for range 3 {
			f.edit(g, 1)
		}
		<-time.After(4 * time.Second)
		f.table.restored.Store(memory.New())
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(all(3)))
		f.nodes[1].stop()
		<-time.After(time.Second)
		f.restart(1)
		<-time.After(4 * time.Second)
		g.Expect(f.revisions()).To(Equal(all(3)))
		g.Expect(f.nodes[1].serving.Load()).NotTo(BeNil())
		_, err := f.stores[1].Edit(context.Background(), edit(9, 1))
		g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeStoreUnavailable), "no edit on a state that is older")
	})
}

func TestProcessWithoutPeersOrTableServiceDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := start(impair.NewNetwork(impair.Config{}), "s", entryNames, nil, 1)
		<-time.After(time.Hour)
		g.Expect(n.serving.Load()).To(BeNil())
		n.stop()
		<-time.After(time.Minute)
		synctest.Wait()
	})
}
