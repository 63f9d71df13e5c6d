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

// anyTag is the If-Match of a change that names no state.
const anyTag = "*"

// Catalogue is a catalogue as it was read.
type Catalogue struct {
	operator.Document
	// JSON is the document as it was sent.
	JSON []byte
	// IsLastSeen says that the process that answered could not reach the table
	// service and answered what it had seen.
	IsLastSeen bool
}

// Catalogue reads the whole catalogue.
func (c *Client) Catalogue(ctx context.Context) (Catalogue, error) {
	return c.read(ctx, "/v1/catalogue")
}

// Entry reads one entry.
func (c *Client) Entry(ctx context.Context, name string) (Catalogue, error) {
	return c.read(ctx, "/v1/catalogue/"+url.PathEscape(name))
}

func (c *Client) read(ctx context.Context, path string) (Catalogue, error) {
	a, err := c.do(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return Catalogue{}, err
	}
	doc, err := catalogfile.Read(a.data)
	return Catalogue{
		Document: doc, JSON: a.data, IsLastSeen: a.header.Get(httpapi.LastSeenHeader) == "true",
	}, errors.Wrap(err, "the answer can't be read")
}

// Plan returns what a document would change.
func (c *Client) Plan(ctx context.Context, data []byte) (httpapi.Plan, error) {
	var plan httpapi.Plan
	a, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/catalogue:validate", body: data})
	if err != nil {
		return plan, err
	}
	return plan, a.decode(&plan)
}

// Apply makes one edit of a document under the given id. A base of zero stands
// for whatever the catalogue is.
func (c *Client) Apply(ctx context.Context, data []byte, base carobkeel.Revision, id string) (httpapi.Accepted, error) {
	var accepted httpapi.Accepted
	match := anyTag
	if base != 0 {
		match = httpapi.TagOf(base)
	}
	a, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/catalogue", body: data, match: match, id: id})
	if err != nil {
		return accepted, err
	}
	return accepted, a.decode(&accepted)
}

// History reads the history of an entry or owner, the oldest change first.
func (c *Client) History(ctx context.Context, kind operator.Kind, name string) (httpapi.History, error) {
	var history httpapi.History
	path := "/v1/catalogue/"
	if kind == operator.KindOwner {
		path = "/v1/owners/"
	}
	a, err := c.do(ctx, request{method: http.MethodGet, path: path + url.PathEscape(name) + "/history?limit=500"})
	if err != nil {
		return history, err
	}
	return history, a.decode(&history)
}

// PlanStop plans a stop under the given id.
func (c *Client) PlanStop(ctx context.Context, form httpapi.StopForm, id string) (operator.Stop, error) {
	var stop operator.Stop
	body, err := json.Marshal(form)
	if err != nil {
		return stop, errors.WithStack(err)
	}
	a, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/stops", body: body, id: id})
	if err != nil {
		return stop, err
	}
	return stop, a.decode(&stop)
}

// Stops reads all stops.
func (c *Client) Stops(ctx context.Context) (httpapi.StopList, error) {
	var list httpapi.StopList
	a, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/stops"})
	if err != nil {
		return list, err
	}
	return list, a.decode(&list)
}

// CancelStop calls a stop off.
func (c *Client) CancelStop(ctx context.Context, id operator.StopID) (operator.Stop, error) {
	var stop operator.Stop
	a, err := c.do(ctx, request{method: http.MethodDelete, path: "/v1/stops/" + url.PathEscape(string(id)), id: string(id)})
	if err != nil {
		return stop, err
	}
	return stop, a.decode(&stop)
}

// Status reads what the fleet does now.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	a, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return status, err
	}
	return status, a.decode(&status)
}
