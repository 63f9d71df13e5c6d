package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// CloseConnections returns a handler whose answers end their connection while
// keeps returns false, so that callers go to another entry before this one shuts
// down. A server that closes idle connections by itself may do so while a caller
// sends on one, and the caller can't tell whether the request has run.
func CloseConnections(next http.Handler, keeps func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !keeps() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Connections counts the open connections of a server. Its Note is the server's
// ConnState.
type Connections struct {
	open atomic.Int64
	// none holds a token after the last connection was closed.
	none chan struct{}
}

// NewConnections returns a count of none.
func NewConnections() *Connections { return &Connections{none: make(chan struct{}, 1)} }

// Open returns how many connections are open.
func (c *Connections) Open() int64 { return c.open.Load() }

// Note counts a connection that opens or closes.
func (c *Connections) Note(_ net.Conn, state http.ConnState) {
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

// Wait parks until no connection is open or ctx ends. It is meant for one
// goroutine, after the server has stopped to take connections.
func (c *Connections) Wait(ctx context.Context) {
	for c.Open() > 0 {
		select {
		case <-c.none:
		case <-ctx.Done():
			return
		}
	}
}
