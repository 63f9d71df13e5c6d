// Package client is the client of the operators' HTTP interface.
//
// A change carries an id, so that it is repeated safely when an answer is lost:
// through another address of the interface, or by the operator later.
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
	// DefaultTimeout bounds one exchange.
	DefaultTimeout = 15 * time.Second
	// rounds is how often each address is asked.
	rounds = 3
	// maxAnswerBytes is the largest answer that is read.
	maxAnswerBytes = 64 << 20
)

// Config is what a Client needs. Only Addresses is required.
type Config struct {
	// Addresses are IP numbers and ports of the operators' listeners.
	Addresses []string
	// Operator names who makes changes.
	Operator string
	// HTTP makes the exchanges; nil is a client with DefaultTimeout.
	HTTP *http.Client
	// Wait pauses before a repeat; nil is store.Backoff.
	Wait store.Wait
}

// Client asks the operators' interface.
type Client struct {
	addresses []string
	operator  string
	http      *http.Client
	wait      store.Wait
}

// New returns a client.
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

// request is one request, as it is sent to each address in turn.
type request struct {
	method, path string
	body         []byte
	match        string
	// id makes a change safe to repeat; empty for reads.
	id string
}

func (r request) isRead() bool { return r.id == "" }

// answer is a successful answer.
type answer struct {
	data   []byte
	header http.Header
}

// decode reads the answer's JSON.
func (a answer) decode(into any) error {
	return errors.Wrap(json.Unmarshal(a.data, into), "the answer can't be read")
}

// NewID returns an id for a change.
func NewID() string { return uuid.NewString() }

// do sends the request until an address answers with something final.
func (c *Client) do(ctx context.Context, r request) (answer, error) {
	var last error
	for attempt := range rounds * len(c.addresses) {
		result, err := c.send(ctx, c.addresses[attempt%len(c.addresses)], r)
		if err == nil || isFinal(err) {
			return result, err
		}
		last = err
		if c.wait(ctx, attempt) != nil {
			break
		}
	}
	return answer{}, c.exhausted(r, last)
}

// exhausted is the error after no address gave a final answer.
func (c *Client) exhausted(r request, last error) error {
	var coded *carobkeel.Error
	if errors.As(last, &coded) || r.isRead() {
		return last
	}
	return carobkeel.NewError(carobkeel.CodeEditUnsettled,
		"no answer came (%v); send it again under the id %q", last, r.id)
}

func (c *Client) send(ctx context.Context, address string, r request) (answer, error) {
	message, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	message.Header.Set(httpapi.OperatorHeader, c.operator)
	if r.match != "" {
		message.Header.Set("If-Match", r.match)
	}
	if r.id != "" {
		message.Header.Set(callerapi.KeyHeader, r.id)
	}
	response, err := c.http.Do(message)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return answer{}, asError(address, response.StatusCode, data)
	}
	return answer{data: data, header: response.Header}, nil
}

// asError returns the error in a problem document.
func asError(address string, status int, data []byte) error {
	var problem httpapi.Problem
	if err := json.Unmarshal(data, &problem); err != nil || problem.Code == 0 {
		return &foreignError{address: address, status: status}
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

// isFinal reports whether a repeat would give the same error.
func isFinal(err error) bool {
	var coded *carobkeel.Error
	if errors.As(err, &coded) {
		return coded.Code != carobkeel.CodeEditUnsettled && !coded.Code.Info().Retryable
	}
	var foreign *foreignError
	if errors.As(err, &foreign) {
		return foreign.status < http.StatusInternalServerError
	}
	return isProblems(err)
}
