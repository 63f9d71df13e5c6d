// Package echo is the sample service, which responds with the body of the request.
// It also counts the requests that it has run, so that tests can compare the counts
// with the results that callers received.
package echo

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
)

// HealthPath is the path of the service's health check.
const HealthPath = "/healthz"

// RunsHeader is the response header with the number of requests with the same
// Idempotency-Key that this instance has started, or of all requests if the request
// has no key.
const RunsHeader = "Upstream-Runs"

const (
	maxDelay  = time.Minute
	chunkSize = 32 << 10
)

// Service is one instance of the sample service.
type Service struct {
	draining atomic.Bool
	total    atomic.Int64
	keys     sync.Map // runs by key: string to *atomic.Int64
}

// New returns an instance that reports itself healthy.
func New() *Service { return &Service{} }

// Drain makes the health check report that the instance is shutting down.
func (s *Service) Drain() { s.draining.Store(true) }

// TotalRuns returns the number of requests that the instance has started.
func (s *Service) TotalRuns() int64 { return s.total.Load() }

// RunsOfKey returns the number of requests with the key that the instance has started.
func (s *Service) RunsOfKey(key string) int64 {
	counter, ok := s.keys.Load(key)
	if !ok {
		return 0
	}
	return counter.(*atomic.Int64).Load()
}

// Handler returns the instance's HTTP handler.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(HealthPath, s.health)
	router.Handle("/*", http.HandlerFunc(s.serveRequest))
	return router
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// countRun counts the start of a request and returns the value for RunsHeader.
func (s *Service) countRun(key string) int64 {
	total := s.total.Add(1)
	if key == "" {
		return total
	}
	counter, _ := s.keys.LoadOrStore(key, &atomic.Int64{})
	return counter.(*atomic.Int64).Add(1)
}

func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	runs := s.countRun(r.Header.Get("Idempotency-Key"))
	w.Header().Set(RunsHeader, strconv.FormatInt(runs, 10))
	query := r.URL.Query()
	if !waitDelay(r, query.Get("delay")) {
		return
	}
	if status, err := strconv.Atoi(query.Get("fail")); err == nil && status >= 400 && status <= 599 {
		w.WriteHeader(status)
		return
	}
	if size, err := strconv.ParseInt(query.Get("size"), 10, 64); err == nil && size >= 0 {
		writeBytes(w, size)
		return
	}
	echoBody(w, r)
}

// waitDelay blocks for the requested delay, at most maxDelay. It returns false if the
// caller disconnected meanwhile.
func waitDelay(r *http.Request, requested string) bool {
	delay, err := time.ParseDuration(requested)
	if err != nil || delay <= 0 {
		return true
	}
	timer := time.NewTimer(min(delay, maxDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeBytes responds with size bytes of a fixed pattern.
func writeBytes(w http.ResponseWriter, size int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	chunk := make([]byte, chunkSize)
	for i := range chunk {
		chunk[i] = byte('a' + i%26)
	}
	for size > 0 {
		n, err := w.Write(chunk[:min(size, chunkSize)])
		if err != nil {
			return
		}
		size -= int64(n)
	}
}

func echoBody(w http.ResponseWriter, r *http.Request) {
	if kind := r.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	// Without full duplex, net/http reads the entire request body before it sends
	// the response.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}
