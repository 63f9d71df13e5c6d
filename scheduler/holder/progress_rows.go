package holder

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

// progressRow is a stored row of a job's progress. It holds the tasks from the first one up
// to the first one of the next row; what it says of later tasks is outdated.
type progressRow struct {
	table.VersionedRow
	first carobkeel.TaskName
}

// progressRows are the stored rows of a job's progress, in the order of their tasks. The
// key of the first one, which also has the state, is the job's ID; most jobs have no
// other. The key of a further row is the name of its first task.
type progressRows struct {
	rows []progressRow
	// odd are rows of other writers under the keys of further rows. They go with the
	// job.
	odd []progressRow
}

// newProgressRows returns the rows of a job without progress.
func newProgressRows(id table.RowID) *progressRows {
	first := progressRow{VersionedRow: table.VersionedRow{RowID: id}, first: carobkeel.TaskName{Job: carobkeel.JobID(id.Key)}}
	return &progressRows{rows: []progressRow{first}}
}

func (r *progressRows) clone() *progressRows {
	return &progressRows{rows: slices.Clone(r.rows), odd: slices.Clone(r.odd)}
}

// jobOfProgressKey returns the job of a row of progress.
func jobOfProgressKey(key string) carobkeel.JobID {
	job, _, _ := strings.Cut(key, ".")
	return carobkeel.JobID(job)
}

// parseProgressKey returns the first task of a row of progress.
func parseProgressKey(key string) (carobkeel.TaskName, error) {
	if job := carobkeel.JobID(key); job.IsValid() {
		return carobkeel.TaskName{Job: job}, nil
	}
	first, err := carobkeel.ParseTaskName(key)
	if err != nil {
		return first, err
	}
	if first.String() != key || first == (carobkeel.TaskName{Job: first.Job}) {
		return first, errors.Errorf("%q is not the key of a further row", key)
	}
	return first, nil
}

