package holder

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/follow"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// mustEncode encodes a row. The types of rows can't fail to encode.
func mustEncode(row msgp.Marshaler) []byte {
	data, err := row.MarshalMsg(nil)
	if err != nil {
		panic("holder: row not encoded: " + err.Error())
	}
	return data
}

func workerKey(incarnation runs.Incarnation) string {
	return incarnation.ID + "." + strconv.FormatInt(incarnation.StartedAtMs, 10)
}

// findRow returns the row with a key. Its version is zero if there is none.
func findRow(rows []table.VersionedRow, key string) table.VersionedRow {
	i := slices.IndexFunc(rows, func(row table.VersionedRow) bool { return row.Key == key })
	if i < 0 {
		return table.VersionedRow{}
	}
	return rows[i]
}

// restoreProgress applies the stored progress of jobs, in the order of their IDs.
func (l *loop) restoreProgress(rows []table.VersionedRow) {
	l.progress = groupProgress(rows)
	for _, job := range slices.Sorted(maps.Keys(l.progress)) {
		if progress, found := l.progress[job].decode(l.node.log); found {
			l.core.Restore(progress)
		}
	}
}

func (l *loop) restoreInterference(rows []table.VersionedRow) {
	for _, row := range rows {
		var learned wire.InterferenceRow
		if _, err := learned.UnmarshalMsg(row.Value); err != nil {
			l.node.log.Error().Err(err).Msg("learned interference model could not be decoded")
			continue
		}
		l.core.RestoreInterference(learned.Decoded())
	}
}

func (n *Node) decodeWorkers(rows []table.VersionedRow) []dispatch.WorkerRecord {
	var records []dispatch.WorkerRecord
	for _, row := range rows {
		record, err := decodeWorker(row)
		if err != nil {
			n.log.Error().Err(err).Str("worker", row.Key).Msg("worker record left out")
			continue
		}
		records = append(records, record)
	}
	return records
}

// decodeWorker decodes the record of a worker incarnation. A record under another key
// than its own could never be removed.
func decodeWorker(row table.VersionedRow) (dispatch.WorkerRecord, error) {
	var w wire.WorkerRow
	if _, err := w.UnmarshalMsg(row.Value); err != nil {
		return dispatch.WorkerRecord{}, errors.Wrap(err, "decode")
	}
	incarnation := runs.Incarnation{ID: w.ID, StartedAtMs: w.StartedAtMs}
	if row.Key != workerKey(incarnation) {
		return dispatch.WorkerRecord{}, errors.Errorf("record of worker %s.%d", w.ID, w.StartedAtMs)
	}
	return dispatch.WorkerRecord{Incarnation: incarnation, Host: w.Host, LateLease: w.LateLease, Ended: w.Ended}, nil
}

func encodeWorker(record dispatch.WorkerRecord) []byte {
	return mustEncode(&wire.WorkerRow{
		Host: record.Host, ID: record.Incarnation.ID, StartedAtMs: record.Incarnation.StartedAtMs,
		LateLease: record.LateLease, Ended: record.Ended,
	})
}

// followJobs passes accepted jobs and cancellations to the core.
func (l *loop) followJobs(term context.Context, from, epochVersion table.Version) {
	n := l.node
	follower := follow.Follower{
		Rows: n.rows, Table: TableJobs, Part: n.config.Shard, Wait: followTimeout, Log: n.log,
		OnUpdate: func(changes follow.Update) {
			rows := rowsUpTo(changes.Rows, changes.Version)
			if len(rows) == 0 && !changes.Full {
				return
			}
			n.events.Push(func(l *loop) {
				if l.core == nil || l.term != term {
					return
				}
				l.applyJobRows(rows, epochVersion)
				if changes.Full {
					l.keepJobRows(rows)
				}
			})
		},
	}
	follower.Run(term, from)
}

// rowsUpTo returns the rows that were written up to a version. A read in several pages may find
// a job that was accepted under a later holder but not the row of that holder's epoch. The feed
// delivers both, in their order. A cancellation holds whenever it was written: callers repeat theirs,
// and a job must not start until the feed delivers the last one.
func rowsUpTo(rows []table.VersionedRow, version table.Version) []table.VersionedRow {
	return slices.DeleteFunc(rows, func(row table.VersionedRow) bool {
		return row.Version > version && !isCancellation(row.Key)
	})
}

func isCancellation(key string) bool { return strings.HasSuffix(key, CancelSuffix) }

// applyJobRows applies rows of jobs and of cancellations. Jobs from before the
// epoch may have runs that an earlier holder started. Later jobs do not: the
// earlier holder sees the row of this epoch before them, in the same table.
func (l *loop) applyJobRows(rows []table.VersionedRow, epochVersion table.Version) {
	for _, row := range rows {
		if row.Key == epochKey && row.Version > epochVersion {
			l.stepDown("the jobs table names a later holder")
			return
		}
	}
	l.addJobs(rows, epochVersion)
	l.applyCancellations(rows)
}

func (l *loop) addJobs(rows []table.VersionedRow, epochVersion table.Version) {
	for _, row := range rows {
		if row.Key == epochKey || isCancellation(row.Key) {
			continue
		}
		if row.Deleted {
			delete(l.jobRows, carobkeel.JobID(row.Key))
			continue
		}
		l.addJob(row, row.Version < epochVersion)
	}
}

// keepJobRows forgets the rows of jobs that a read of the whole table has not found. No later
// read finds them.
func (l *loop) keepJobRows(rows []table.VersionedRow) {
	found := make(map[carobkeel.JobID]bool, len(rows))
	for _, row := range rows {
		found[carobkeel.JobID(row.Key)] = true
	}
	maps.DeleteFunc(l.jobRows, func(job carobkeel.JobID, _ table.Version) bool { return !found[job] })
}

func (l *loop) applyCancellations(rows []table.VersionedRow) {
	for _, row := range rows {
		if job, isCancel := strings.CutSuffix(row.Key, CancelSuffix); isCancel && !row.Deleted {
			l.applyCancellation(carobkeel.JobID(job), row.Version)
		}
	}
}

// applyCancellation applies a stored cancellation. That of a job which is not stored keeps late
// submissions of it off.
func (l *loop) applyCancellation(job carobkeel.JobID, version table.Version) {
	if known := l.core.Cancel(job); known || !job.IsValid() {
		return
	}
	l.markRows[job] = version
	l.core.KeepCancelMark(job)
}

// addJob passes a job to the core unless that was done with this row or a later one: a read that
// began before the job's removal still holds the row.
func (l *loop) addJob(row table.VersionedRow, inherited bool) {
	id := carobkeel.JobID(row.Key)
	if row.Version <= l.jobRows[id] {
		return
	}
	l.jobRows[id] = row.Version
	job, err := decodeJob(row)
	if err != nil {
		l.node.log.Error().Err(err).Str("job", row.Key).Msg("job row left out")
		return
	}
	l.core.AddJob(job, inherited)
}

// decodeJob decodes a row of a job. It returns an error if the job can't be run.
func decodeJob(row table.VersionedRow) (*carobkeel.JobSpec, error) {
	id := carobkeel.JobID(row.Key)
	if !id.IsValid() {
		return nil, errors.New("key is not a job ID")
	}
	var encoded wire.JobRow
	if _, err := encoded.UnmarshalMsg(row.Value); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	job := encoded.Decoded(id)
	return job, job.Validate()
}
