package httptable

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

// Limits of the connections to the service.
const (
	maxIdleConns    = 64
	idleConnTimeout = 30 * time.Second
)

// Client is a table.Table that is served over HTTP. It sends each call once:
// package client adds deadlines, retries and budgets.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at address, a host and port or an
// http URL without a path. If httpClient is nil, the client uses
// connections of its own.
func NewClient(address string, httpClient *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if httpClient == nil {
		httpClient = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
		}}
	}
	return &Client{base: strings.TrimSuffix(address, "/") + BasePath, http: httpClient}
}

// Get implements table.Table.
func (c *Client) Get(ctx context.Context, key string) (table.Row, bool, error) {
	var answer getAnswer
	query := url.Values{"key": {key}}
	if _, err := c.call(ctx, http.MethodGet, rowPath+"?"+query.Encode(), nil, &answer); err != nil {
		return table.Row{}, false, readError(err)
	}
	if answer.Row == nil {
		return table.Row{}, false, nil
	}
	return decodeRow(*answer.Row), true, nil
}

// Range implements table.Table.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var answer rangeAnswer
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	if _, err := c.call(ctx, http.MethodGet, rowsPath+"?"+query.Encode(), nil, &answer); err != nil {
		return nil, readError(err)
	}
	return decodeRows(answer.Rows), nil
}

// Commit implements table.Table.
func (c *Client) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if err := checkKeys(txn); err != nil {
		return table.Outcome{}, err
	}
	body, err := json.Marshal(encodeTransaction(txn))
	if err != nil {
		return table.Outcome{}, errors.WithStack(err)
	}
	var answer outcomeMessage
	sent, err := c.call(ctx, http.MethodPost, transactionsPath, body, &answer)
	if err != nil {
		return table.Outcome{}, commitError(sent, err)
	}
	return decodeOutcome(answer), nil
}

// call sends one request and decodes its answer. It reports whether the
// request may have been sent.
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) (bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return false, errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return sent.Load(), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return true, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		return true, decodeFailure(response.StatusCode, content)
	}
	return true, errors.WithStack(json.Unmarshal(content, answer))
}

// decodeFailure returns the error for a failed response. Only a well-formed body
// is known to come from the service and to state the effect.
func decodeFailure(status int, content []byte) error {
	var failure failureMessage
	if err := json.Unmarshal(content, &failure); err != nil {
		return errors.Errorf("status %d", status)
	}
	switch failure.Kind {
	case failureInvalid:
		return errors.Wrap(table.ErrInvalid, failure.Detail)
	case failureUnavailable:
		return errors.Wrap(table.ErrUnavailable, failure.Detail)
	}
	return errors.Errorf("status %d: %s", status, failure.Detail)
}

func readError(err error) error {
	if errors.Is(err, table.ErrInvalid) || errors.Is(err, table.ErrUnavailable) {
		return err
	}
	return errors.Wrap(table.ErrUnavailable, err.Error())
}

func commitError(sent bool, err error) error {
	if errors.Is(err, table.ErrInvalid) || errors.Is(err, table.ErrUnavailable) {
		return err
	}
	if !sent {
		return errors.Wrap(table.ErrUnavailable, err.Error())
	}
	return errors.Wrap(table.ErrUnsettled, err.Error())
}

// checkKeys rejects keys that JSON encoding would alter.
func checkKeys(txn table.Transaction) error {
	for _, c := range txn.Conditions {
		if !utf8.ValidString(c.Key) {
			return errors.Wrapf(table.ErrInvalid, "key %q is not UTF-8", c.Key)
		}
	}
	for _, w := range txn.Writes {
		if !utf8.ValidString(w.Key) {
			return errors.Wrapf(table.ErrInvalid, "key %q is not UTF-8", w.Key)
		}
	}
	return nil
}
