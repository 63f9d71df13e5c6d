package store

import (
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/worker"
)

//go:generate go tool msgp -file row.go -o row_gen.go -tests=false -unexported

// No list, map or byte string is longer than a frame.
//
//msgp:limit arrays:262144 maps:262144

// rowFormat is the newest row format that this release reads. Decoding a row of a
// newer format returns an error.
const rowFormat = 1

// jobRow is the encoding of a scheduler.Job. The key holds the id.
type jobRow struct {
	Format       uint8    `msg:"v"`
	Entry        string   `msg:"e"`
	Owner        string   `msg:"o"`
	Class        uint8    `msg:"c"`
	MilliCPU     int64    `msg:"p"`
	MemoryBytes  int64    `msg:"m"`
	Accelerators int64    `msg:"a"`
	State        uint8    `msg:"s"`
	Reason       string   `msg:"r,omitempty"`
	Code         uint16   `msg:"rc,omitempty"`
	Run          uint64   `msg:"g"`
	Worker       string   `msg:"w,omitempty"`
	Incarnation  uint64   `msg:"i,omitempty"`
	Checkpoint   string   `msg:"k,omitempty"`
	Cancelling   bool     `msg:"x,omitempty"`
	FailedOn     []string `msg:"f,omitempty"`
	Failures     int      `msg:"n,omitempty"`
}

// epochRow is the encoding of a scheduler.EpochRow.
type epochRow struct {
	Format    uint8  `msg:"v"`
	Holder    string `msg:"h"`
	Epoch     uint64 `msg:"e"`
	Released  bool   `msg:"r"`
	GrantsFor int64  `msg:"g"`
}

// inboxRow is the encoding of a scheduler.InboxMessage. The inbox of a shard holds
// the submissions and cancellations that entries have written for the shard's
// holder, one row for each scheduler.InboxMessage. A row is deleted together with
// the last of the changes that it requested.
type inboxRow struct {
	Format    uint8    `msg:"v"`
	Submitted string   `msg:"s,omitempty"`
	Cancelled []string `msg:"x,omitempty"`
}

func checkFormat(format uint8, key string) error {
	if format == 0 || format > rowFormat {
		return errors.Errorf("row %s has format %d, want at most %d", key, format, rowFormat)
	}
	return nil
}

func encodeJob(j *scheduler.Job) ([]byte, error) {
	row := jobRow{
		Format: rowFormat, Entry: j.Entry, Owner: string(j.Owner), Class: uint8(j.Class),
		MilliCPU: j.Demand.MilliCPU, MemoryBytes: j.Demand.MemoryBytes, Accelerators: j.Demand.Accelerators,
		State: uint8(j.State), Reason: j.Reason, Code: uint16(j.Code), Run: j.Run,
		Worker: string(j.Worker), Incarnation: uint64(j.Incarnation), Checkpoint: j.Checkpoint,
		Cancelling: j.Cancelling, Failures: j.Failures,
	}
	for _, id := range j.FailedOn {
		row.FailedOn = append(row.FailedOn, string(id))
	}
	return row.MarshalMsg(nil)
}

func decodeJob(id carobkeel.JobID, key string, data []byte) (scheduler.Job, error) {
	var row jobRow
	if _, err := row.UnmarshalMsg(data); err != nil {
		return scheduler.Job{}, errors.Wrapf(err, "decode row %s", key)
	}
	if err := checkFormat(row.Format, key); err != nil {
		return scheduler.Job{}, err
	}
	job := scheduler.Job{
		ID: id, Entry: row.Entry, Owner: carobkeel.Owner(row.Owner), Class: carobkeel.Class(row.Class),
		Demand: carobkeel.Resources{
			MilliCPU: row.MilliCPU, MemoryBytes: row.MemoryBytes, Accelerators: row.Accelerators,
		},
		State: scheduler.State(row.State), Reason: row.Reason, Code: carobkeel.Code(row.Code),
		Run: row.Run, Worker: worker.ID(row.Worker),
		Incarnation: carobkeel.Incarnation(row.Incarnation), Checkpoint: row.Checkpoint,
		Cancelling: row.Cancelling, Failures: row.Failures,
	}
	for _, id := range row.FailedOn {
		job.FailedOn = append(job.FailedOn, worker.ID(id))
	}
	return job, nil
}
