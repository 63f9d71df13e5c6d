// Package client is the HTTP client of the service instance that a sidecar runs
// beside. It forwards requests and probes the instance's health.
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

// Client is the HTTP client of one upstream.
type Client struct {
	base      string
	health    string
	transport *http.Transport
}

// New returns a client of the upstream at the address, an IP address and a port.
// healthPath is the path of the upstream's health check.
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
		return nil, transportError(ctx, err)
	}
	return &caller.Answer{
		Status:     response.StatusCode,
		Header:     fieldsOf(response.Header),
		BodyLength: bodyLength(r.Method, response),
		Body:       response.Body,
	}, nil
}

// bodyLength returns the length of the response body, -1 if it is unknown. A
// response to HEAD and a response with status 204 or 304 has no body, whatever its
// Content-Length.
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
	// The transport retries a request if GetBody gives it the body again. Whether
	// a request may be retried is not for the transport to decide.
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
	return singleReadBody{bytes.NewReader(r.Content)}
}

// singleReadBody hides the type of its reader from http.NewRequest. For a type that
// it knows, NewRequest sets GetBody, and NoBody if the body is empty; the transport
// could then send the body a second time to retry the request.
type singleReadBody struct{ *bytes.Reader }

// transportError classifies an error of the transport by whether the upstream may
// have run the request. Only if the connection could not be established is it
// certain that the request did not run.
func transportError(ctx context.Context, err error) *carobkeel.Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return carobkeel.NewError(carobkeel.CodeUpstreamUnreachable, "%v", err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return carobkeel.NewError(carobkeel.CodeTimeoutUnknown, "the time ran out with the request at the upstream")
	}
	return carobkeel.NewError(carobkeel.CodeUpstreamFailed, "%v", err)
}

func fieldsOf(header http.Header) []carobkeel.HeaderField {
	fields := make([]carobkeel.HeaderField, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, carobkeel.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// Probe sends a health check to the upstream. A status from 200 to 299 means that
// it is serving, 503 that it is draining, and any other status that the probe
// failed.
func (c *Client) Probe(ctx context.Context) upstream.ProbeResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+c.health, nil)
	if err != nil {
		return upstream.ProbeFailed
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return upstream.ProbeFailed
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBodyBytes))
	_ = response.Body.Close()
	switch {
	case response.StatusCode >= 200 && response.StatusCode < 300:
		return upstream.ProbeOK
	case response.StatusCode == http.StatusServiceUnavailable:
		return upstream.ProbeDraining
	}
	return upstream.ProbeFailed
}

// maxProbeBodyBytes bounds how much of a health check's response body is read. The
// body is read so that the connection can be reused.
const maxProbeBodyBytes = 4 << 10
