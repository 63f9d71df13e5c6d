package holder

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/memory"
)

const largeJobID = carobkeel.JobID("5c0e7a21d94b36f8")

// smallRows rejects larger values than the given size, and ends the holder's term after a
// number of transactions, if it is not zero.
type smallRows struct {
	table.Rows
	rowBytes, left int
	endTerm        context.CancelFunc
}

func (r *smallRows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	for _, w := range txn.Writes {
		if len(w.Value) > r.rowBytes {
			return table.RowOutcome{}, table.ErrInvalid
		}
	}
	outcome, err := r.Rows.Transact(ctx, txn)
	if r.left--; r.left == 0 {
		r.endTerm()
		return table.RowOutcome{}, table.ErrUnsettled
	}
	return outcome, err
}

// progressStore is a store with the progress of one job and its present holder.
type progressStore struct {
	g      Gomega
	memory *memory.Rows
	faults *faulty.Rows
	rows   *smallRows
	node   *Node
	holder HolderState
	known  *progressRows
}

func newProgressStore(g Gomega, rowBytes int) *progressStore {
	s := &progressStore{g: g, memory: memory.NewRows()}
	s.faults = faulty.NewRows(s.memory)
	s.rows = &smallRows{Rows: s.faults, rowBytes: rowBytes}
	s.node = New(Config{Shard: "shard", RowBytes: rowBytes}, s.rows, nil, logging.Discard().For("test"))
	s.takeOver()
	return s
}

// takeOver lets another holder read the rows, and returns the progress that it finds.
func (s *progressStore) takeOver() dispatch.Progress {
	outcome, err := s.memory.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{{RowID: s.node.holderRow()}}})
	s.g.Expect(err).NotTo(HaveOccurred())
	s.holder.Version = outcome.Version
	s.known = newProgressRows(s.node.progressRow(string(largeJobID)))
	if rows := groupProgress(s.stored())[largeJobID]; rows != nil {
		s.known = rows
	}
	p, _ := s.known.decode(s.node.log)
	return p
}

// stored returns the rows of progress in the store.
func (s *progressStore) stored() []table.VersionedRow {
	scan, err := table.ScanAll(context.Background(), s.memory, TableProgress, "shard")
	s.g.Expect(err).NotTo(HaveOccurred())
	return scan.Rows
}

// write stores a batch. The holder's term ends after the given number of transactions, if
// it is not zero.
func (s *progressStore) write(batch dispatch.Batch, transactions int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.rows.left, s.rows.endTerm = transactions, cancel
	w := &batchWriter{node: s.node, holder: s.holder, batch: batch, rows: map[carobkeel.JobID]*progressRows{largeJobID: s.known.clone()}}
	err := w.run(ctx)
	s.known = w.rows[largeJobID]
	return err
}

func (s *progressStore) put(key string, value []byte) {
	_, err := s.memory.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{{RowID: s.node.progressRow(key), Value: value}}})
	s.g.Expect(err).NotTo(HaveOccurred())
}

func progressBatch(p dispatch.Progress) dispatch.Batch {
	return dispatch.Batch{Progress: []dispatch.Progress{p}}
}

// largeProgress returns the progress of a job with the first n tasks done and one
// checkpoint.
func largeProgress(n int) dispatch.Progress {
	p := dispatch.Progress{Job: largeJobID, State: carobkeel.JobActive}
	for i := range n {
		p.Tasks = append(p.Tasks, dispatch.TaskProgress{Task: carobkeel.TaskName{Job: largeJobID, Index: i}, Done: true})
	}
	last := carobkeel.TaskName{Job: largeJobID, Step: 1}
	p.Tasks = append(p.Tasks, dispatch.TaskProgress{Task: last, FailedRuns: []int{1}, Checkpoint: "c"})
	return p
}

