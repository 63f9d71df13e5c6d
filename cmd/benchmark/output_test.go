package main

import (
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/measurement"
)

func TestEachRunIsAddedToTheFiles(t *testing.T) {
	g := NewWithT(t)
	out := filepath.Join(t.TempDir(), "results", "run.jsonl")
	history := filepath.Join(t.TempDir(), "MEASUREMENTS.md")
	for run := range 2 {
		info := runInfo{time: time.Unix(int64(run), 0).UTC(), commit: "abc", seed: 1}
		records := []measurement.Record{info.record("catalogue", targeted("cost", 5, "us", atMost, 9))}
		g.Expect(save(records, out, history)).To(Succeed())
	}
	records, err := measurement.ReadFile(out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(2))
	g.Expect(records[1].Target).To(Equal("<=9"))
	g.Expect(records[1].Verdict).To(Equal("met"))
}
