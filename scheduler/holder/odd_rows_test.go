package holder_test

import (
	"bytes"
	"context"
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

// maxRowBytes is the largest value that the table service stores.
const maxRowBytes = 64 << 10

// deeplyNested returns a row of one unknown field, which is as deeply nested as a row
// can be.
func deeplyNested() []byte {
	return append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, maxRowBytes-3)...)
}

func encode(t *testing.T, row msgp.Marshaler) []byte {
	t.Helper()
	value, err := row.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// write puts a row of another writer into a table of the shard.
func (f *cluster) write(g Gomega, tableName, key string, value []byte) {
	id := table.RowID{Table: tableName, Part: testShard, Key: key}
	_, err := f.memory.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{{RowID: id, Value: value}}})
	g.Expect(err).NotTo(HaveOccurred())
}

// oddJob returns a row of a job that change makes odd.
func oddJob(t *testing.T, change func(*wire.JobRow)) []byte {
	t.Helper()
	row := wire.FromJob(testJob(1))
	change(row)
	return encode(t, row)
}

func TestOddJobRowsDoNotEndTheHolder(t *testing.T) {
	const oddID = "0dd0dd0dd0dd0dd0"
	for _, c := range []struct {
		name, key string
		value     []byte
	}{
		{"not a job", oddID, []byte{0xc1}},
		{"deeply nested", oddID, deeplyNested()},
		{"list longer than the row", oddID, []byte{0x81, 0xa5, 's', 't', 'e', 'p', 's', 0xdd, 0xff, 0xff, 0xff, 0xff}},
		{"too many tasks", oddID, oddJob(t, func(r *wire.JobRow) { r.Steps[0].Count = 1 << 60 })},
		{"negative number of tasks", oddID, oddJob(t, func(r *wire.JobRow) { r.Steps[0].Count = -1 })},
		{"too many occurrences", oddID, oddJob(t, func(r *wire.JobRow) { r.Repeats = 1 << 60 })},
		{"step after an unknown one", oddID, oddJob(t, func(r *wire.JobRow) { r.Steps[0].After = []int{7} })},
		{"step after itself", oddID, oddJob(t, func(r *wire.JobRow) { r.Steps[0].After = []int{0} })},
		{"negative demand", oddID, oddJob(t, func(r *wire.JobRow) { r.Steps[0].MilliCPU = -1 << 40 })},
		{"key that is no job ID", "0dd.0.0", oddJob(t, func(*wire.JobRow) {})},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := startCluster(t, 2, 1)
			g.Eventually(f.leader, waitTimeout).ShouldNot(BeNil())
			f.write(g, holder.TableJobs, c.key, c.value)
			job := f.submit(g, f.entries[0], 7)
			g.Eventually(state(f.entries[0], job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
			old := f.leader()
			old.node.Resign()
			g.Eventually(func() bool { next := f.leader(); return next != nil && next != old }, waitTimeout).Should(BeTrue())
			job = f.submit(g, f.leader(), 8)
			g.Eventually(state(f.leader(), job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
			g.Expect(f.violations()).To(BeEmpty())
			for task := range f.record.Starts {
				g.Expect(task.Job).NotTo(BeElementOf(carobkeel.JobID(oddID), carobkeel.JobID("0dd")))
			}
		})
	}
}

func TestOddProgressRowsDoNotEndTheHolder(t *testing.T) {
	task := wire.TaskProgress{Done: true}
	negativeIndex, negativeStep, negativeOccurrence := task, task, task
	negativeIndex.Index, negativeStep.Step, negativeOccurrence.Occurrence = -1, -1, -1
	for _, c := range []struct {
		name  string
		value []byte
	}{
		{"not a progress", []byte{0xc1}},
		{"deeply nested", deeplyNested()},
		{"list longer than the row", []byte{0x81, 0xa1, 't', 0xdd, 0, 0, 0xff, 0xff}},
		{"negative index", encode(t, &wire.ProgressRow{State: 1, Tasks: []wire.TaskProgress{negativeIndex}})},
		{"negative step", encode(t, &wire.ProgressRow{State: 1, Tasks: []wire.TaskProgress{negativeStep}})},
		{"negative occurrence", encode(t, &wire.ProgressRow{State: 1, Tasks: []wire.TaskProgress{negativeOccurrence}})},
		{"unknown task", encode(t, &wire.ProgressRow{State: 1, Tasks: []wire.TaskProgress{{Index: 1 << 60, Done: true}}})},
		{"unknown state", encode(t, &wire.ProgressRow{State: 200})},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := startCluster(t, 2, 1)
			g.Eventually(f.leader, waitTimeout).ShouldNot(BeNil())
			old := f.leader()
			old.node.Resign()
			f.write(g, holder.TableJobs, string(testJob(9).ID), encode(t, wire.FromJob(testJob(9))))
			f.write(g, holder.TableProgress, string(testJob(9).ID), c.value)
			g.Eventually(func() bool { next := f.leader(); return next != nil && next != old }, waitTimeout).Should(BeTrue())
			job := f.submit(g, f.leader(), 8)
			g.Eventually(state(f.leader(), job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
			g.Eventually(state(f.leader(), testJob(9).ID), waitTimeout).Should(Equal(carobkeel.JobCompleted))
		})
	}
}

func TestOddHolderRowIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name  string
		value []byte
	}{
		{"not a holder", []byte{0xc1}},
		{"empty", nil},
		{"deeply nested", deeplyNested()},
		{"epoch too large", encode(t, &wire.HolderRow{Epoch: math.MaxUint64, Host: "x", Address: "127.0.0.1:1"})},
		{"address without a port", encode(t, &wire.HolderRow{Epoch: 3, Host: "x", Address: "127.0.0.1"})},
		{"port out of range", encode(t, &wire.HolderRow{Epoch: 3, Host: "x", Address: "127.0.0.1:99999"})},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := startCluster(t, 2, 1)
			job := f.submit(g, f.entries[0], 1)
			g.Eventually(state(f.entries[0], job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
			f.write(g, holder.TableHolders, "holder", c.value)
			f.startEntry(t)
			job = f.submit(g, f.entries[0], 2)
			g.Eventually(state(f.entries[0], job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
			g.Expect(f.violations()).To(BeEmpty())
			row, _, err := f.memory.Get(context.Background(), table.RowID{Table: holder.TableHolders, Part: testShard, Key: "holder"})
			g.Expect(err).NotTo(HaveOccurred())
			var last wire.HolderRow
			_, err = last.UnmarshalMsg(row.Value)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(last.Epoch).To(BeNumerically(">", 1))
			g.Expect(last.Epoch).To(BeNumerically("<", 9))
		})
	}
}

func TestRemovedHolderRowIsReplaced(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 2, 1)
	job := f.submit(g, f.entries[0], 1)
	g.Eventually(state(f.entries[0], job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
	id := table.RowID{Table: holder.TableHolders, Part: testShard, Key: "holder"}
	_, err := f.memory.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{{RowID: id, Delete: true}}})
	g.Expect(err).NotTo(HaveOccurred())
	job = f.submit(g, f.entries[0], 2)
	g.Eventually(state(f.entries[0], job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
	g.Expect(f.violations()).To(BeEmpty())
}
