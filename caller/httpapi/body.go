package httpapi

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/caller/intake/httpintake"
)

// readBody sets the request's body. Short bodies, and those of requests with an
// idempotency key, are buffered so that they can be sent again and compared.
func readBody(out *caller.Request, w http.ResponseWriter, r *http.Request, limit int64) *carobkeel.Error {
	out.BodyLength = r.ContentLength
	if limit > 0 && r.ContentLength > limit {
		return tooLarge(limit)
	}
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(nil, body, limit)
	}
	buffered := r.ContentLength >= 0 && r.ContentLength <= maxBufferedBody
	if !buffered && out.Key == "" {
		out.Body = body
		return nil
	}
	if r.ContentLength != 0 {
		content, err := httpintake.ReadFrom(w, r, body, time.Time{})
		if err != nil {
			return bodyFailure(err, limit)
		}
		out.Content = content.Bytes()
	}
	out.BodyLength = int64(len(out.Content))
	if out.Key != "" {
		out.Digest = digest(out)
	}
	return nil
}

func bodyFailure(err error, limit int64) *carobkeel.Error {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return tooLarge(limit)
	}
	if refusal := httpintake.Refusal(err); refusal != nil {
		return refusal
	}
	return carobkeel.NewError(carobkeel.CodeInvalidRequest, "the body could not be read: %v", err)
}

const (
	// discardBytes is the maximum number of bytes to read of a refused request's
	// body.
	discardBytes = 512 << 10
	// discardTime is the time limit for reading them.
	discardTime = 500 * time.Millisecond
)

// discardBody reads the rest of a refused request's body, within limits. Closing a
// connection with unread bytes resets it, and the caller may then not get the
// refusal.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	httpintake.Discard(w, r, discardBytes, time.Now().Add(discardTime))
}

func tooLarge(limit int64) *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeBodyTooLarge, "the service takes at most %d bytes", limit)
}

// digest returns the SHA-256 sum of the method, path and body. Two requests with the
// same idempotency key count as the same request if their digests are equal.
func digest(r *caller.Request) carobkeel.Digest {
	sum := sha256.New()
	_, _ = io.WriteString(sum, r.Method+" "+r.Path+"\n")
	_, _ = sum.Write(r.Content)
	var out carobkeel.Digest
	sum.Sum(out[:0])
	return out
}
