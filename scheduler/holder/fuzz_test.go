package holder

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// FuzzShardRows lets a core start from rows of another writer: they are left out or
// scheduled, and the holder goes on.
func FuzzShardRows(f *testing.F) {
	job := wire.JobRow{
		Queue: "q", Service: "s", Stretch: 2, Objective: math.MaxInt64, Period: 1, First: math.MaxInt64, Repeats: 2,
		Steps: []wire.Step{{Count: 2, Estimate: math.MaxInt64}, {Count: 1, After: []int{0}, BestEffort: true, Image: "i"}},
	}
	progress := wire.ProgressRow{State: 1, Tasks: []wire.TaskProgress{{Index: 1, Done: true}, {Index: -1, FailedRuns: []int{-1}}}}
	deep := append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, 1<<16)...)
	f.Add("j", mustEncode(&job), mustEncode(&progress), mustEncode(&wire.InterferenceRow{}))
	f.Add("0.0", deep, deep, deep)
	f.Add("", []byte{0x81, 0xa5, 's', 't', 'e', 'p', 's', 0xdd, 0, 0, 0xff, 0xff}, []byte{0xc1}, []byte{0x81, 0xa1, 'i', 0xdc, 0xff, 0xff})
	part := wire.FromProgressPart(carobkeel.TaskName{Job: "j", Index: 1}, 0, nil)
	f.Add("j", mustEncode(&job), mustEncode(part), mustEncode(&wire.InterferenceRow{}))
	logger := logging.Discard().For("test")
	f.Fuzz(func(_ *testing.T, key string, jobValue, progressValue, learnedValue []byte) {
		now := dispatch.Now{Monotonic: time.Hour, Wall: time.UnixMilli(1 << 41)}
		core := dispatch.New(dispatch.Config{Epoch: 2, WorkerLease: time.Second}, now, nil)
		var learned wire.InterferenceRow
		if _, err := learned.UnmarshalMsg(learnedValue); err == nil {
			core.RestoreInterference(learned.Decoded())
		}
		if spec, err := decodeJob(table.VersionedRow{RowID: table.RowID{Key: key}, Value: jobValue}); err == nil {
			core.AddJob(spec, true)
		}
		for _, progress := range groupProgress([]table.VersionedRow{
			{RowID: table.RowID{Key: key}, Value: progressValue, Version: 1},
			{RowID: table.RowID{Key: key + ".0.0.1"}, Value: progressValue, Version: 2},
		}) {
			if restored, found := progress.decode(logger); found {
				core.Restore(restored)
			}
		}
		incarnation := runs.Incarnation{ID: "w", StartedAtMs: 1}
		core.HostLinked("h", dispatch.Link{ID: 1})
		core.DescribeWorker("h", runs.Description{
			Incarnation: incarnation, Service: "s", Sequence: 1, Capacity: carobkeel.Resources{MilliCPU: 8000, MemoryBytes: 1 << 34},
		})
		core.ApplyListing(dispatch.WorkerListing{Host: "h", Incarnation: incarnation, Number: 1, Full: true})
		core.BatchStored(core.NextBatch(dispatch.BatchLimit{Entries: batchEntries, Bytes: batchBytes}))
		for _, order := range core.Finish().Orders {
			message := wire.FromOrder(order)
			_ = wire.SplitOrders(2, []wire.Order{message})
		}
		core.Advance(dispatch.Now{Monotonic: 2 * time.Hour, Wall: now.Wall.Add(time.Hour)})
		core.Finish()
	})
}

// FuzzRows decodes the rows that name processes.
func FuzzRows(f *testing.F) {
	for _, row := range []msgp.Marshaler{&wire.HolderRow{Epoch: math.MaxUint64}, &wire.WorkerRow{ID: "w"}, &wire.EntryRow{Address: "x:99999"}} {
		f.Add("w.0", mustEncode(row))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		row := table.VersionedRow{RowID: table.RowID{Key: key}, Value: value}
		if holder, err := decodeHolder(row); err == nil && holder.Epoch > maxEpoch {
			t.Fatalf("epoch %d", holder.Epoch)
		}
		if record, err := decodeWorker(row); err == nil && workerKey(record.Incarnation) != key {
			t.Fatalf("record of %v under %q", record.Incarnation, key)
		}
	})
}
