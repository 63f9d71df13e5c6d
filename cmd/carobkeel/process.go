package main

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/settings"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a connection may have no request. It may have gone silent, and
	// each takes a file descriptor.
	idleTimeout = 5 * time.Minute
)

// newIncarnation returns a random identifier for this start of the process.
func newIncarnation() carobkeel.Incarnation {
	id := uuid.New()
	return carobkeel.Incarnation(binary.BigEndian.Uint64(id[8:]))
}

// listen opens a TCP listener. The address is an IP number and a port.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// checkAddress returns a problem where text is not an IP number and a port.
func checkAddress(name, text string) []settings.Problem {
	host, _, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return []settings.Problem{{Name: name, Reason: "want an IP number and a port such as 127.0.0.1:7000, have \"" + text + "\""}}
	}
	return nil
}

// checkAddresses checks a comma-separated list.
func checkAddresses(name, text string) []settings.Problem {
	var problems []settings.Problem
	for _, address := range splitList(text) {
		problems = append(problems, checkAddress(name, address)...)
	}
	return problems
}

// splitList splits a comma-separated list and drops empty parts.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// newHTTPServer returns a server with the limits common to all listeners of
// the binary.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serveHTTP serves until the server is shut down or its listener is closed.
func serveHTTP(server *http.Server, listener net.Listener, logger *log.Logger) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		logger.Error().Err(err).Msg("HTTP server failed")
	}
}

// mountPprof adds the profiler's routes.
func mountPprof(router chi.Router) {
	router.HandleFunc("/debug/pprof/*", pprof.Index)
	router.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	router.HandleFunc("/debug/pprof/trace", pprof.Trace)
}

// runRouter starts a Watermill router with the handlers that add registers. It
// returns once the router is running.
func runRouter(ctx context.Context, logger *log.Logger, add func(*message.Router)) error {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return errors.WithStack(err)
	}
	router.AddMiddleware(middleware.Recoverer)
	add(router)
	go func() {
		if err := router.Run(ctx); err != nil {
			logger.Error().Err(err).Msg("event router failed")
		}
	}()
	<-router.Running()
	return nil
}
