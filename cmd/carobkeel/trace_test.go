package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func runTrace(args []string, stdin string) (int, string, string) {
	var out, errs bytes.Buffer
	code := run(context.Background(), append([]string{"trace"}, args...), streams{in: strings.NewReader(stdin), out: &out, err: &errs})
	return code, out.String(), errs.String()
}

func TestTraceFollowsAnIDThroughFiles(t *testing.T) {
	g := NewWithT(t)
	entry := filepath.Join(t.TempDir(), "entry.log")
	g.Expect(os.WriteFile(entry, []byte(`{"time":"2026-01-01T00:00:02.000Z","level":"info","part":"scheduler","job":"aa11","run":1,"message":"run started"}
not a log line with aa11
{"time":"2026-01-01T00:00:01.000Z","level":"info","part":"entry","job":"aa11","message":"job accepted"}
{"time":"2026-01-01T00:00:01.500Z","level":"info","part":"entry","job":"bb22","message":"job accepted"}
`), 0o600)).To(Succeed())
	sidecar := `  3.5 side-1 {"time":"2026-01-01T00:00:03.000Z","level":"info","part":"sidecar","task":"aa11.0.0.0","result":"ok","message":"order"}` + "\n"
	code, out, _ := runTrace([]string{"aa11", entry, "-"}, sidecar)
	g.Expect(code).To(Equal(exitOK))
	g.Expect(out).To(Equal(`2026-01-01T00:00:01.000Z info entry job accepted job=aa11
2026-01-01T00:00:02.000Z info scheduler run started job=aa11 run=1
2026-01-01T00:00:03.000Z info sidecar order result=ok task=aa11.0.0.0
`))
	_, out, _ = runTrace([]string{"-json", "aa11", "-"}, sidecar)
	g.Expect(out).To(HavePrefix(`{"time":"2026-01-01T00:00:03.000Z"`))
}

func TestTraceOfATaskHasTheLinesOfItsJobAndOfNoOtherTask(t *testing.T) {
	g := NewWithT(t)
	logs := `{"time":"2026-01-01T00:00:01.000Z","level":"info","part":"entry","message":"job accepted","job":"00000000000000aa","queue":"q"}
{"time":"2026-01-01T00:00:02.000Z","level":"warn","part":"scheduler","message":"run given up","detail":"lease expired: 2 ms ago, link lost","task":"00000000000000aa.0.0.1","run":1,"host":"h","epoch":1}
{"time":"2026-01-01T00:00:03.000Z","level":"info","part":"scheduler","message":"run ended","detail":"done","task":"00000000000000aa.0.0.11","run":1,"host":"h","epoch":1}
`
	code, out, _ := runTrace([]string{"00000000000000aa.0.0.1", "-"}, logs)
	g.Expect(code).To(Equal(exitOK))
	g.Expect(out).To(Equal(`2026-01-01T00:00:01.000Z info entry job accepted job=00000000000000aa queue=q
2026-01-01T00:00:02.000Z warn scheduler run given up detail=lease expired: 2 ms ago, link lost task=00000000000000aa.0.0.1 run=1 host=h epoch=1
`))
	_, out, _ = runTrace([]string{"00000000000000aa", "-"}, logs)
	g.Expect(strings.Count(out, "\n")).To(Equal(3), "the lines of its tasks do not repeat the job")
}

func TestTraceReportsErrors(t *testing.T) {
	g := NewWithT(t)
	code, _, errs := runTrace([]string{"aa11"}, "")
	g.Expect(code).To(Equal(exitUsage))
	g.Expect(errs).To(ContainSubstring("ID FILE"))
	code, _, errs = runTrace([]string{"aa11", "-"}, "")
	g.Expect(code).To(Equal(exitFailure))
	g.Expect(errs).To(ContainSubstring("no line names aa11"))
	code, _, _ = runTrace([]string{"aa11", "/does/not/exist"}, "")
	g.Expect(code).To(Equal(exitFailure))
}
