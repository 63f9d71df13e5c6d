package holder

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/table/memory"
)

// versionInLine returns a field of the line with the given message, zero if there is none.
func versionInLine(out *bytes.Buffer, message, field string) uint64 {
	for _, line := range bytes.Split(out.Bytes(), []byte("\n")) {
		var fields struct {
			Message  string `json:"message"`
			Version  uint64 `json:"version"`
			Progress uint64 `json:"progress_version"`
		}
		if json.Unmarshal(line, &fields) != nil || fields.Message != message {
			continue
		}
		if field == "version" {
			return fields.Version
		}
		return fields.Progress
	}
	return 0
}

// Guards against TWICE that can't be traced: what a holder stored is not in what the next one read.
func TestLinesOfAStoreAndOfATakeoverHaveVersionsThatCanBeCompared(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	logger := logging.NewFactory(logging.Config{Level: "info", JSON: true}, &out).For("scheduler")
	n := New(Config{Host: "a", Shard: "shard"}, memory.NewRows(), nil, logger)
	first, err := n.takeOver(t.Context(), HolderState{}, "no holder")
	g.Expect(err).NotTo(HaveOccurred())
	progress := dispatch.Progress{Job: tracedTask.Job, State: carobkeel.JobActive}
	rows := newProgressRows(n.progressRow(string(tracedTask.Job)))
	w := &batchWriter{
		node: n, holder: first.holderState, batch: dispatch.Batch{Progress: []dispatch.Progress{progress}},
		rows: map[carobkeel.JobID]*progressRows{tracedTask.Job: rows},
	}
	g.Expect(w.run(t.Context())).To(Succeed())
	stored := versionInLine(&out, "records stored", "version")
	g.Expect(stored).To(BeEquivalentTo(w.rows[tracedTask.Job].rows[0].Version))
	g.Expect(out.String()).To(ContainSubstring(`"rows":1,"epoch":1`))
	next, err := n.takeOver(t.Context(), first.holderState, "no holder")
	g.Expect(err).NotTo(HaveOccurred())
	n.logTakenOver(next)
	g.Expect(versionInLine(&out, "shard taken over", "progress_version")).To(BeNumerically(">=", stored))
}
