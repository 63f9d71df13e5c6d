package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest/report"
)

// sample returns a report of n requests, of which request i took i times the step.
func sample(n int64, step time.Duration) *report.Report {
	h := hdrhistogram.New(1, 1<<32, 3)
	for i := int64(1); i <= n; i++ {
		_ = h.RecordValue(i * step.Microseconds())
	}
	group := report.Group{
		Count:    report.Counts{Sent: uint64(n) + 5, Answered: uint64(n), Refused: 4, Lost: 1},
		Codes:    []report.CodeCount{{Code: carobkeel.CodeOverloaded, Name: "overloaded", Ran: "no", Count: 4}},
		Answered: report.LatencyOf(h),
	}
	service := group
	service.By, service.Name = "service", "echo"
	return &report.Report{
		Format: report.Format, Started: time.Unix(0, 0).UTC(),
		Settings: report.Settings{
			Seed: 1, Rate: 10, Duration: 3, Arrivals: "poisson", Mix: "echo:1", Entries: 1,
			Floods: []report.Flood{{At: 1, End: 2, Text: "at=1s,for=1s,factor=2"}},
		},
		Totals: group, Groups: []report.Group{service}, Interval: 1,
		Timeline: []report.Slot{
			{At: 0, Answered: 3, P50: 1, P99: 2, Max: 3}, {At: 1, Refused: 4}, {At: 2, Answered: 1, Bad: 1, P50: 1, P99: 9, Max: 9},
		},
		Curve:   report.CurveOf(h),
		Reasons: map[string]uint64{"no answer in time": 1},
	}
}

func TestReadFileReturnsWrittenReport(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "a.json")
	var data bytes.Buffer
	g.Expect(sample(100, time.Millisecond).WriteJSON(&data)).To(Succeed())
	g.Expect(os.WriteFile(path, data.Bytes(), 0o600)).To(Succeed())
	read, err := report.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(sample(100, time.Millisecond)))

	g.Expect(os.WriteFile(path, []byte(`{"format":99}`), 0o600)).To(Succeed())
	_, err = report.ReadFile(path)
	g.Expect(err).To(MatchError(ContainSubstring("format 99")))
}

func TestTextIsPlainASCII(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	g.Expect(sample(1000, time.Millisecond).WriteText(&text)).To(Succeed())
	for _, r := range text.String() {
		if r != '\n' && (r < ' ' || r > '~') {
			t.Fatalf("the text has the character %q", r)
		}
	}
	g.Expect(text.String()).To(MatchRegexp(`all +500\.\d+ +500\.\d+ +900\.\d+ +990\.\d+ +999\.\d+ +1000\.\d+ +1000\.\d+`))
	g.Expect(text.String()).To(MatchRegexp(`201 +overloaded +no +4`))
	g.Expect(text.String()).To(ContainSubstring("1 no answer in time"))
}

func TestCompareReportsWorseFigures(t *testing.T) {
	g := NewWithT(t)
	a, b := sample(1000, time.Millisecond), sample(1000, 2*time.Millisecond)
	b.Totals.Count.Lost, b.Totals.Count.Answered = 101, 900
	verdicts := make(map[string]report.Change)
	for _, c := range report.Compare(a, b) {
		if c.Group == "all" {
			verdicts[c.Figure] = c
		}
	}
	g.Expect(verdicts["p99"].Worse).To(BeTrue())
	g.Expect(verdicts["lost"].Worse).To(BeTrue())
	g.Expect(verdicts["answered"].Worse).To(BeTrue())
	g.Expect(verdicts["refused"].Worse || verdicts["refused"].Better).To(BeFalse())

	var text bytes.Buffer
	g.Expect(report.WriteComparison(&text, a, b)).To(Succeed())
	g.Expect(text.String()).To(MatchRegexp(`all +p99 +990\.\d+ +198\d\.\d+ +ms +\+100\.\d% +worse`))
	g.Expect(text.String()).NotTo(ContainSubstring("different loads"))
}

func TestWritePlotInBothFormats(t *testing.T) {
	g := NewWithT(t)
	empty := &report.Report{Interval: 1}
	for _, r := range []*report.Report{sample(1000, time.Millisecond), empty} {
		var svg, png bytes.Buffer
		g.Expect(r.WritePlot(&svg, "svg")).To(Succeed())
		g.Expect(svg.String()).To(ContainSubstring("<svg"))
		g.Expect(strings.Count(svg.String(), "Latency of answers by percentile")).To(Equal(1))
		g.Expect(r.WritePlot(&png, "png")).To(Succeed())
		g.Expect(png.Bytes()).To(HavePrefix("\x89PNG"))
	}
	g.Expect(empty.WritePlot(&bytes.Buffer{}, "pdf")).NotTo(Succeed())
}
