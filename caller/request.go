// Package caller is about those who send requests to services: what a request
// is, whether it may be repeated, how long it may take, and what it is told.
//
// The package is pure. The sub-package httpapi is the HTTP server for callers.
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
	// Path is what follows the service's name, with the query.
	Path   string
	Header []carobkeel.Field
	// BodyLength is the length of the body in bytes, -1 where it is not known.
	BodyLength int64
	// Content is the whole body where Body is nil.
	Content []byte
	// Body streams a body too large to be held. It can be read once.
	Body io.Reader
	// Key is the idempotency key, empty where there is none.
	Key string
	// Digest is the sum of method, path and body of a keyed request.
	Digest carobkeel.Digest
	// Idempotent says that running the request twice is harmless.
	Idempotent bool
	// Share bounds what the request's owner and class has of an upstream.
	Share carobkeel.ShareLimits
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// OwnerClass returns the owner and class that the request counts to.
func (r *Request) OwnerClass() carobkeel.OwnerClass {
	return carobkeel.OwnerClass{Owner: r.Owner, Class: r.Class}
}

// Repeatable reports whether the request can be sent a second time: its body is
// still there.
func (r *Request) Repeatable() bool { return r.Body == nil }

// Answer is what an upstream answered.
type Answer struct {
	Status int
	Header []carobkeel.Field
	// BodyLength is the length of the body in bytes, -1 where it is not known.
	BodyLength int64
	// Waited is how long the request waited for a slot at its sidecar.
	Waited time.Duration
	// Body yields the answer's body. It ends with an error, not with io.EOF,
	// where the answer is not whole. It must be closed.
	Body io.ReadCloser
}

var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}

// IsIdempotent reports whether a request with the method to the entry's service
// may run twice. The entry's own lists go before the method's definition.
func IsIdempotent(entry *carobkeel.Entry, method string) bool {
	if slices.Contains(entry.NonIdempotentMethods, method) {
		return false
	}
	if slices.Contains(entry.IdempotentMethods, method) {
		return true
	}
	return slices.Contains(idempotentMethods, method)
}

// Timeout returns how long a request may take: what the caller asks for, and
// the entry's limit where it asks for nothing or for more.
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
