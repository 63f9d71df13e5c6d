// Package client is the client of the operators' HTTP interface.
//
// Every change has an id, so that it can be repeated safely after a lost
// response: by the client through another address of the interface, or later by
// the operator.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	callerapi "github.com/carobkeel/carobkeel/caller/httpapi"
	"github.com/carobkeel/carobkeel/operator/httpapi"
	"github.com/carobkeel/carobkeel/operator/store"
)

const (
	// DefaultTimeout is the time limit of one HTTP request.
	DefaultTimeout = 15 * time.Second
	// attemptsPerAddress is how often each address is tried.
	attemptsPerAddress = 3
	// maxResponseBytes is the largest response body that is read, in bytes.
	maxResponseBytes = 64 << 20
)

// Config is the configuration of a Client. Only Addresses is required.
type Config struct {
	// Addresses holds the IP addresses and ports of the operators' listeners.
	Addresses []string
	// Operator is the name that the history records for changes.
	Operator string
	// HTTP sends the requests; nil means a client with DefaultTimeout.
	HTTP *http.Client
	// Wait pauses before a repeat; nil means store.Backoff.
	Wait store.Wait
}

// Client sends requests to the operators' interface.
type Client struct {
	addresses []string
	operator  string
	http      *http.Client
	wait      store.Wait
}

func New(c Config) *Client {
	client := &Client{addresses: c.Addresses, operator: c.Operator, http: c.HTTP, wait: c.Wait}
	if client.http == nil {
		client.http = &http.Client{Timeout: DefaultTimeout}
	}
	if client.wait == nil {
		client.wait = store.Backoff
	}
	return client
}

// request is a request that is sent to each address in turn.
type request struct {
	method, path string
	body         []byte
	match        string
	// id makes a change safe to repeat. It is empty for reads.
	id string
}

func (r request) isRead() bool { return r.id == "" }

// response is a successful response.
type response struct {
	data   []byte
	header http.Header
}

// decode unmarshals the JSON body.
func (r response) decode(into any) error {
	return errors.Wrap(json.Unmarshal(r.data, into), "decode the response")
}

// NewID returns a random id for a change.
func NewID() string { return uuid.NewString() }

// do sends the request to the addresses in turn until it succeeds or fails with
// a final error.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	var last error
	for attempt := range attemptsPerAddress * len(c.addresses) {
		result, err := c.send(ctx, c.addresses[attempt%len(c.addresses)], r)
		if err == nil || isFinal(err) {
			return result, err
		}
		last = err
		if c.wait(ctx, attempt) != nil {
			break
		}
	}
	return response{}, c.unresolvedError(r, last)
}

// unresolvedError returns the error for a request to which no address gave a
// final response. A change whose last attempt got no result code may have been
// applied.
func (c *Client) unresolvedError(r request, last error) error {
	var coded *carobkeel.Error
	if errors.As(last, &coded) || r.isRead() {
		return last
	}
	return carobkeel.NewError(carobkeel.CodeEditUnsettled,
		"no answer came (%v); send it again under the id %q", last, r.id)
}

func (c *Client) send(ctx context.Context, address string, r request) (response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	httpRequest.Header.Set(httpapi.OperatorHeader, c.operator)
	if r.match != "" {
		httpRequest.Header.Set("If-Match", r.match)
	}
	if r.id != "" {
		httpRequest.Header.Set(callerapi.KeyHeader, r.id)
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	if httpResponse.StatusCode >= http.StatusMultipleChoices {
		return response{}, asError(address, httpResponse.StatusCode, data)
	}
	return response{data: data, header: httpResponse.Header}, nil
}

// asError returns the error from a problem document.
func asError(address string, status int, data []byte) error {
	var problem httpapi.Problem
	if err := json.Unmarshal(data, &problem); err != nil || problem.Code == 0 {
		return &unexpectedResponseError{address: address, status: status}
	}
	if len(problem.Problems) > 0 {
		return problem.Problems
	}
	e := carobkeel.NewError(carobkeel.Code(problem.Code), "%s", problem.Detail)
	switch problem.Ran {
	case carobkeel.RanNo.String():
		return e.WithRan(carobkeel.RanNo)
	case carobkeel.RanYes.String():
		return e.WithRan(carobkeel.RanYes)
	default:
		return e.WithRan(carobkeel.RanUnknown)
	}
}

// isFinal reports whether repeating the request would give the same error.
func isFinal(err error) bool {
	var coded *carobkeel.Error
	if errors.As(err, &coded) {
		return coded.Code != carobkeel.CodeEditUnsettled && !coded.Code.Info().Retryable
	}
	var unexpected *unexpectedResponseError
	if errors.As(err, &unexpected) {
		return unexpected.status < http.StatusInternalServerError
	}
	return isProblems(err)
}
