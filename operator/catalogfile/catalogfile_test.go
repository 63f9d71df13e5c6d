package catalogfile_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
)

func TestDevCatalogueHoldsEchoAndSample(t *testing.T) {
	g := NewWithT(t)
	c := catalogfile.DevCatalogue().Catalogue(1)
	echo, ok := c.Lookup("echo")
	g.Expect(ok).To(BeTrue())
	g.Expect(echo.Owner).To(Equal(carobkeel.Owner("demo-services")))
	g.Expect(echo.Class).To(Equal(carobkeel.ClassLatencyCritical))
	g.Expect(echo.Limits.Timeout).To(Equal(2 * time.Second))
	sample, ok := c.Lookup("sample")
	g.Expect(ok).To(BeTrue())
	g.Expect(sample.Owner).To(Equal(carobkeel.Owner("demo-batch")))
	g.Expect(sample.Class).To(Equal(carobkeel.ClassBatch))
	g.Expect(c.Quotas).To(HaveLen(2))
}

const manyProblems = `owners:
  team-a:
    guaranteed: {cpu: two, memory: 4GB}
    weight: 0
entries:
  - name: booking
    owner: team-b
    class: latency-critical
    colour: red
    limits:
      timeout: 800
      concurrency: 0
      floor: 140%
  - name: report
    class: batch
    limits: {concurrency: 1, body: 2GiB}
    demand: {cpu: 500m}
    run_time: 1h
`

func TestReadReportsEveryProblemWithItsLine(t *testing.T) {
	g := NewWithT(t)
	doc, err := catalogfile.Read([]byte(manyProblems))
	g.Expect(doc).To(Equal(operator.Document{}))
	problems, ok := err.(operator.Problems)
	g.Expect(ok).To(BeTrue())
	type location struct {
		entry, field string
		line         int
	}
	var locations []location
	for _, p := range problems {
		locations = append(locations, location{p.Entry, p.Field, p.Line})
		g.Expect(p.Reason).NotTo(BeEmpty())
	}
	g.Expect(locations).To(Equal([]location{
		{"team-a", "guaranteed.cpu", 3},
		{"team-a", "guaranteed.memory", 3},
		{"team-a", "weight", 4},
		{"booking", "owner", 7},
		{"booking", "colour", 9},
		{"booking", "limits.timeout", 11},
		{"booking", "limits.concurrency", 12},
		{"booking", "limits.floor", 13},
		{"report", "owner", 14},
		{"report", "limits.body", 16},
	}))
	g.Expect(err.Error()).To(ContainSubstring(`line 9: entry "booking": field "colour": is not a field`))
}

func TestReadRefusesBrokenDocuments(t *testing.T) {
	cases := map[string]string{
		"empty":              "",
		"syntax":             "entries: [",
		"second document":    "entries: []\n---\nentries: []\n",
		"alias":              "entries: &a []\nowners: *a\n",
		"unknown top field":  "entries: []\nservices: []\n",
		"entries no list":    "entries: {}\n",
		"entry no mapping":   "entries: [echo]\n",
		"number for a name":  "[{name: 12, owner: a, class: batch, limits: {concurrency: 1}, demand: {cpu: 1}, run_time: 1s}]",
		"field twice":        "{revision: 1, revision: 2, entries: []}",
		"entry twice":        "[{name: a, owner: a, class: batch, limits: {concurrency: 1}, demand: {cpu: 1}, run_time: 1s},{name: a, owner: a, class: batch, limits: {concurrency: 1}, demand: {cpu: 1}, run_time: 1s}]",
		"scalar":             "echo",
		"revision below 0":   "{revision: -1, entries: []}",
		"instances of batch": "[{name: a, owner: a, class: batch, instances: 1, limits: {concurrency: 1}, demand: {cpu: 1}, run_time: 1s}]",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := catalogfile.Read([]byte(text))
			NewWithT(t).Expect(err).To(BeAssignableToTypeOf(operator.Problems{}))
		})
	}
}

