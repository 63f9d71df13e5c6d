package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// lossyStore is a store of which chosen writes get no answer and are carried out late, if their
// conditions still hold then.
type lossyStore struct {
	inner  http.Handler
	record *record

	mu sync.Mutex
	// mark is a text that chosen writes contain, nil for none, and delay how much later they are
	// carried out.
	mark  []byte
	delay time.Duration
}

// lose chooses the writes that contain a text.
func (s *lossyStore) lose(text string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mark, s.delay = []byte(text), delay
}

// answerAll ends the loss of answers.
func (s *lossyStore) answerAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mark = nil
}

// delayOf returns how much later a call with a body is carried out, zero for at once.
func (s *lossyStore) delayOf(body []byte) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mark == nil || !bytes.Contains(body, s.mark) {
		return 0
	}
	return s.delay
}

// ServeHTTP implements http.Handler.
func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	delay := s.delayOf(body)
	if r.Method != http.MethodPost || delay == 0 { // only writes are posted
		s.inner.ServeHTTP(w, r)
		return
	}
	s.record.note("store", "leaves a write unanswered, to be carried out in %v", delay)
	late := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
	time.AfterFunc(delay, func() {
		answer := httptest.NewRecorder()
		s.inner.ServeHTTP(answer, late)
		s.record.note("store", "carries the write out, status %d", answer.Code)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