// compareTasks orders the tasks of a job.
func compareTasks(a, b carobkeel.TaskName) int {
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// end returns the number of tasks, in their order, that belong to the rows before row i.
func (r *progressRows) end(tasks []dispatch.TaskProgress, i int) int {
	if i == len(r.rows) {
		return len(tasks)
	}
	n, _ := slices.BinarySearchFunc(tasks, r.rows[i].first, func(t dispatch.TaskProgress, first carobkeel.TaskName) int {
		return compareTasks(t.Task, first)
	})
	return n
}

// changes returns the changes after which the rows hold the progress. The rows are
// consistent after each of them: a new row comes before the row whose tasks it takes over
// is rewritten, and the rows of later tasks come first.
func (r *progressRows) changes(p *dispatch.Progress, valueBytes int) []table.RowTransaction {
	if p.State.IsFinal() {
		return append([]table.RowTransaction{r.rows[0].write(mustEncode(wire.FromProgress(p)))}, r.removalOfParts()...)
	}
	var changes []table.RowTransaction
	tasks := wire.CutProgress(p.Tasks, r.firstTasks())
	for i := len(r.rows) - 1; i >= 0; i-- {
		lists := wire.SplitProgress(tasks[r.end(tasks, i):r.end(tasks, i+1)], valueBytes)
		for k := len(lists) - 1; k > 0; k-- {
			changes = append(changes, r.create(p.DoneUpTo, lists[k]))
		}
		row := wire.FromProgressPart(r.rows[i].first, p.DoneUpTo, lists[0])
		if i == 0 {
			row = wire.FromProgress(&dispatch.Progress{State: p.State, DoneUpTo: p.DoneUpTo, Tasks: lists[0]})
		}
		if value := mustEncode(row); r.rows[i].Version == 0 || !bytes.Equal(value, r.rows[i].Value) {
			changes = append(changes, r.rows[i].write(value))
		}
	}
	return changes
}

// firstTasks returns the first task of each row.
func (r *progressRows) firstTasks() []carobkeel.TaskName {
	first := make([]carobkeel.TaskName, len(r.rows))
	for i := range r.rows {
		first[i] = r.rows[i].first
	}
	return first
}

// create returns the change that adds a row. Its condition on the row with the state keeps
// it from being carried out once the job has ended and its rows are removed.
func (r *progressRows) create(doneUpTo int, tasks []dispatch.TaskProgress) table.RowTransaction {
	first := tasks[0].Task
	added := progressRow{VersionedRow: table.VersionedRow{RowID: r.rows[0].RowID}}
	added.Key = first.String()
	change := added.write(mustEncode(wire.FromProgressPart(first, doneUpTo, tasks)))
	change.Conditions = append(change.Conditions, r.rows[0].unchanged())
	return change
}

// removalOfParts returns the changes that remove all rows but the one with the state.
func (r *progressRows) removalOfParts() []table.RowTransaction {
	var changes []table.RowTransaction
	for _, row := range slices.Concat(r.rows[1:], r.odd) {
		changes = append(changes, row.remove())
	}
	return changes
}

// removal returns the changes that remove the rows, and the others of the job together with
// the state.
func (r *progressRows) removal(others ...table.RowID) []table.RowTransaction {
	last := r.rows[0].remove()
	for _, id := range others {
		last.Writes = append(last.Writes, table.RowWrite{RowID: id, Delete: true})
	}
	return append(r.removalOfParts(), last)
}

// unchanged returns the condition that the row has not been written since.
func (r *progressRow) unchanged() table.RowCondition {
	return table.RowCondition{RowID: r.RowID, Version: r.Version}
}

func (r *progressRow) write(value []byte) table.RowTransaction {
	return table.RowTransaction{
		Conditions: []table.RowCondition{r.unchanged()},
		Writes:     []table.RowWrite{{RowID: r.RowID, Value: value}},
	}
}

func (r *progressRow) remove() table.RowTransaction {
	return table.RowTransaction{
		Conditions: []table.RowCondition{r.unchanged()},
		Writes:     []table.RowWrite{{RowID: r.RowID, Delete: true}},
	}
}

// record follows a write that was carried out.
func (r *progressRows) record(w table.RowWrite, version table.Version) {
	sameKey := func(row progressRow) bool { return row.Key == w.Key }
	r.odd = slices.DeleteFunc(r.odd, sameKey)
	if w.Delete {
		r.rows = append(r.rows[:1], slices.DeleteFunc(r.rows[1:], sameKey)...)
		return
	}
	stored := table.VersionedRow{RowID: w.RowID, Value: w.Value, Version: version}
	if i := slices.IndexFunc(r.rows, sameKey); i >= 0 {
		r.rows[i].VersionedRow = stored
		return
	}
	r.add(stored)
}

// add adds a row under its key. A row that can't be one of the job's is odd.
func (r *progressRows) add(row table.VersionedRow) {
	first, err := parseProgressKey(row.Key)
	added := progressRow{VersionedRow: row, first: first}
	if err != nil {
		r.odd = append(r.odd, added)
		return
	}
	i, found := slices.BinarySearchFunc(r.rows, first, func(row progressRow, first carobkeel.TaskName) int {
		return compareTasks(row.first, first)
	})
	if found {
		r.rows[i] = added
		return
	}
	r.rows = slices.Insert(r.rows, i, added)
}

// decode returns the progress in the rows, and false if there is none. Rows that can't be
// read are left out, and the others hold.
func (r *progressRows) decode(logger *log.Logger) (dispatch.Progress, bool) {
	base := &r.rows[0]
	p, err := wire.DecodeProgress(base.Value, base.first.Job)
	if err != nil {
		p = dispatch.Progress{Job: base.first.Job, State: carobkeel.JobActive}
	}
	if err != nil && base.Version != 0 {
		logLeftOut(logger, base.Key, err)
	}
	parts, doneUpTo := r.decodeParts(logger)
	lists := append([][]dispatch.TaskProgress{p.Tasks}, parts...)
	p.Tasks, p.DoneUpTo = nil, max(p.DoneUpTo, doneUpTo)
	if !p.State.IsFinal() {
		p.Tasks = r.ownTasks(lists)
	}
	return p, err == nil || len(r.rows) > 1
}

// decodeParts returns the tasks in each of the further rows, and the number of the first occurrences
// that are done by the rows. Those that can't be read become odd.
func (r *progressRows) decodeParts(logger *log.Logger) (lists [][]dispatch.TaskProgress, doneUpTo int) {
	for i := range r.odd {
		logLeftOut(logger, r.odd[i].Key, errors.New("key names no task"))
	}
	readable := r.rows[:1:1]
	for _, row := range r.rows[1:] {
		part, err := wire.DecodeProgressPart(row.Value, row.first)
		if err != nil {
			logLeftOut(logger, row.Key, err)
			r.odd = append(r.odd, row)
			continue
		}
		readable, lists = append(readable, row), append(lists, part.Tasks)
		doneUpTo = max(doneUpTo, part.DoneUpTo)
	}
	r.rows = readable
	return lists, doneUpTo
}

// ownTasks returns the tasks of each row's list that belong to the row.
func (r *progressRows) ownTasks(lists [][]dispatch.TaskProgress) []dispatch.TaskProgress {
	var own []dispatch.TaskProgress
	for i, tasks := range lists {
		for _, t := range tasks {
			isEarlier := compareTasks(t.Task, r.rows[i].first) < 0
			isLater := i+1 < len(r.rows) && compareTasks(t.Task, r.rows[i+1].first) >= 0
			if !isEarlier && !isLater {
				own = append(own, t)
			}
		}
	}
	return own
}

func logLeftOut(logger *log.Logger, key string, err error) {
	logger.Error().Err(err).Str("job", key).Msg("progress row left out")
}

// groupProgress returns the rows of progress by job.
func groupProgress(rows []table.VersionedRow) map[carobkeel.JobID]*progressRows {
	jobs := make(map[carobkeel.JobID]*progressRows)
	for _, row := range rows {
		job := jobOfProgressKey(row.Key)
		if jobs[job] == nil {
			id := row.RowID
			id.Key = string(job)
			jobs[job] = newProgressRows(id)
		}
		jobs[job].add(row)
	}
	return jobs
}
