package measurement_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/measurement"
)

func record(at int64, commit, name string, value float64, target string) measurement.Record {
	return measurement.Record{
		Time: time.Unix(at, 0).UTC(), Commit: commit, Seed: 1, Suite: "catalogue",
		Name: name, Value: value, Unit: "us", Target: target, Verdict: "met",
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	records := []measurement.Record{record(1, "a", "apply-change-10-entries", 2.5, "<=78"), record(2, "a", "x", 1, "-")}
	var file bytes.Buffer
	g.Expect(measurement.Write(&file, records)).To(Succeed())
	read, err := measurement.Read(&file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(records))
	_, err = measurement.Read(bytes.NewBufferString("{}\n{"))
	g.Expect(err).To(MatchError(ContainSubstring("line 2")))
}

func TestSeriesTakeTheLatestValueOfEachSize(t *testing.T) {
	g := NewWithT(t)
	series := measurement.GroupSeries([]measurement.Record{
		record(3, "b", "apply-change-10-entries", 5, "-"),
		record(1, "a", "apply-change-10-entries", 9, "-"),
		record(1, "a", "apply-change-1000-entries", 50, "-"),
		record(1, "a", "apply-change-100-entries", 14, "-"),
		record(1, "a", "no-size", 1, "-"),
	})
	g.Expect(series).To(HaveLen(1))
	g.Expect(series["catalogue/apply-change-N-entries"].Points).To(Equal([]measurement.Point{
		{Size: 10, Value: 5}, {Size: 100, Value: 14}, {Size: 1000, Value: 50},
	}))
}

func TestFitFindsTheLine(t *testing.T) {
	g := NewWithT(t)
	points := []measurement.Point{{Size: 10, Value: 25}, {Size: 100, Value: 205}, {Size: 1000, Value: 2005}}
	line, err := measurement.Fit(points)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line.Slope).To(BeNumerically("~", 2, 1e-9))
	g.Expect(line.Base).To(BeNumerically("~", 5, 1e-9))
	g.Expect(line.MaxRelativeError(points)).To(BeNumerically("<", 1e-9))
	_, err = measurement.Fit(points[:2])
	g.Expect(err).To(HaveOccurred())
	_, err = measurement.Fit([]measurement.Point{{Size: 1, Value: 1}, {Size: 1, Value: 1}, {Size: 1, Value: 1}})
	g.Expect(err).To(HaveOccurred())
}

func TestHistoryKeepsRowsAndListsRegressions(t *testing.T) {
	g := NewWithT(t)
	first := measurement.History(nil).Add([]measurement.Record{
		record(0, "aaa", "cost", 10, "<=78"), record(0, "aaa", "rate", 100, ">=50"),
	})
	g.Expect(first.String()).To(ContainSubstring("None is more than 10% worse"))
	g.Expect(measurement.ParseHistory(first.String())).To(Equal(first))

	second := measurement.ParseHistory(first.String()).Add([]measurement.Record{
		record(60, "bbb", "cost", 12, "<=78"), record(60, "bbb", "rate", 80, ">=50"),
	})
	page := second.String()
	g.Expect(page).To(ContainSubstring("| 1970-01-01T00:01Z | bbb | 1 | 12 | +20.0% | <=78 | met |"))
	g.Expect(page).To(ContainSubstring("- catalogue/cost: 12 us at bbb, best earlier line 10"))
	g.Expect(page).To(ContainSubstring("- catalogue/rate: 80 us at bbb, best earlier line 100"))
}

func TestRowsOfDifferentSeedsAreNotCompared(t *testing.T) {
	g := NewWithT(t)
	other := record(60, "bbb", "cost", 50, "<=78")
	other.Seed = 2
	history := measurement.History(nil).Add([]measurement.Record{record(0, "aaa", "cost", 10, "<=78"), other})
	g.Expect(history.String()).To(ContainSubstring("| bbb | 2 | 50 | - |"))
	g.Expect(history.String()).To(ContainSubstring("None is more than 10% worse"))
}
