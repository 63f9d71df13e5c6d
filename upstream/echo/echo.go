// Package echo is the sample service: it answers with the body of the request.
// It also records what it has run, so that a test can hold what callers were
// told against it.
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

// HealthPath is where the service tells of its health.
const HealthPath = "/healthz"

// RunsHeader says how many requests with the same Idempotency-Key this instance
// has started, or how many in all where there is no key.
const RunsHeader = "Upstream-Runs"

const (
	maxDelay  = time.Minute
	pieceSize = 32 << 10
)

// Service is one instance of the sample service.
type Service struct {
	draining atomic.Bool
	total    atomic.Int64
	keys     sync.Map // of string to *atomic.Int64
}

// New returns an instance that serves.
func New() *Service { return &Service{} }

// Drain makes the health path say that the instance is shutting down.
func (s *Service) Drain() { s.draining.Store(true) }

// Total returns how many requests the instance has started.
func (s *Service) Total() int64 { return s.total.Load() }

// Runs returns how many requests with the key the instance has started.
func (s *Service) Runs(key string) int64 {
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
	router.Handle("/*", http.HandlerFunc(s.answer))
	return router
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// count notes the start of a request and returns the number to report.
func (s *Service) count(key string) int64 {
	total := s.total.Add(1)
	if key == "" {
		return total
	}
	counter, _ := s.keys.LoadOrStore(key, &atomic.Int64{})
	return counter.(*atomic.Int64).Add(1)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request) {
	runs := s.count(r.Header.Get("Idempotency-Key"))
	w.Header().Set(RunsHeader, strconv.FormatInt(runs, 10))
	query := r.URL.Query()
	if !wait(r, query.Get("delay")) {
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

// wait parks for the asked delay. It returns false where the caller went away.
func wait(r *http.Request, asked string) bool {
	delay, err := time.ParseDuration(asked)
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

// writeBytes answers size bytes of a fixed pattern.
func writeBytes(w http.ResponseWriter, size int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	piece := make([]byte, pieceSize)
	for i := range piece {
		piece[i] = byte('a' + i%26)
	}
	for size > 0 {
		n, err := w.Write(piece[:min(size, pieceSize)])
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
	// Without this the server reads the whole body before it answers.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}
