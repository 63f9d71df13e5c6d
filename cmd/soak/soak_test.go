package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest"
	"github.com/carobkeel/carobkeel/entry/loadtest/report"
)

func TestFaultsAreOrderedAndFixedByTheSeed(t *testing.T) {
	g := NewWithT(t)
	faults := planFaults(7, 10*time.Minute, defaultFaultGap, 2, 3)
	g.Expect(planFaults(7, 10*time.Minute, defaultFaultGap, 2, 3)).To(Equal(faults))
	g.Expect(planFaults(8, 10*time.Minute, defaultFaultGap, 2, 3)).NotTo(Equal(faults))
	g.Expect(planFaults(7, 10*time.Minute, 0, 2, 3)).To(BeEmpty())
	seen := make(map[faultKind]bool)
	last := 90 * time.Second
	for _, f := range faults {
		g.Expect(f.At).To(BeNumerically(">=", last))
		g.Expect(f.At).To(BeNumerically("<", 510*time.Second))
		last = f.At
		seen[f.Kind] = true
	}
	g.Expect(seen).To(HaveLen(len(faultKinds)))
}

func TestEachViolatedGuaranteeIsCounted(t *testing.T) {
	answered := attempt{outcome: loadtest.Answered}
	notRun := attempt{outcome: loadtest.Refused, ran: carobkeel.RanNo}
	unknown := attempt{outcome: loadtest.Refused, ran: carobkeel.RanUnknown}
	lost := attempt{outcome: loadtest.Lost, target: 1, from: 5 * time.Second, to: 6 * time.Second}
	entryKilled := []disruption{{target: 1, from: 5500 * time.Millisecond, to: 7 * time.Second}}
	cases := []struct {
		name        string
		attempts    []attempt
		runs        int64
		disruptions []disruption
		want        string
	}{
		{"answered once", []attempt{answered, answered}, 1, nil, ""},
		{"ran twice", []attempt{answered, answered}, 2, nil, "doubled"},
		{"a true refusal", []attempt{notRun}, 0, nil, ""},
		{"a false refusal", []attempt{notRun}, 1, nil, "falsely refused"},
		{"refused and then answered", []attempt{notRun, answered}, 1, nil, ""},
		{"unknown and ran", []attempt{unknown, notRun}, 1, nil, ""},
		{"answered without a run", []attempt{answered}, 0, nil, "falsely said to have run"},
		{"lost for no reason", []attempt{lost}, 1, nil, "lost"},
		{"lost with its entry", []attempt{lost}, 1, entryKilled, ""},
		{"lost, another entry killed", []attempt{lost}, 1, []disruption{{target: 0, to: time.Hour}}, "lost"},
		{"crossed", []attempt{{outcome: loadtest.Mismatched}}, 1, nil, "mismatched"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			count, findings := checkGuarantees(map[string][]attempt{"r": c.attempts}, func(string) int64 { return c.runs }, c.disruptions)
			g.Expect(count.violated()).To(Equal(c.want != ""))
			if c.want == "" {
				g.Expect(findings).To(BeEmpty())
				return
			}
			g.Expect(findings).To(HaveLen(1))
			g.Expect(findings[0].Kind).To(Equal(c.want))
		})
	}
}

func TestUpstreamsRecordEachStartByName(t *testing.T) {
	g := NewWithT(t)
	r := &runCounter{}
	for range 2 {
		request := httptest.NewRequest(http.MethodPost, "/", bytes.NewBufferString("body"))
		request.Header.Set(loadtest.HeaderRequestName, "a-1")
		response := httptest.NewRecorder()
		r.ServeHTTP(response, request)
		g.Expect(response.Body.String()).To(Equal("body"))
	}
	g.Expect(r.Runs("a-1")).To(BeEquivalentTo(2))
	g.Expect(r.Runs("a-2")).To(BeZero())
}

func TestReadyLineIsRead(t *testing.T) {
	g := NewWithT(t)
	g.Expect(parseReady("ready caller=127.0.0.1:1 link=127.0.0.1:2")).To(Equal(map[string]string{
		"caller": "127.0.0.1:1", "link": "127.0.0.1:2",
	}))
}

func TestAttemptsAreCollectedFromManyGoroutines(t *testing.T) {
	g := NewWithT(t)
	const senders, each = 20, 50
	all := &attempts{}
	var senderGroup sync.WaitGroup
	for range senders {
		senderGroup.Go(func() {
			for i := range each {
				all.add(loadtest.Result{Name: strconv.Itoa(i)})
			}
		})
	}
	senderGroup.Wait()
	byName := all.byName()
	g.Expect(byName).To(HaveLen(each))
	for _, found := range byName {
		g.Expect(found).To(HaveLen(senders))
	}
}

func TestResultIsAddedToThePageOfMeasurements(t *testing.T) {
	g := NewWithT(t)
	page := filepath.Join(t.TempDir(), "MEASUREMENTS.md")
	r := &result{Time: time.Unix(0, 0), Commit: "abc", Seed: 2, Counts: counts{Lost: 2}, Load: &report.Report{}}
	g.Expect(r.save(config{history: page})).To(Succeed())
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(ContainSubstring("### soak/lost (requests)"))
	g.Expect(string(text)).To(ContainSubstring("| abc | 2 | 2 | - | <=0 | miss |"))
}
