package loadtest_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
)

// roundTripper is an in-memory transport.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func reply(status int, header map[string]string, body []byte) *http.Response {
	response := &http.Response{
		StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)),
	}
	for name, value := range header {
		response.Header.Set(name, value)
	}
	return response
}

func echo(r *http.Request) *http.Response {
	body, _ := io.ReadAll(r.Body)
	return reply(http.StatusOK, map[string]string{"Carobkeel-Result": "0", "Upstream-Runs": "1"}, body)
}

func config(t *testing.T, mix string) loadtest.Config {
	t.Helper()
	shares, err := plan.ParseMix(mix)
	if err != nil {
		t.Fatal(err)
	}
	return loadtest.Config{
		Plan: plan.Config{
			Seed: 1, Run: "test", Rate: 100, Duration: time.Second, Arrivals: plan.Uniform, Mix: shares,
			Bodies: plan.SizeRange{Min: 8, Max: 64},
		},
		Targets: []string{"http://127.0.0.1:1"}, ResponseTimeout: 5 * time.Second, MaxInFlight: 1000,
	}
}

func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		c := config(t, "echo")
		// The entry stalls until 1 s, the end of the run. The latency of a request
		// that was due at 10 ms is 990 ms, whenever the load test sent it.
		c.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
			<-time.After(time.Until(start.Add(time.Second)))
			return echo(r), nil
		})
		report := loadtest.New(c).Run(context.Background())
		g.Expect(report.Totals.Count.Answered).To(BeEquivalentTo(99))
		g.Expect(report.Totals.Answered.Max).To(BeNumerically("~", 990, 2))
		g.Expect(report.Totals.Answered.P50).To(BeNumerically("~", 500, 6))
		g.Expect(report.Timeline[2].Max).To(BeNumerically("~", 900, 10), "the slot from 100 ms")
	})
}

func TestRequestsBeyondTheLimitAreCountedAsUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := config(t, "echo")
		c.MaxInFlight = 10
		c.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		counts := loadtest.New(c).Run(context.Background()).Totals.Count
		g.Expect(counts.Sent).To(BeEquivalentTo(10))
		g.Expect(counts.Unsent).To(BeEquivalentTo(89))
		g.Expect(counts.Lost).To(BeEquivalentTo(10))
	})
}

func TestAnEndedContextStopsTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := config(t, "echo")
		c.Transport = roundTripper(func(r *http.Request) (*http.Response, error) { return echo(r), nil })
		ctx, cancel := context.WithTimeout(context.Background(), 505*time.Millisecond)
		defer cancel()
		report := loadtest.New(c).Run(ctx)
		g.Expect(report.Totals.Count.Answered).To(BeEquivalentTo(50))
		g.Expect(report.EndedAfter).To(BeEquivalentTo(0.505))
	})
}

const problemBody = `{"code":201,"title":"x","detail":"y","ran":"no"}`

func TestEachAnswerIsCheckedAgainstWhatWasSent(t *testing.T) {
	ok := map[string]string{"Carobkeel-Result": "0", "Upstream-Runs": "1"}
	problem := map[string]string{"Carobkeel-Result": "201", "Content-Type": "application/problem+json"}
	cases := []struct {
		name   string
		mix    string
		answer func(sent []byte) *http.Response
		want   loadtest.Outcome
		reason loadtest.Reason
	}{
		{"whole answer", "echo", func(b []byte) *http.Response { return reply(200, ok, b) }, loadtest.Answered, loadtest.ReasonNone},
		{"crossed answer", "echo", func(b []byte) *http.Response { return reply(200, ok, append([]byte("x"), b[1:]...)) }, loadtest.Mismatched, loadtest.ReasonBodyDiffers},
		{"cut answer", "echo", func(b []byte) *http.Response { return reply(200, ok, b[:4]) }, loadtest.Mismatched, loadtest.ReasonBodyTruncated},
		{"longer answer", "echo", func(b []byte) *http.Response { return reply(200, ok, append(b, 1)) }, loadtest.Mismatched, loadtest.ReasonBodyDiffers},
		{"no result code", "echo", func(b []byte) *http.Response { return reply(200, nil, b) }, loadtest.Failed, loadtest.ReasonNoResultCode},
		{"upstream's failure", "echo", func(b []byte) *http.Response { return reply(500, ok, b) }, loadtest.Failed, loadtest.ReasonUnexpectedStatus},
		{"failure as asked", "echo/fail=500", func([]byte) *http.Response { return reply(500, ok, nil) }, loadtest.Answered, loadtest.ReasonNone},
		{"size as asked", "echo/size=3", func([]byte) *http.Response { return reply(200, ok, []byte("abc")) }, loadtest.Answered, loadtest.ReasonNone},
		{"wrong size", "echo/size=3", func([]byte) *http.Response { return reply(200, ok, []byte("ab")) }, loadtest.Mismatched, loadtest.ReasonBodyTruncated},
		{"refusal", "echo", func([]byte) *http.Response { return reply(503, problem, []byte(problemBody)) }, loadtest.Refused, loadtest.ReasonNone},
		{"refusal without ran", "echo", func([]byte) *http.Response { return reply(503, problem, []byte(`{"code":201}`)) }, loadtest.Failed, loadtest.ReasonRanInvalid},
		{"refusal of another code", "echo", func([]byte) *http.Response { return reply(503, problem, []byte(`{"code":202,"ran":"no"}`)) }, loadtest.Failed, loadtest.ReasonRanInvalid},
		{"job", "sample/class=batch", func([]byte) *http.Response { return reply(202, ok, []byte(`{"id":"j1"}`)) }, loadtest.Answered, loadtest.ReasonNone},
		{"job without id", "sample/class=batch", func([]byte) *http.Response { return reply(202, ok, []byte(`{}`)) }, loadtest.Failed, loadtest.ReasonNoJobID},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				settings := config(t, c.mix)
				settings.Plan.Rate = 2
				settings.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
					body, err := io.ReadAll(r.Body)
					return c.answer(body), err
				})
				var results []loadtest.Result
				settings.OnResult = func(r loadtest.Result) { results = append(results, r) }
				loadtest.New(settings).Run(context.Background())
				g.Expect(results).To(HaveLen(1))
				g.Expect(results[0].Outcome).To(Equal(c.want))
				g.Expect(results[0].Reason).To(Equal(c.reason))
				if c.want == loadtest.Refused {
					g.Expect(results[0].Code).To(Equal(carobkeel.CodeOverloaded))
					g.Expect(results[0].Ran).To(Equal(carobkeel.RanNo))
				}
			})
		})
	}
}