// Each step changes tasks, stores them and may lose answers, delay a transaction or end
// the holder in the middle. What was stored is read again; what was not is old or new.
func TestProgressInManyRowsIsReadAsItWasStored(t *testing.T) {
	type round struct {
		Begin, Count, Size, Lost, Late, Transactions int
		Release, Done                                bool
	}
	drawRound := rapid.Custom(func(t *rapid.T) round {
		return round{
			Begin: rapid.IntRange(0, 300).Draw(t, "begin"), Count: rapid.IntRange(1, 300).Draw(t, "count"),
			Size: rapid.IntRange(0, 40).Draw(t, "size"), Lost: rapid.IntRange(0, 2).Draw(t, "lost"), Late: rapid.IntRange(0, 2).Draw(t, "late"),
			Transactions: rapid.IntRange(0, 3).Draw(t, "transactions"), Release: rapid.Bool().Draw(t, "release"), Done: rapid.Bool().Draw(t, "done"),
		}
	})
	play := func(rowBytes int, rounds []round) (failure string) {
		g := NewGomega(func(message string, _ ...int) { panic(message) })
		defer func() {
			if cause := recover(); cause != nil {
				failure = cause.(string)
			}
		}()
		s := newProgressStore(g, rowBytes)
		present := dispatch.Progress{Job: largeJobID, State: carobkeel.JobActive}
		for _, r := range rounds {
			next := dispatch.Progress{Job: largeJobID, State: carobkeel.JobActive, Tasks: slices.Clone(present.Tasks)}
			for i := r.Begin; i < r.Begin+r.Count; i++ {
				next.Tasks = setTask(next.Tasks, dispatch.TaskProgress{
					Task:       carobkeel.TaskName{Job: largeJobID, Occurrence: i / 200, Step: i / 100 % 2, Index: i % 100},
					FailedRuns: []int{i}, Done: r.Done, Checkpoint: strings.Repeat("c", r.Size),
				})
			}
			s.faults.DropAnswers(r.Lost)
			s.faults.HoldNext(r.Late)
			err := s.write(progressBatch(next), r.Transactions)
			if err == nil {
				present = next
			}
			found := s.takeOver()
			if err != nil {
				g.Expect(s.rows.left).To(BeNumerically("<=", 0), "nothing is rejected")
				expectOldOrNew(g, found, present, next)
				present = found
			}
			if r.Release {
				s.faults.HoldNext(0)
				_, err := s.faults.ReleaseHeld(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
				found = s.takeOver()
			}
			g.Expect(found.Tasks).To(Equal(present.Tasks))
		}
		s.faults.HoldNext(0)
		s.faults.DropAnswers(0)
		g.Expect(s.write(progressBatch(dispatch.Progress{Job: largeJobID, State: carobkeel.JobCompleted}), 0)).To(Succeed())
		g.Expect(s.stored()).To(HaveLen(1))
		g.Expect(s.takeOver()).To(Equal(dispatch.Progress{Job: largeJobID, State: carobkeel.JobCompleted}))
		_, err := s.faults.ReleaseHeld(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.write(dispatch.Batch{Expired: []carobkeel.JobID{largeJobID}}, 0)).To(Succeed())
		g.Expect(s.stored()).To(BeEmpty())
		return ""
	}
	rapid.Check(t, func(rt *rapid.T) {
		rowBytes := rapid.IntRange(400, 3000).Draw(rt, "row")
		rounds := rapid.SliceOfN(drawRound, 1, 6).Draw(rt, "rounds")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = play(rowBytes, rounds) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Guards against TWICE: the rows of later tasks were rewritten without the tasks of dropped
// occurrences, and the holder ended before the row that says that these are done.
func TestDroppedOccurrencesAreKnownAsDoneWhereverAWriteEnds(t *testing.T) {
	const occurrences, tasks = 12, 100
	before := dispatch.Progress{Job: largeJobID, State: carobkeel.JobActive}
	for i := range occurrences * tasks {
		name := carobkeel.TaskName{Job: largeJobID, Occurrence: i / tasks, Index: i % tasks}
		before.Tasks = append(before.Tasks, dispatch.TaskProgress{Task: name, Done: true})
	}
	after := dispatch.Progress{Job: largeJobID, State: carobkeel.JobActive, DoneUpTo: occurrences}
	for transactions := range 4 {
		g := NewWithT(t)
		s := newProgressStore(g, 400)
		g.Expect(s.write(progressBatch(before), 0)).To(Succeed())
		err := s.write(progressBatch(after), transactions)
		found := s.takeOver()
		if err == nil {
			g.Expect(found.DoneUpTo).To(Equal(occurrences))
		}
		for _, task := range before.Tasks {
			listed := slices.ContainsFunc(found.Tasks, func(t dispatch.TaskProgress) bool { return t.Task == task.Task && t.Done })
			g.Expect(listed || task.Task.Occurrence < found.DoneUpTo).To(BeTrue(), "%s after %d transactions", task.Task, transactions)
		}
	}
}

// setTask sets the progress of a task in the order of their names.
func setTask(tasks []dispatch.TaskProgress, set dispatch.TaskProgress) []dispatch.TaskProgress {
	i, found := slices.BinarySearchFunc(tasks, set.Task, func(t dispatch.TaskProgress, name carobkeel.TaskName) int { return compareTasks(t.Task, name) })
	if found {
		tasks[i] = set
		return tasks
	}
	return slices.Insert(tasks, i, set)
}

// expectOldOrNew expects each task to be found as it was before or after a write.
func expectOldOrNew(g Gomega, found, before, after dispatch.Progress) {
	index := func(p dispatch.Progress) map[carobkeel.TaskName]dispatch.TaskProgress {
		tasks := make(map[carobkeel.TaskName]dispatch.TaskProgress)
		for _, t := range p.Tasks {
			tasks[t.Task] = t
		}
		return tasks
	}
	was, is, will := index(before), index(found), index(after)
	g.Expect(is).To(HaveLen(len(found.Tasks)), "no task twice")
	for name := range will {
		g.Expect(is[name]).To(Or(Equal(was[name]), Equal(will[name])), name.String())
	}
}

func TestOddRowAmongThePartsIsLeftOutAndTheOthersHold(t *testing.T) {
	for _, c := range []struct {
		name, key string
		value     []byte
	}{
		{"not a progress", ".0.0.100", []byte{0xc1}},
		{"deeply nested", ".0.0.100", append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, 1<<10)...)},
		{"empty", ".0.0.100", []byte{0x80}},
		{"of another task", ".0.0.100", mustEncode(wire.FromProgressPart(carobkeel.TaskName{Job: largeJobID, Index: 7}, 0, nil))},
		{"of all tasks", ".0.0.0", mustEncode(wire.FromProgressPart(carobkeel.TaskName{Job: largeJobID}, 0, nil))},
		{"key of no task", ".x", mustEncode(&wire.ProgressRow{})},
		{"key in another form", ".0.0.+100", mustEncode(wire.FromProgressPart(carobkeel.TaskName{Job: largeJobID, Index: 100}, 0, nil))},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newProgressStore(g, 1<<10)
			g.Expect(s.write(progressBatch(largeProgress(300)), 0)).To(Succeed())
			g.Expect(len(s.stored())).To(BeNumerically(">", 2))
			s.put(string(largeJobID)+c.key, c.value)
			g.Expect(s.takeOver()).To(Equal(largeProgress(300)))
			g.Expect(s.write(progressBatch(largeProgress(400)), 0)).To(Succeed())
			g.Expect(s.takeOver()).To(Equal(largeProgress(400)))
			g.Expect(s.write(dispatch.Batch{Expired: []carobkeel.JobID{largeJobID}}, 0)).To(Succeed())
			g.Expect(s.stored()).To(BeEmpty())
		})
	}
}

