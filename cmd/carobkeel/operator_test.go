package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/httpapi"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table/memory"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// sampleFleet has one instance of echo on each of two hosts.
type sampleFleet struct{}

func (sampleFleet) Fleet(context.Context) (operator.Fleet, error) {
	f := operator.Fleet{Since: start.Add(-time.Hour), At: start}
	for _, host := range []string{"a", "b"} {
		at := carobkeel.Location{DataCentre: "dar-1", Rack: "r1", Host: host}
		f.Instances = append(f.Instances, operator.Instance{Service: "echo", Location: at, Serving: true})
	}
	return f, nil
}

func (sampleFleet) Status(context.Context) (operator.Status, error) {
	return operator.Status{
		Revision: 7, StoreAvailable: true, At: start,
		DataCentres: []operator.DataCentreStatus{{Name: "dar-1", Revision: 7, StaleSeconds: 0.4, Processes: 3, Upstreams: 2}},
		Services:    []operator.ServiceStatus{{Name: "echo", Owner: "demo-services", Instances: 2, Serving: 2, InFlight: 5}},
		Batch:       []operator.BatchStatus{{Name: "sample", Owner: "demo-batch", Queued: 4, Running: 1}},
	}, nil
}

// startOperatorServer starts the operators' interface with the dev catalogue. It
// executes the first change but drops the connection without an answer, so that
// the client must retry.
func startOperatorServer(t *testing.T) string {
	t.Helper()
	clock := func() time.Time { return start }
	rows := memory.New()
	catalogue := store.New(store.Config{Table: rows, Now: clock})
	if err := catalogue.Seed(context.Background(), catalogfile.DevCatalogue(), "dev"); err != nil {
		t.Fatal(err)
	}
	router := chi.NewRouter()
	httpapi.NewHandler(httpapi.Config{
		Catalogue: catalogue,
		Stops:     store.NewStops(store.StopsConfig{Table: rows, Fleet: sampleFleet{}, Now: clock}),
		Status:    sampleFleet{},
	}).Mount(router)
	var answerLost atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") != "" && answerLost.CompareAndSwap(false, true) {
			router.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		router.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const changedEcho = `entries:
  - name: echo
    owner: demo-services
    class: latency-critical
    limits: {timeout: 900ms, concurrency: 8, queue: 64, floor: 0.5, body: 1MiB}
    demand: {cpu: 250m, memory: 64MiB}
`

func TestOperatorsSession(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("CAROBKEEL_OPERATOR", startOperatorServer(t))
	t.Setenv("CAROBKEEL_BY", "asha")
	folder := t.TempDir()
	t.Chdir(folder)
	g.Expect(os.WriteFile(filepath.Join(folder, "echo.yaml"), []byte(changedEcho), 0o600)).To(Succeed())
	broken := strings.NewReplacer("900ms", "900", "floor", "flour").Replace(changedEcho)
	g.Expect(os.WriteFile(filepath.Join(folder, "broken.yaml"), []byte(broken), 0o600)).To(Succeed())

	var session bytes.Buffer
	for _, line := range []struct {
		command string
		code    int
	}{
		{"catalogue validate echo.yaml", exitOK},
		{"catalogue validate broken.yaml", exitFailure},
		{"catalogue validate broken.yaml -json", exitFailure},
		{"catalogue apply broken.yaml", exitFailure},
		{"catalogue apply echo.yaml -dry-run", exitOK},
		{"catalogue apply echo.yaml", exitOK},
		{"catalogue apply -if-revision 1 echo.yaml", exitFailure},
		{"catalogue apply echo.yaml -json", exitOK},
		{"catalogue get", exitOK},
		{"catalogue get echo", exitOK},
		{"catalogue get -json sample", exitOK},
		{"catalogue get other", exitFailure},
		{"catalogue history echo", exitOK},
		{"catalogue history -owner demo-batch", exitOK},
		{"stop plan -data-centre dar-1 -host a -start 2026-12-05T06:00:00Z -stop-id s1", exitOK},
		{"stop plan -data-centre dar-1 -host b", exitFailure},
		{"stop plan -rack r1 -in -5s", exitUsage},
		{"stop list", exitOK},
		{"stop cancel s1", exitOK},
		{"stop list -json", exitOK},
		{"status", exitOK},
		{"status -operator nowhere", exitUsage},
		{"catalogue", exitUsage},
		{"catalogue get a b", exitUsage},
	} {
		session.WriteString("$ carobkeel " + line.command + "\n")
		io := streams{in: strings.NewReader(""), out: &session, err: &session}
		g.Expect(run(context.Background(), strings.Fields(line.command), io)).To(Equal(line.code), "%s\n%s", line.command, session.String())
		session.WriteString("\n")
	}
	goldie.New(t, goldie.WithFixtureDir(filepath.Join(sourceFolder, "testdata"))).Assert(t, "operators_session", session.Bytes())
}

// sourceFolder is the initial working directory, the folder of this package.
var sourceFolder, _ = os.Getwd()
