package main

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/measurement"
)

func TestCommittedPageMatchesMeasurements(t *testing.T) {
	g := NewWithT(t)
	records, err := readRecords("../../docs/MEASUREMENTS.md", "")
	g.Expect(err).NotTo(HaveOccurred())
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(render(newResults(records))), "run make capacity")
}

func records(unit string, values map[string]float64) []measurement.Record {
	var all []measurement.Record
	for name, value := range values {
		all = append(all, measurement.Record{
			Time: time.Unix(0, 0), Commit: "abc", Suite: "suite", Name: name, Value: value, Unit: unit,
		})
	}
	return all
}

func TestLineResultIsCostAtSizeTimesCount(t *testing.T) {
	g := NewWithT(t)
	r := newResults(records("us", map[string]float64{"work-10-things": 15, "work-100-things": 105, "work-1000-things": 1005}))
	o := r.evaluate(line{
		resource: processor, cost: costAtSize("suite/work-N-things", amount(500, "things")), count: amount(20, "a second"),
	})
	g.Expect(o.measured).To(BeTrue())
	g.Expect(o.unit.value).To(BeNumerically("~", 505, 0.01))
	g.Expect(o.result).To(BeNumerically("~", 1.01, 0.001), "505 us, 20 times a second, in percent of a core")
	g.Expect(o.unit.source).To(ContainSubstring("`suite/work-N-things` at abc: 5 + 1 × N us"))
}

func TestRateIsInvertedToUnitCost(t *testing.T) {
	g := NewWithT(t)
	r := newResults(records("decisions/s/core", map[string]float64{
		"place-10-workers-rate": 100_000, "place-20-workers-rate": 50_000, "place-40-workers-rate": 25_000,
	}))
	unit, ok := r.lookup(inverseRateAtSize("suite/place-N-workers-rate", amount(30, "workers")))
	g.Expect(ok).To(BeTrue())
	g.Expect(unit.value).To(BeNumerically("~", 30, 0.01))
	g.Expect(unit.unit).To(Equal("us"))
}

func TestLineWithoutUsableFigureHasNoResult(t *testing.T) {
	g := NewWithT(t)
	r := newResults(records("us", map[string]float64{"work-10-things": 15, "work-100-things": 105}))
	for _, c := range []figureRef{
		costAtSize("suite/work-N-things", amount(5, "things")), constantCost("suite/other"), costAtSize("suite/other-N-things", amount(5, "things")),
	} {
		g.Expect(r.evaluate(line{resource: processor, cost: c, count: oneProcess}).measured).To(BeFalse(), c.figure)
	}
	wrongUnit := line{resource: memory, cost: constantCost("suite/work-10-things"), count: oneProcess}
	g.Expect(r.evaluate(wrongUnit).measured).To(BeFalse())
}

func TestSumWithUnmeasuredLinesNeverHolds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(total{sum: 1, measured: 1}.verdict(2)).To(HavePrefix("holds"))
	g.Expect(total{sum: 1, measured: 1, missing: 1}.verdict(2)).To(HavePrefix("open"))
	g.Expect(total{sum: 5, measured: 1, missing: 1}.verdict(2)).To(ContainSubstring("does not hold, factor 2.5"))
	g.Expect(total{missing: 1}.verdict(2)).To(Equal("not measured"))
}

func TestQuantitiesKeepTheirFormula(t *testing.T) {
	g := NewWithT(t)
	q := amount(12_000, "workers").over(amount(10, "shards")).times(amount(2, "frames"))
	g.Expect(q.value).To(Equal(2400.0))
	g.Expect(countText(q, constantCost("x"))).To(Equal("2,400 = 12,000 workers / 10 shards × 2 frames"))
	g.Expect(countText(oneProcess, costAtSize("x", q))).To(Equal("1 process; N = 2,400"))
}