func TestOddRowWithTheStateLeavesTheFurtherRows(t *testing.T) {
	g := NewWithT(t)
	s := newProgressStore(g, 1<<10)
	g.Expect(s.write(progressBatch(largeProgress(300)), 0)).To(Succeed())
	own := len(s.known.rows[0].Value)
	s.put(string(largeJobID), []byte{0xc1})
	p := s.takeOver()
	g.Expect(p.State).To(Equal(carobkeel.JobActive))
	g.Expect(len(p.Tasks)).To(BeNumerically(">", 301-own))
	g.Expect(p.Tasks).To(Equal(largeProgress(300).Tasks[301-len(p.Tasks):]))
}

// The version before has one row for each job, up to the size that the store accepts.
func TestProgressInOneRowHasTheFormOfTheVersionBefore(t *testing.T) {
	g := NewWithT(t)
	s := newProgressStore(g, 1<<10)
	p := largeProgress(100)
	before := []byte{0x82, 0xa1, 's', 0x01, 0xa1, 't', 0xdc, 0, 101}
	for i := range 100 {
		before = append(before, 0x96, 0, 0, byte(i), 0xc3, 0x90, 0xa0)
	}
	before = append(before, 0x96, 0, 1, 0, 0xc2, 0x91, 1, 0xa1, 'c')
	s.put(string(largeJobID), before)
	g.Expect(s.takeOver()).To(Equal(p))
	p.Tasks = p.Tasks[80:]
	g.Expect(s.write(progressBatch(p), 0)).To(Succeed())
	g.Expect(s.stored()).To(HaveLen(1))
	g.Expect(s.stored()[0].Value).To(Equal(slices.Concat([]byte{0x82, 0xa1, 's', 0x01, 0xa1, 't', 0xdc, 0, 21}, before[9+80*7:])))
}

func TestLateWriteOfAReplacedHolderChangesNoRow(t *testing.T) {
	g := NewWithT(t)
	s := newProgressStore(g, 1<<10)
	s.faults.HoldNext(1)
	err := s.write(progressBatch(largeProgress(300)), 1)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	s.takeOver()
	applied, err := s.faults.ReleaseHeld(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(applied).To(BeZero())
	g.Expect(s.stored()).To(BeEmpty())
}

func TestLateWriteDoesNotBringBackTheRowsOfAnEndedJob(t *testing.T) {
	g := NewWithT(t)
	s := newProgressStore(g, 400)
	s.faults.HoldNext(1)
	g.Expect(s.write(progressBatch(largeProgress(3000)), 0)).To(Succeed())
	g.Expect(len(s.stored())).To(BeNumerically(">", maxEntries), "several transactions")
	g.Expect(s.write(progressBatch(dispatch.Progress{Job: largeJobID, State: carobkeel.JobCompleted}), 0)).To(Succeed())
	applied, err := s.faults.ReleaseHeld(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(applied).To(BeZero())
	g.Expect(s.stored()).To(HaveLen(1))
}