func TestKeysThatRanTwiceAreCountedAsDoubled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := config(t, "echo:1,sample:1/class=batch")
		c.Targets = append(c.Targets, "http://127.0.0.1:2")
		c.Plan.KeyShare, c.Plan.RepeatShare, c.Plan.MaxRepeatDelay = 1, 1, 50*time.Millisecond
		var jobs atomic.Int64
		c.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
			ok := map[string]string{"Carobkeel-Result": "0", "Upstream-Runs": "2"}
			if strings.HasPrefix(r.URL.Path, "/jobs/") {
				job := "j" + time.Duration(jobs.Add(1)).String()
				return reply(202, ok, []byte(`{"id":"`+job+`"}`)), nil
			}
			body, err := io.ReadAll(r.Body)
			return reply(200, ok, body), err
		})
		report := loadtest.New(c).Run(context.Background())
		echo, sample := report.Groups[0], report.Groups[1]
		g.Expect(echo.Count.RanTwice).To(Equal(echo.Count.Sent))
		g.Expect(sample.Count.RanTwice).To(Equal(sample.Count.Sent/2), "the second job of each key")
	})
}

func TestLoadAgainstServer(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	runs := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		key := r.Header.Get("Idempotency-Key")
		mu.Lock()
		runs[key]++
		mu.Unlock()
		if r.URL.Path == "/services/closing/" {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/services/full/" {
			w.Header().Set("Carobkeel-Result", "201")
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, problemBody)
			return
		}
		w.Header().Set("Carobkeel-Result", "0")
		w.Header().Set("Carobkeel-Request-Id", r.Header.Get("Carobkeel-Timeout"))
		_, _ = w.Write(body)
	}))
	defer server.Close()
	c := config(t, "echo:2/owner=a,full:1/owner=b,closing:1/owner=b")
	c.Targets = []string{server.URL, "http://127.0.0.1:1"}
	c.Plan.Rate, c.Plan.Duration, c.Plan.KeyShare = 400, time.Second, 1
	c.RequestTimeout = 800 * time.Millisecond
	report := loadtest.New(c).Run(context.Background())

	total := report.Totals.Count
	g.Expect(total.Sent).To(BeNumerically("~", 399, 1))
	g.Expect(total.Unreachable).To(BeNumerically("~", 200, 1), "every second request")
	g.Expect(total.Answered + total.Refused + total.Lost).To(Equal(total.Sent - total.Unreachable))
	g.Expect(total.Mismatched + total.Failed + total.RanTwice).To(BeZero())
	g.Expect(report.Totals.Codes).To(HaveLen(1))
	g.Expect(report.Totals.Codes[0].Name).To(Equal("overloaded"))
	g.Expect(report.Totals.Codes[0].Count).To(Equal(total.Refused))
	mu.Lock()
	defer mu.Unlock()
	for key, count := range runs {
		g.Expect(count).To(Equal(1), "the transport repeats nothing by itself: %s", key)
	}
}
