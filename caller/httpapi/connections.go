package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// CloseConnections returns a handler whose answers close their connection while
// keeps returns false, so that callers connect to another entry before this one
// shuts down. If the server closed idle connections instead, it could do so while a
// caller sends a request, and the caller could not tell whether the request has run.
func CloseConnections(next http.Handler, keeps func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !keeps() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ConnectionCounter counts the open connections of a server whose ConnState callback is
// Note.
type ConnectionCounter struct {
	open atomic.Int64
	// none receives a value when the last connection is closed.
	none chan struct{}
}

func NewConnections() *ConnectionCounter { return &ConnectionCounter{none: make(chan struct{}, 1)} }

// Open returns the number of open connections.
func (c *ConnectionCounter) Open() int64 { return c.open.Load() }

// OnStateChange updates the count when a connection opens or closes.
func (c *ConnectionCounter) OnStateChange(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		if c.open.Add(-1) > 0 {
			return
		}
		select {
		case c.none <- struct{}{}:
		default:
		}
	}
}

// WaitClosed blocks until no connection is open or ctx ends. Only one goroutine may
// call it, after the server has stopped accepting connections.
func (c *ConnectionCounter) WaitClosed(ctx context.Context) {
	for c.Open() > 0 {
		select {
		case <-c.none:
		case <-ctx.Done():
			return
		}
	}
}
