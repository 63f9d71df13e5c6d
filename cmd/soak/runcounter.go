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

// runCounter is the handler of all upstreams. It counts the runs of each request
// by the name that the load generator assigned to it. The upstreams are part of
// this process and no fault is injected into them, so their counts are the
// reference for every check.
type runCounter struct {
	runs sync.Map // request name (string) to *atomic.Int64
}

// recordStart counts one more run of the request and returns the new count.
func (r *runCounter) recordStart(name string) int64 {
	counter, _ := r.runs.LoadOrStore(name, &atomic.Int64{})
	return counter.(*atomic.Int64).Add(1)
}

// Runs returns the number of runs of the request that were started.
func (r *runCounter) Runs(name string) int64 {
	counter, ok := r.runs.Load(name)
	if !ok {
		return 0
	}
	return counter.(*atomic.Int64).Load()
}

// ServeHTTP echoes the body as the sample service does, after the delay that the
// query parameter "delay" gives.
func (r *runCounter) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == echo.HealthPath {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	runs := r.recordStart(request.Header.Get(loadtest.HeaderRequestName))
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
