// Package client sends requests to the service instance beside a sidecar over
// HTTP, and asks it for its health.
package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/upstream"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
	idleConns   = 1024
)

// Client talks to one upstream.
type Client struct {
	base      string
	health    string
	transport *http.Transport
}

// New returns a client of the upstream at the address, an IP number and a port.
// healthPath is where the upstream tells of its health.
func New(address, healthPath string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		base:   "http://" + address,
		health: healthPath,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        idleConns,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Do sends the request to the upstream. Every error is a *carobkeel.Error.
func (c *Client) Do(ctx context.Context, r *caller.Request) (*caller.Answer, error) {
	request, err := c.request(ctx, r)
	if err != nil {
		return nil, carobkeel.NewError(carobkeel.CodeInvalidRequest, "%v", err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, failure(ctx, err)
	}
	return &caller.Answer{
		Status:     response.StatusCode,
		Header:     fieldsOf(response.Header),
		BodyLength: bodyLength(r.Method, response),
		Body:       response.Body,
	}, nil
}

// bodyLength returns how long the answer's body is, which its header does not
// say where an answer has none by its definition.
func bodyLength(method string, response *http.Response) int64 {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified {
		return 0
	}
	return response.ContentLength
}

func (c *Client) request(ctx context.Context, r *caller.Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bodyOf(r))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// The transport repeats a request whose body it can get again. Whether a
	// request may be repeated is decided elsewhere.
	request.GetBody = nil
	request.ContentLength = r.BodyLength
	for _, field := range r.Header {
		if http.CanonicalHeaderKey(field.Name) == "Host" {
			request.Host = field.Value
			continue
		}
		request.Header.Add(field.Name, field.Value)
	}
	return request, nil
}

func bodyOf(r *caller.Request) io.Reader {
	if r.Body != nil {
		return r.Body
	}
	if len(r.Content) == 0 && r.Idempotent {
		return nil
	}
	return heldBody{bytes.NewReader(r.Content)}
}

// heldBody is a body of a type that the transport does not know, so that it
// can't read it a second time to repeat the request.
type heldBody struct{ *bytes.Reader }

// failure says what an error of the transport means for the request. Only one
// that was never sent has surely not run.
func failure(ctx context.Context, err error) *carobkeel.Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return carobkeel.NewError(carobkeel.CodeUpstreamUnreachable, "%v", err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return carobkeel.NewError(carobkeel.CodeTimeoutUnknown, "the time ran out with the request at the upstream")
	}
	return carobkeel.NewError(carobkeel.CodeUpstreamFailed, "%v", err)
}

func fieldsOf(header http.Header) []carobkeel.Field {
	fields := make([]carobkeel.Field, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, carobkeel.Field{Name: name, Value: value})
		}
	}
	return fields
}

// Probe asks the upstream for its health: 200 to 299 means that it serves, 503
// that it drains.
func (c *Client) Probe(ctx context.Context) upstream.Probe {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+c.health, nil)
	if err != nil {
		return upstream.ProbeFailed
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return upstream.ProbeFailed
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, probeBodyBytes))
	_ = response.Body.Close()
	switch {
	case response.StatusCode >= 200 && response.StatusCode < 300:
		return upstream.ProbeOK
	case response.StatusCode == http.StatusServiceUnavailable:
		return upstream.ProbeDraining
	}
	return upstream.ProbeFailed
}

// probeBodyBytes is how much of a probe's answer is read, so that its
// connection can be used again.
const probeBodyBytes = 4 << 10