func TestReadAcceptsJSONIndentedByTabs(t *testing.T) {
	g := NewWithT(t)
	entry, err := catalogfile.ReadEntry([]byte("{\n\t\"name\": \"a\",\n\t\"owner\": \"o\", \"class\": \"latency-critical\",\n\t\"limits\": {\"timeout\": \"2s\", \"concurrency\": 8}\n}"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entry.Limits.Timeout).To(Equal(2 * time.Second))
}

func drawResources(t *rapid.T, label string) carobkeel.Resources {
	return carobkeel.Resources{
		MilliCPU:     rapid.Int64Range(1, operator.MaxDemand.MilliCPU).Draw(t, label+" cpu"),
		MemoryBytes:  rapid.Int64Range(0, operator.MaxDemand.MemoryBytes).Draw(t, label+" memory"),
		Accelerators: rapid.Int64Range(0, operator.MaxDemand.Accelerators).Draw(t, label+" accelerators"),
	}
}

func drawEntry(t *rapid.T, name string, owner carobkeel.Owner) carobkeel.Entry {
	entry := carobkeel.Entry{
		Name: name, Owner: owner,
		Class:    carobkeel.Class(rapid.IntRange(0, carobkeel.ClassCount-1).Draw(t, "class")),
		Revision: carobkeel.Revision(rapid.Uint32().Draw(t, "revision")),
		Demand:   drawResources(t, "demand"),
		Limits: carobkeel.Limits{
			Timeout:         time.Duration(rapid.Int64Range(int64(operator.MinTimeout), int64(operator.MaxTimeout)).Draw(t, "timeout")),
			Concurrency:     rapid.IntRange(1, operator.MaxConcurrency).Draw(t, "concurrency"),
			Queue:           rapid.IntRange(0, operator.MaxQueue).Draw(t, "queue"),
			GuaranteedShare: rapid.Float64Range(0, 1).Draw(t, "floor"),
			BodyBytes:       rapid.Int64Range(0, operator.MaxBodyBytes).Draw(t, "body"),
		},
	}
	if entry.Class == carobkeel.ClassBatch {
		entry.RunTime = time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(operator.MaxRunTime)).Draw(t, "run time"))
		return entry
	}
	entry.Instances = rapid.IntRange(0, operator.MaxInstances).Draw(t, "instances")
	if rapid.Bool().Draw(t, "post") {
		entry.IdempotentMethods = []string{"POST"}
	}
	return entry
}

func TestDocumentsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := operator.Document{
			OwnersListed: true,
			Revision:     carobkeel.Revision(rapid.Uint32().Draw(t, "revision")),
			Quotas: []carobkeel.Quota{{
				Owner: "o", Guaranteed: drawResources(t, "quota"),
				Weight: rapid.Float64Range(0.001, operator.MaxWeight).Draw(t, "weight"),
			}},
		}
		for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,9}`), 0, 4, rapid.ID[string]).Draw(t, "names") {
			doc.Entries = append(doc.Entries, drawEntry(t, name, "o"))
		}
		for _, write := range []func(operator.Document) ([]byte, error){catalogfile.WriteYAML, catalogfile.WriteJSON} {
			data, err := write(doc)
			if err != nil {
				t.Fatal(err)
			}
			reread, err := catalogfile.Read(data)
			if err != nil {
				t.Fatalf("%v\n%s", err, data)
			}
			NewWithT(t).Expect(reread).To(Equal(doc))
		}
	})
}

func FuzzReadNeverPanics(f *testing.F) {
	f.Add([]byte(manyProblems))
	f.Add([]byte("[1, {name: }, [], *a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := catalogfile.Read(data)
		if err == nil && len(doc.Validate()) > 0 {
			t.Fatalf("an invalid document was read: %v", doc.Validate())
		}
	})
}
