// Package caller contains the rules for callers' requests to services: admission,
// idempotency, retries and hedges, time limits, and the result that the caller gets.
//
// The package does no I/O. The sub-package httpapi is the HTTP server for callers.
package caller

import (
	"io"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// Request is one request of a caller to a service.
type Request struct {
	ID      carobkeel.RequestID
	Service carobkeel.Service
	Owner   carobkeel.Owner
	Class   carobkeel.Class
	Method  string
	// Path is the part of the URL after the service's name, with the query.
	Path   string
	Header []carobkeel.HeaderField
	// BodyLength is the length of the body in bytes, -1 if it is not known.
	BodyLength int64
	// Content is the complete body if Body is nil.
	Content []byte
	// Body streams a body that is too large to be buffered. It can be read only
	// once.
	Body io.Reader
	// Key is the idempotency key, empty if there is none.
	Key string
	// Digest is the SHA-256 sum of the method, path and body, set only for a
	// request with an idempotency key.
	Digest carobkeel.Digest
	// Idempotent reports that the request may run more than once without harm.
	Idempotent bool
	// Share limits the share of an upstream that the request's owner and class may
	// use.
	Share carobkeel.ShareLimits
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
}

// OwnerClass returns the owner and class that the request is accounted to.
func (r *Request) OwnerClass() carobkeel.OwnerClass {
	return carobkeel.OwnerClass{Owner: r.Owner, Class: r.Class}
}

// CanResend reports whether the request can be sent again, which requires that its
// body is buffered.
func (r *Request) CanResend() bool { return r.Body == nil }

// Answer is the answer of an upstream.
type Answer struct {
	Status int
	Header []carobkeel.HeaderField
	// BodyLength is the length of the body in bytes, -1 if it is not known.
	BodyLength int64
	// QueueWait is how long the request waited for a slot at its sidecar.
	QueueWait time.Duration
	// Body streams the answer's body. If the answer is truncated, it ends with an
	// error instead of io.EOF. It must be closed.
	Body io.ReadCloser
}

var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}

// IsIdempotent reports whether a request with the method to the entry's service
// may run more than once. The entry's own lists take precedence over the definition
// of the method in HTTP.
func IsIdempotent(entry *carobkeel.Entry, method string) bool {
	if slices.Contains(entry.NonIdempotentMethods, method) {
		return false
	}
	if slices.Contains(entry.IdempotentMethods, method) {
		return true
	}
	return slices.Contains(idempotentMethods, method)
}

// Timeout returns the time limit of a request: the time that the caller asks for,
// or the entry's limit if the caller asks for none or for more.
func Timeout(entry *carobkeel.Entry, asked time.Duration) time.Duration {
	limit := entry.Limits.Timeout
	if asked <= 0 {
		return limit
	}
	if limit <= 0 {
		return asked
	}
	return min(asked, limit)
}
