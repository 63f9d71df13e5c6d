package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/platform/standin"
)

// listingCall ends the path of calls for a listing, which may extend the lease, and startCall that
// of calls that start a run.
const (
	listingCall = "/hold"
	startCall   = "-start"
)

// lateWorker is a worker that can leave one call unanswered and carry it out seconds later.
type lateWorker struct {
	worker *standin.Worker
	inner  http.Handler
	record *record
	name   string
	// down reports that nothing listens at the worker's address.
	down atomic.Bool

	mu sync.Mutex
	// wanted is closed once a call with the path's end and the text was left unanswered, nil if
	// none is to be.
	wanted     chan struct{}
	path, text string
	late       *lateCall
}

// lateCall is a call without an answer.
type lateCall struct {
	method, path string
	header       http.Header
	body         []byte
	receivedAt   time.Time
}

func newLateWorker(config standin.WorkerConfig, r *record) *lateWorker {
	w := standin.NewWorker(config, r, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	return &lateWorker{worker: w, inner: w.Handler(), record: r, name: config.Name}
}

// leaveUnanswered leaves the next call unanswered that extends the lease, whose path has an end and
// whose body has a text. The channel is closed when that was done.
func (w *lateWorker) leaveUnanswered(path, text string) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wanted, w.path, w.text = make(chan struct{}), path, text
	return w.wanted
}

// takes reports whether a call is the one to be left unanswered, and keeps it.
func (w *lateWorker) takes(r *http.Request, body []byte) bool {
	var call struct {
		Deadline int64 `json:"deadline_ms"`
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wanted == nil || !strings.HasSuffix(r.URL.Path, w.path) || !bytes.Contains(body, []byte(w.text)) {
		return false
	}
	if json.Unmarshal(body, &call) != nil || call.Deadline == 0 {
		return false
	}
	w.late = &lateCall{method: r.Method, path: r.URL.String(), header: r.Header.Clone(), body: body, receivedAt: time.Now()}
	close(w.wanted)
	w.wanted = nil
	w.record.note(w.name, "leaves a call unanswered: %s", body)
	return true
}

// ServeHTTP implements http.Handler.
func (w *lateWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || w.down.Load() {
		panic(http.ErrAbortHandler)
	}
	if w.takes(r, body) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.inner.ServeHTTP(rw, r)
}

// crash ends the worker with all that it runs.
func (w *lateWorker) crash() {
	w.down.Store(true)
	w.worker.Crash()
}

// carryOutTime is how long a worker takes for a call that does not wait for an end.
const carryOutTime = 5 * time.Millisecond

// restart begins the worker again under its ID. The late call is carried out as it begins.
func (w *lateWorker) restart() {
	go w.worker.Restart()
	if w.late != nil {
		go func() {
			for !w.carryOut(w.late) {
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(carryOutTime)
	}
	w.down.Store(false)
}

// carryOut carries a call out, and returns false while the worker is down.
func (w *lateWorker) carryOut(c *lateCall) (done bool) {
	defer func() {
		if recover() != nil {
			done = false
		}
	}()
	r := httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body))
	r.Header = c.header
	answer := httptest.NewRecorder()
	w.inner.ServeHTTP(answer, r)
	w.record.note(w.name, "carries the call out after %.1f s, status %d: %s", time.Since(c.receivedAt).Seconds(), answer.Code, bytes.TrimSpace(answer.Body.Bytes()))
	return true
}
