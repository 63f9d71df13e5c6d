package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/httpapi"
)

// anyTag is the If-Match value of a change that accepts every current state.
const anyTag = "*"

// Catalogue is a catalogue that was read from the interface.
type Catalogue struct {
	operator.Document
	// JSON is the document as received.
	JSON []byte
	// IsLastSeen reports that the process could not read the table service and
	// returned the last catalogue that it had seen.
	IsLastSeen bool
}

// Catalogue reads the full catalogue.
func (c *Client) Catalogue(ctx context.Context) (Catalogue, error) {
	return c.read(ctx, "/v1/catalogue")
}

// Entry reads one entry.
func (c *Client) Entry(ctx context.Context, name string) (Catalogue, error) {
	return c.read(ctx, "/v1/catalogue/"+url.PathEscape(name))
}

func (c *Client) read(ctx context.Context, path string) (Catalogue, error) {
	resp, err := c.do(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return Catalogue{}, err
	}
	doc, err := catalogfile.Read(resp.data)
	return Catalogue{
		Document: doc, JSON: resp.data, IsLastSeen: resp.header.Get(httpapi.LastSeenHeader) == "true",
	}, errors.Wrap(err, "decode the catalogue in the response")
}

// Plan returns the differences that a document would make.
func (c *Client) Plan(ctx context.Context, data []byte) (httpapi.Plan, error) {
	var plan httpapi.Plan
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/catalogue:validate", body: data})
	if err != nil {
		return plan, err
	}
	return plan, resp.decode(&plan)
}

// Apply applies a document as one edit with the given id. A base of zero accepts
// every current revision.
func (c *Client) Apply(ctx context.Context, data []byte, base carobkeel.Revision, id string) (httpapi.Accepted, error) {
	var accepted httpapi.Accepted
	match := anyTag
	if base != 0 {
		match = httpapi.EntityTag(base)
	}
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/catalogue", body: data, match: match, id: id})
	if err != nil {
		return accepted, err
	}
	return accepted, resp.decode(&accepted)
}

// History reads the history of an entry or owner, oldest change first.
func (c *Client) History(ctx context.Context, kind operator.Kind, name string) (httpapi.History, error) {
	var history httpapi.History
	path := "/v1/catalogue/"
	if kind == operator.KindOwner {
		path = "/v1/owners/"
	}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: path + url.PathEscape(name) + "/history?limit=500"})
	if err != nil {
		return history, err
	}
	return history, resp.decode(&history)
}

// PlanStop plans a stop with the given id.
func (c *Client) PlanStop(ctx context.Context, form httpapi.StopBody, id string) (operator.Stop, error) {
	var stop operator.Stop
	body, err := json.Marshal(form)
	if err != nil {
		return stop, errors.WithStack(err)
	}
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/stops", body: body, id: id})
	if err != nil {
		return stop, err
	}
	return stop, resp.decode(&stop)
}

// Stops reads all planned stops.
func (c *Client) Stops(ctx context.Context) (httpapi.StopList, error) {
	var list httpapi.StopList
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/stops"})
	if err != nil {
		return list, err
	}
	return list, resp.decode(&list)
}

// CancelStop cancels a planned stop.
func (c *Client) CancelStop(ctx context.Context, id operator.StopID) (operator.Stop, error) {
	var stop operator.Stop
	resp, err := c.do(ctx, request{method: http.MethodDelete, path: "/v1/stops/" + url.PathEscape(string(id)), id: string(id)})
	if err != nil {
		return stop, err
	}
	return stop, resp.decode(&stop)
}

// Status reads the current status of the fleet.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return status, err
	}
	return status, resp.decode(&status)
}

// Explain says where a job of a queue or an entry of the catalogue would go now. The body is that of
// its submission.
func (c *Client) Explain(ctx context.Context, name string, body []byte) (operator.Explanation, error) {
	var explanation operator.Explanation
	resp, err := c.do(ctx, request{method: http.MethodPost, path: httpapi.ExplainPath + url.PathEscape(name), body: body})
	if err != nil {
		return explanation, err
	}
	return explanation, resp.decode(&explanation)
}
