package telemetry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
)

type latencies struct {
	latency tally.Histogram
	count   tally.Counter
}

func newLatencies(scope tally.Scope) latencies {
	return latencies{
		latency: scope.Histogram("latency", telemetry.LatencyBuckets()),
		count:   scope.Counter("requests"),
	}
}

func scrape(t *testing.T, handler http.Handler) string {
	t.Helper()
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func TestMetricsAreServedAsPrometheusText(t *testing.T) {
	g := NewWithT(t)
	scope, handler, closer := telemetry.New(telemetry.Config{Interval: time.Hour})
	byOwner := telemetry.NewByOwner(scope.SubScope("entry"), 0, newLatencies)
	group := byOwner.For("msaada-dispatch", carobkeel.ClassLatencyCritical)
	group.latency.RecordDuration(3 * time.Millisecond)
	group.count.Inc(2)
	codes := telemetry.NewCodeCounters(scope.SubScope("entry"), "results")
	codes.Inc(carobkeel.CodeOverloaded)
	codes.Inc(carobkeel.Code(999))
	g.Expect(closer.Close()).To(Succeed())

	text := scrape(t, handler)
	g.Expect(text).To(ContainSubstring(
		`carobkeel_entry_latency_bucket{class="latency-critical",owner="msaada-dispatch",le="0.005"} 1`))
	g.Expect(text).To(ContainSubstring(
		`carobkeel_entry_requests{class="latency-critical",owner="msaada-dispatch"} 2`))
	g.Expect(text).To(ContainSubstring(`carobkeel_entry_results{code="201"} 1`))
	g.Expect(text).To(ContainSubstring(`carobkeel_entry_results{code="unlisted"} 1`))
}

func TestMetricWithConflictingLabelsIsReported(t *testing.T) {
	g := NewWithT(t)
	var problems []error
	scope, _, closer := telemetry.New(telemetry.Config{
		Interval: time.Hour,
		OnError:  func(err error) { problems = append(problems, err) },
	})
	scope.Counter("requests").Inc(1)
	scope.Tagged(map[string]string{"owner": "a"}).Counter("requests").Inc(1)
	g.Expect(closer.Close()).To(Succeed())
	g.Expect(problems).To(HaveLen(1))
}

func TestOwnersBeyondTheLimitShareOneGroup(t *testing.T) {
	g := NewWithT(t)
	byOwner := telemetry.NewByOwner(tally.NoopScope, 2, newLatencies)
	first := byOwner.For("a", carobkeel.ClassBatch)
	byOwner.For("b", carobkeel.ClassBatch)
	third := byOwner.For("c", carobkeel.ClassBatch)

	g.Expect(byOwner.Owners()).To(Equal(2))
	g.Expect(third).To(BeIdenticalTo(byOwner.For(telemetry.OwnerOther, carobkeel.ClassBatch)))
	g.Expect(third).To(BeIdenticalTo(byOwner.For("d", carobkeel.Class(9))))
	g.Expect(first).To(BeIdenticalTo(byOwner.For("a", carobkeel.ClassBatch)))
	g.Expect(first).NotTo(BeIdenticalTo(byOwner.For("a", carobkeel.ClassLatencyCritical)))
}

func TestConcurrentOwnersStayWithinTheLimit(t *testing.T) {
	g := NewWithT(t)
	scope, handler, closer := telemetry.New(telemetry.Config{Interval: time.Hour})
	byOwner := telemetry.NewByOwner(scope, 50, newLatencies)
	const writers, owners = 8, 300
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for i := range owners {
				owner := carobkeel.Owner(fmt.Sprintf("owner-%d", i))
				byOwner.For(owner, carobkeel.ClassBatch).count.Inc(1)
			}
		})
	}
	group.Wait()
	g.Expect(closer.Close()).To(Succeed())
	g.Expect(byOwner.Owners()).To(Equal(50))
	text := scrape(t, handler)
	g.Expect(text).To(ContainSubstring(`carobkeel_requests{class="batch",owner="owner-49"} 8`))
	g.Expect(text).To(ContainSubstring(`carobkeel_requests{class="batch",owner="other"} 2000`))
}
