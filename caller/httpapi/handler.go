// Package httpapi is the HTTP server for callers: it reads their requests, passes
// them to a forwarder and writes the answers.
package httpapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

// Forwarder sends requests to upstreams.
type Forwarder interface {
	// Forward returns the upstream's answer. Every error is a
	// *carobkeel.Error.
	Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error)
}

// CatalogueSource provides the current catalogue.
type CatalogueSource interface {
	Catalogue() *carobkeel.Catalogue
}

// Admission reports whether the entry accepts new requests.
type Admission interface {
	AcceptsRequests() bool
}

// maxBufferedBody is the length in bytes of the longest body that is buffered for a
// request without an idempotency key. A longer body is streamed and can be sent only
// once.
const maxBufferedBody = 64 << 10

// Handler serves callers' requests.
type Handler struct {
	self       carobkeel.Incarnation
	sequence   atomic.Uint64
	catalogues CatalogueSource
	forwarder  Forwarder
	admission  Admission
	metrics    *Metrics
}

// New returns a handler whose request ids contain the entry's incarnation.
func New(self carobkeel.Incarnation, c CatalogueSource, f Forwarder, a Admission, m *Metrics) *Handler {
	return &Handler{self: self, catalogues: c, forwarder: f, admission: a, metrics: m}
}

// servicesPrefix is the path prefix of requests to services.
const servicesPrefix = "/services/"

// Wrap returns a handler that serves the requests to services and passes all others
// to next. It compares only the path prefix, because a router would allocate a
// context for each request.
func (h *Handler) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, servicesPrefix) {
			h.serve(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	request, refusal := h.readRequest(w, r, started)
	// The id is assigned after the body has been read. Sidecars don't start a
	// request whose id is at or below that of an evicted record, which could
	// happen to an id assigned before a slow upload.
	request.ID = carobkeel.RequestID{Entry: h.self, Sequence: h.sequence.Add(1)}
	if refusal != nil {
		if isLimit(refusal) {
			w.Header().Set("Connection", "close")
		} else {
			discardBody(w, r)
		}
		h.refuse(w, request, refusal, started)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	answer, err := h.forwarder.Forward(ctx, request)
	if err != nil {
		h.refuse(w, request, carobkeel.AsError(err), started)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	writeAnswer(w, request, answer)
	h.metrics.answered(request.Owner, request.Class, carobkeel.CodeOK, time.Since(started))
}

// isLimit reports whether a refusal is for a limit on clients, whose body is not waited for.
func isLimit(refusal *carobkeel.Error) bool {
	return refusal.Code == carobkeel.CodeClientsLimited || refusal.Code == carobkeel.CodeTimeoutNotRun
}

func (h *Handler) refuse(w http.ResponseWriter, r *caller.Request, e *carobkeel.Error, started time.Time) {
	h.metrics.answered(r.Owner, r.Class, e.Code, time.Since(started))
	WriteProblem(w, r.ID, e)
}

// writeAnswer sends the answer to the caller. If the answer is truncated, it aborts
// the connection so that the caller does not take the answer for complete.
func writeAnswer(w http.ResponseWriter, r *caller.Request, answer *caller.Answer) {
	writeFields(w, answer.Header)
	header := w.Header()
	header.Set(RequestIDHeader, r.ID.String())
	header.Set(ResultHeader, "0")
	if _, set := header["Content-Length"]; !set && answer.BodyLength >= 0 && bodyAllowed(answer.Status) {
		header.Set("Content-Length", strconv.FormatInt(answer.BodyLength, 10))
	}
	if r.Body != nil {
		// The upstream may answer before it has read the complete body.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	w.WriteHeader(answer.Status)
	if _, err := io.Copy(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// readRequest converts the caller's HTTP request. Even with a refusal it returns a
// request, which may be incomplete.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*caller.Request, *carobkeel.Error) {
	name, path := splitPath(r)
	out := &caller.Request{Service: carobkeel.Service(name), Method: r.Method, Path: path}
	if !h.admission.AcceptsRequests() {
		return out, carobkeel.NewError(carobkeel.CodeDraining, "this entry takes no requests now")
	}
	entry, ok := h.catalogues.Catalogue().Lookup(string(out.Service))
	if !ok || entry.Class != carobkeel.ClassLatencyCritical {
		return out, carobkeel.NewError(carobkeel.CodeUnknownService, "the catalogue has no service %q", out.Service)
	}
	out.Owner = entry.Owner
	out.Class = entry.Class
	out.Share = entry.Limits.ShareLimits()
	out.Idempotent = caller.IsIdempotent(entry, r.Method)
	requested, refusal := requestedTimeout(r)
	if refusal != nil {
		return out, refusal
	}
	out.Deadline = now.Add(caller.Timeout(entry, requested))
	out.Header = requestFields(r)
	out.Key = r.Header.Get(KeyHeader)
	return out, readBody(out, w, r, entry.Limits.BodyBytes)
}

// splitPath returns the service's name, and the path below it with the query, both
// escaped as the caller sent them.
func splitPath(r *http.Request) (name, path string) {
	name = strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	path = "/"
	if slash := strings.IndexByte(name, '/'); slash >= 0 {
		name, path = name[:slash], name[slash:]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return name, path
}

func requestedTimeout(r *http.Request) (time.Duration, *carobkeel.Error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return 0, nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return 0, carobkeel.NewError(carobkeel.CodeInvalidRequest, "%s %q is not a duration such as 800ms", TimeoutHeader, text)
	}
	return requested, nil
}
