package jobsapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
)

// Client submits, reads and cancels jobs through an entry.
type Client struct {
	// Address is the host and port of the entry's listener for callers.
	Address string
	// HTTP carries the requests.
	HTTP *http.Client
}

// Submit submits a job of the named catalogue entry.
func (c *Client) Submit(ctx context.Context, name string) (Job, error) {
	return c.do(ctx, http.MethodPost, name)
}

// Get returns a job.
func (c *Client) Get(ctx context.Context, id carobkeel.JobID) (Job, error) {
	return c.do(ctx, http.MethodGet, string(id))
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id carobkeel.JobID) (Job, error) {
	return c.do(ctx, http.MethodDelete, string(id))
}

// refusal is the part of a problem document that the client reads.
type refusal struct {
	Code   carobkeel.Code `json:"code"`
	Detail string         `json:"detail"`
}

func (c *Client) do(ctx context.Context, method, name string) (Job, error) {
	target := url.URL{Scheme: "http", Host: c.Address, Path: "/jobs/" + name}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), http.NoBody)
	if err != nil {
		return Job{}, errors.Wrap(err, "create request")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Job{}, errors.Wrapf(err, "send request to %s", c.Address)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		var r refusal
		if err := json.NewDecoder(response.Body).Decode(&r); err != nil {
			return Job{}, errors.Errorf("%s answered %s", c.Address, response.Status)
		}
		return Job{}, carobkeel.NewError(r.Code, "%s", r.Detail)
	}
	var job Job
	if err := json.NewDecoder(response.Body).Decode(&job); err != nil {
		return Job{}, errors.Wrapf(err, "decode answer of %s", c.Address)
	}
	return job, nil
}
