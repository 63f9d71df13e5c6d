package main

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel/entry/loadtest"
	"github.com/carobkeel/carobkeel/upstream/echo"
)

// records is what all upstreams together have started, by the name that the
// load tool gave each request. The upstreams live in this process, so that no
// fault touches them and their records are the truth.
type records struct {
	runs sync.Map // of string to *atomic.Int64
}

// start notes that a request begins and returns how often it has.
func (r *records) start(name string) int64 {
	counter, _ := r.runs.LoadOrStore(name, &atomic.Int64{})
	return counter.(*atomic.Int64).Add(1)
}

// Runs returns how often the request was started.
func (r *records) Runs(name string) int64 {
	counter, ok := r.runs.Load(name)
	if !ok {
		return 0
	}
	return counter.(*atomic.Int64).Load()
}

// ServeHTTP answers as the sample service does, after a delay from the query.
func (r *records) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == echo.HealthPath {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	runs := r.start(request.Header.Get(loadtest.HeaderRequestName))
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if delay, err := time.ParseDuration(request.URL.Query().Get("delay")); err == nil {
		timer := time.NewTimer(delay)
		<-timer.C
	}
	w.Header().Set(echo.RunsHeader, strconv.FormatInt(runs, 10))
	_, _ = w.Write(body)
}
