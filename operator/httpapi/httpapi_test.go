package httpapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/httpapi"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// switchableTable is a table whose reads can be made to fail.
type switchableTable struct {
	table.Table
	down bool
}

func (o *switchableTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if o.down {
		return table.Row{}, false, table.ErrUnavailable
	}
	return o.Table.Get(ctx, key)
}

// fixedState returns a fleet with one instance of echo on each of two hosts, and
// two running tasks of the batch entry sample.
type fixedState struct{}

func (fixedState) Fleet(context.Context) (operator.Fleet, error) {
	f := operator.Fleet{Since: start.Add(-time.Hour), At: start}
	for _, host := range []string{"a", "b"} {
		at := carobkeel.Location{DataCentre: "dar-1", Rack: "r1", Host: host}
		f.Instances = append(f.Instances, operator.Instance{Service: "echo", Location: at, Serving: true})
	}
	return f, nil
}

func (fixedState) Usage(context.Context) (operator.Usage, error) {
	return operator.Usage{Running: map[string]int{"sample": 2}}, nil
}

func (fixedState) Status(context.Context) (operator.Status, error) {
	return operator.Status{Revision: 1, StoreAvailable: true, Services: []operator.ServiceStatus{{Name: "echo"}}}, nil
}

var _ = Describe("Handler", func() {
	var (
		rows   *switchableTable
		router chi.Router
	)
	noWait := func(context.Context, int) error { return nil }
	clock := func() time.Time { return start }

	BeforeEach(func() {
		rows = &switchableTable{Table: memory.New()}
		catalogue := store.New(store.Config{Table: rows, Usage: fixedState{}, Wait: noWait, Now: clock})
		Expect(catalogue.Seed(context.Background(), catalogfile.DevCatalogue(), "dev")).To(Succeed())
		stops := store.NewStops(store.StopsConfig{Table: rows, Fleet: fixedState{}, Wait: noWait, Now: clock})
		router = chi.NewRouter()
		httpapi.NewHandler(httpapi.Config{Catalogue: catalogue, Stops: stops, Status: fixedState{}}).Mount(router)
	})

	send := func(method, path, body string, header ...string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		return w
	}
	expectProblem := func(w *httptest.ResponseRecorder, status int, code carobkeel.Code) httpapi.Problem {
		GinkgoHelper()
		var p httpapi.Problem
		Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed())
		Expect(w.Code).To(Equal(status), w.Body.String())
		Expect(w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
		Expect(p.Code).To(Equal(uint16(code)))
		Expect(p.Ran).To(Equal(code.Info().Ran.String()))
		Expect(p.Title).NotTo(BeEmpty())
		return p
	}
	echoWith := func(timeout string) string {
		return strings.Replace(send("GET", "/v1/catalogue/echo", "").Body.String(), `"2s"`, `"`+timeout+`"`, 1)
	}

	It("lists entries as one array with what callers rely on", func() {
		w := send("GET", "/v1/catalogue", "")
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Header().Get("ETag")).To(Equal(`"1"`))
		var list struct{ Entries []map[string]any }
		Expect(json.Unmarshal(w.Body.Bytes(), &list)).To(Succeed())
		Expect(list.Entries).To(HaveLen(2))
		Expect(list.Entries[0]).To(And(HaveKeyWithValue("name", "echo"), HaveKeyWithValue("owner", "demo-services"),
			HaveKeyWithValue("class", "latency-critical"), HaveKey("limits")))
		Expect(send("GET", "/v1/catalogue", "", "If-None-Match", `"1"`).Code).To(Equal(http.StatusNotModified))
	})

	It("changes an entry only under the tag that was read", func() {
		expectProblem(send("PUT", "/v1/catalogue/echo", echoWith("1s")), 428, carobkeel.CodeRevisionRequired)
		w := send("PUT", "/v1/catalogue/echo", echoWith("1s"), "If-Match", `"1"`)
		Expect(w.Code).To(Equal(http.StatusOK), w.Body.String())
		Expect(w.Header().Get("ETag")).To(Equal(`"2"`))
		Expect(w.Body.String()).To(ContainSubstring(`"timeout": "1s"`))

		lost := send("PUT", "/v1/catalogue/echo", strings.Replace(echoWith(""), `"1s"`, `"3s"`, 1), "If-Match", `"1"`)
		p := expectProblem(lost, 412, carobkeel.CodeRevisionConflict)
		Expect(string(p.Current)).To(ContainSubstring(`"1s"`))
		Expect(lost.Header().Get("ETag")).To(Equal(`"2"`))
		for _, tag := range []string{`W/"2"`, "2", `""`, `"x"`} {
			expectProblem(send("PUT", "/v1/catalogue/echo", echoWith("9s"), "If-Match", tag), 412, carobkeel.CodeRevisionConflict)
		}
	})

	It("creates with If-None-Match and answers a repeat alike", func() {
		newEntry := strings.Replace(echoWith("1s"), `"name": "echo"`, `"name": "echo-2"`, 1)
		header := []string{"If-None-Match", "*", "Idempotency-Key", "k1", "Carobkeel-Operator", "asha"}
		Expect(send("PUT", "/v1/catalogue/echo-2", newEntry, header...).Code).To(Equal(http.StatusCreated))
		w := send("PUT", "/v1/catalogue/echo-2", newEntry, header...)
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Header().Get("ETag")).To(Equal(`"2"`))
		expectProblem(send("PUT", "/v1/catalogue/echo-2", newEntry, "If-None-Match", "*"), 412, carobkeel.CodeRevisionConflict)
		var history httpapi.History
		Expect(json.Unmarshal(send("GET", "/v1/catalogue/echo-2/history", "").Body.Bytes(), &history)).To(Succeed())
		Expect(history.History).To(HaveLen(1))
		Expect(history.History[0]).To(And(HaveField("By", "asha"), HaveField("Action", operator.ActionAdd)))
	})

	It("refuses what is not valid, with every problem", func() {
		p := expectProblem(send("PUT", "/v1/catalogue/echo", `{"name":"echo","class":"batch","colour":1,"limits":{"concurrency":0}}`, "If-Match", `"1"`),
			422, carobkeel.CodeInvalidEntry)
		Expect(len(p.Problems)).To(BeNumerically(">=", 3))
		expectProblem(send("PUT", "/v1/catalogue/other", echoWith("1s"), "If-Match", `*`), 412, carobkeel.CodeRevisionConflict)
		expectProblem(send("PUT", "/v1/catalogue/other", echoWith("1s"), "If-None-Match", `*`), 422, carobkeel.CodeInvalidEntry)
		expectProblem(send("GET", "/v1/catalogue/other", ""), 404, carobkeel.CodeUnknownEntry)
		expectProblem(send("GET", "/v1/catalogue/other/history", ""), 404, carobkeel.CodeUnknownEntry)
		expectProblem(send("GET", "/v1/catalogue/echo/history?limit=x", ""), 400, carobkeel.CodeInvalidRequest)
	})

	It("explains why something in use stays", func() {
		p := expectProblem(send("DELETE", "/v1/catalogue/sample", "", "If-Match", `"1"`), 409, carobkeel.CodeEntryInUse)
		Expect(p.Detail).To(ContainSubstring("2 instances or tasks running"))
		expectProblem(send("DELETE", "/v1/owners/demo-services", "", "If-Match", `"1"`), 409, carobkeel.CodeEntryInUse)
		Expect(send("DELETE", "/v1/catalogue/echo", "", "If-Match", `"1"`).Code).To(Equal(http.StatusNoContent))
		Expect(send("DELETE", "/v1/owners/demo-services", "", "If-Match", `"1"`).Code).To(Equal(http.StatusNoContent))
		expectProblem(send("DELETE", "/v1/catalogue/echo", "", "If-Match", `*`), 404, carobkeel.CodeUnknownEntry)
	})

	It("shows the difference and changes nothing in a dry run", func() {
		body := "[" + echoWith("1s") + "]"
		for _, w := range []*httptest.ResponseRecorder{
			send("POST", "/v1/catalogue:validate", body),
			send("POST", "/v1/catalogue?dry_run=true", body, "If-Match", "*"),
			send("PUT", "/v1/catalogue/echo?dry_run=true", echoWith("1s"), "If-Match", `"1"`),
		} {
			var plan httpapi.Plan
			Expect(json.Unmarshal(w.Body.Bytes(), &plan)).To(Succeed())
			Expect(plan.Revision).To(Equal(carobkeel.Revision(1)))
			Expect(plan.Differences).To(HaveLen(1))
			Expect(plan.Differences[0].Fields).To(Equal([]operator.FieldDifference{{Field: "limits.timeout", Before: "2s", After: "1s"}}))
		}
		Expect(send("GET", "/v1/catalogue", "").Header().Get("ETag")).To(Equal(`"1"`))
	})

	It("applies a document under the catalogue's tag", func() {
		body := "[" + echoWith("1s") + "]"
		expectProblem(send("POST", "/v1/catalogue", body), 428, carobkeel.CodeRevisionRequired)
		expectProblem(send("POST", "/v1/catalogue", body, "If-Match", `"9"`), 412, carobkeel.CodeRevisionConflict)
		w := send("POST", "/v1/catalogue", body, "If-Match", `"1"`)
		Expect(w.Code).To(Equal(http.StatusOK), w.Body.String())
		Expect(w.Header().Get("ETag")).To(Equal(`"2"`))
	})

	It("plans, lists and cancels stops", func() {
		w := send("POST", "/v1/stops", `{"data_centre":"dar-1","host":"a"}`, "Idempotency-Key", "s1")
		Expect(w.Code).To(Equal(http.StatusCreated), w.Body.String())
		Expect(w.Header().Get("Location")).To(Equal("/v1/stops/s1"))
		expectProblem(send("POST", "/v1/stops", `{"data_centre":"dar-1","host":"b"}`), 409, carobkeel.CodeStopRefused)
		expectProblem(send("POST", "/v1/stops", `{"hosts":"b"}`), 400, carobkeel.CodeInvalidRequest)
		expectProblem(send("POST", "/v1/stops", `{}`), 422, carobkeel.CodeInvalidEntry)
		var list httpapi.StopList
		Expect(json.Unmarshal(send("GET", "/v1/stops", "").Body.Bytes(), &list)).To(Succeed())
		Expect(list.Stops).To(HaveLen(1))
		Expect(send("DELETE", "/v1/stops/s1", "").Code).To(Equal(http.StatusOK))
		Expect(send("GET", "/v1/stops/s1", "").Body.String()).To(ContainSubstring("cancelled"))
		expectProblem(send("GET", "/v1/stops/s2", ""), 404, carobkeel.CodeUnknownStop)
	})

	It("reads what it has seen while the table service is down", func() {
		body := echoWith("1s")
		rows.down = true
		w := send("GET", "/v1/catalogue/echo", "")
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Header().Get(httpapi.LastSeenHeader)).To(Equal("true"))
		refused := send("PUT", "/v1/catalogue/echo", body, "If-Match", `"1"`)
		expectProblem(refused, 503, carobkeel.CodeStoreUnavailable)
		Expect(refused.Header().Get("Retry-After")).NotTo(BeEmpty())
	})

	It("answers the status and health", func() {
		Expect(send("GET", "/v1/status", "").Body.String()).To(ContainSubstring(`"store_available": true`))
		ready := false
		httpapi.MountHealth(router, func() bool { return ready })
		Expect(send("GET", "/healthz", "").Code).To(Equal(http.StatusNoContent))
		Expect(send("GET", "/readyz", "").Code).To(Equal(http.StatusServiceUnavailable))
		ready = true
		Expect(send("GET", "/readyz", "").Code).To(Equal(http.StatusNoContent))
	})
})
