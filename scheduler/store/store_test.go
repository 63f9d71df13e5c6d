package store

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/worker"
)

func TestJobRowRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := scheduler.Job{
			ID: "s.1", Entry: rapid.String().Draw(t, "entry"), Owner: carobkeel.Owner(rapid.String().Draw(t, "owner")),
			Class:  carobkeel.Class(rapid.IntRange(0, 1).Draw(t, "class")),
			Demand: carobkeel.Resources{MilliCPU: rapid.Int64().Draw(t, "cpu"), MemoryBytes: 1, Accelerators: 2},
			State:  scheduler.State(rapid.IntRange(0, 11).Draw(t, "state")), Reason: rapid.String().Draw(t, "reason"),
			Code: carobkeel.CodeNeverFits, Run: rapid.Uint64().Draw(t, "generation"),
			Worker: "w", Incarnation: carobkeel.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			Checkpoint: "c", Cancelling: rapid.Bool().Draw(t, "cancelling"), Failures: 3,
			FailedOn: []worker.ID{"a", "b"},
		}
		data, err := encodeJob(&job)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeJob(job.ID, "key", data)
		if err != nil {
			t.Fatal(err)
		}
		NewWithT(t).Expect(decoded).To(Equal(job))
	})
}

func TestRowOfANewerFormatIsRefused(t *testing.T) {
	row := jobRow{Format: rowFormat + 1}
	data, err := row.MarshalMsg(nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = decodeJob("s.1", "key", data)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("format 2")))
}

func TestDamagedCheckpointIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		sealed := EncodeCheckpoint(payload)
		opened, err := DecodeCheckpoint(sealed)
		if err != nil || string(opened) != string(payload) {
			t.Fatalf("decoding a valid checkpoint did not return its payload; error %v", err)
		}
		truncated := sealed[:rapid.IntRange(0, len(sealed)-1).Draw(t, "length")]
		if _, err := DecodeCheckpoint(truncated); carobkeel.CodeOf(err) != carobkeel.CodeCheckpointInvalid {
			t.Fatalf("decoding a truncated checkpoint returned error %v, want code CheckpointInvalid", err)
		}
		at := rapid.IntRange(0, len(sealed)-1).Draw(t, "at")
		sealed[at] ^= 1
		if _, err := DecodeCheckpoint(sealed); carobkeel.CodeOf(err) != carobkeel.CodeCheckpointInvalid {
			t.Fatalf("decoding a checkpoint with a flipped bit returned error %v, want code CheckpointInvalid", err)
		}
	})
}
