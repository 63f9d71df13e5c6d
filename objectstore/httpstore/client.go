package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/objectstore"
)

// Client is an objectstore.Store that calls the store over HTTP. It sends each
// call once. A put or delete that failed may have taken effect; both are
// idempotent and may be retried.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store at address, a host and port or an
// http URL without a path. If httpClient is nil, http.DefaultClient is used.
func NewClient(address string, httpClient *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(address, "/") + BasePath, http: httpClient}
}

// Put implements objectstore.Store.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, c.objectURL(name), data)
	return err
}

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, c.objectURL(name), nil)
}

// List implements objectstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	query := url.Values{"prefix": {prefix}}
	content, err := c.call(ctx, http.MethodGet, c.base+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var answer listAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		return nil, errors.Wrap(objectstore.ErrUnavailable, err.Error())
	}
	return answer.Names, nil
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, c.objectURL(name), nil)
	return err
}

func (c *Client) objectURL(name string) string { return c.base + "/" + url.PathEscape(name) }

func (c *Client) call(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(objectstore.ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxObjectBytes+1))
	if err != nil {
		return nil, errors.Wrap(objectstore.ErrUnavailable, err.Error())
	}
	return content, checkStatus(response.StatusCode, content)
}

func checkStatus(status int, content []byte) error {
	detail := strings.TrimSpace(string(content[:min(len(content), 200)]))
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return errors.Wrap(objectstore.ErrNotFound, detail)
	case status < http.StatusInternalServerError:
		return errors.Errorf("object store refused the request: status %d: %s", status, detail)
	}
	return errors.Wrapf(objectstore.ErrUnavailable, "status %d: %s", status, detail)
}
