package jobs

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
)

func TestLinesOnATaskAreExplainedInOrderOfTime(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	task := carobkeel.TaskName{Job: "00000000000000aa", Index: 1}
	run := judge.RunID{Worker: judge.Worker{ID: "worker-1", Incarnation: 2}, Task: task, Run: 1}
	seen := judge.NewPlay(began, time.Minute, []judge.Event{
		{At: 3 * time.Second, Observation: judge.RunStarted{RunID: run}},
		{At: 5 * time.Second, Observation: judge.RunEnded{RunID: run, Outcome: judge.OutcomeDone, EndNumber: 1}},
	})
	g.Expect(writeRecord(filepath.Join(folder, recordFile), seen)).To(Succeed())
	write := func(name string, lines ...string) {
		g.Expect(os.WriteFile(filepath.Join(folder, name), []byte(strings.Join(lines, "\n")), 0o600)).To(Succeed())
	}
	write("edge-1.log",
		`{"time":"2026-01-01T00:00:02Z","part":"scheduler","task":"00000000000000aa.0.0.1","message":"second"}`,
		`{"time":"2026-01-01T00:00:02Z","part":"scheduler","task":"00000000000000aa.0.0.11","message":"another task"}`,
		`{"time":"2026-01-01T00:00:01Z","part":"entry","job":"00000000000000aa","message":"first"}`,
		`{"time":"2026-01-01T00:00:01Z","part":"entry","job":"00000000000000bb","message":"another job"}`)
	write(standinsLog,
		`{"time":"2026-01-01T00:00:04Z","part":"trouble","kind":"freeze-holder","message":"fourth"}`,
		`{"time":"2026-01-01T00:00:06Z","part":"worker","worker":"worker-1","task":"","late":true,"message":"last"}`,
		`{"time":"2026-01-01T00:00:06Z","part":"worker","worker":"worker-3","task":"","late":true,"message":"another worker"}`)
	g.Expect(explainAll(folder, []judge.Finding{{Task: task.String()}, {Task: task.String()}})).To(Succeed())
	out, err := os.ReadFile(filepath.Join(folder, explainedPrefix+task.String()+".txt"))
	g.Expect(err).NotTo(HaveOccurred())
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	g.Expect(lines).To(HaveLen(6))
	for i, text := range []string{"first", "second", "run-began", "fourth", "run-ended", "last"} {
		g.Expect(lines[i]).To(ContainSubstring(text))
	}
}

func TestRunsOfATaskAreExplainedFromPrintedLogs(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(Explain(&out, "testdata/printed-logs.txt", "00000000000000aa.0.0.1")).To(Succeed())
	want, err := os.ReadFile("testdata/printed-logs-explained.txt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(Equal(string(want)))
}
