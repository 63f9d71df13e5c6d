// Package httpapi is the operators' HTTP interface for the catalogue, planned
// stops and the fleet's status. It only encodes and decodes messages; package
// operator makes the decisions.
//
// A request that changes the catalogue must be conditional: it has If-Match with
// the entity tag that was read, or If-None-Match: * for a new entry or owner. An
// Idempotency-Key makes a request safe to repeat. Errors are returned as
// application/problem+json.
package httpapi

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/store"
)

// Catalogue reads and edits the stored catalogue. store.Store implements it.
type Catalogue interface {
	Load(ctx context.Context) (*carobkeel.Catalogue, error)
	LastSeen() *carobkeel.Catalogue
	Edit(ctx context.Context, edit operator.Edit) (store.Result, error)
	Plan(ctx context.Context, edit operator.Edit) (operator.Change, error)
	History(ctx context.Context, kind operator.Kind, name string, after carobkeel.Revision, limit int) ([]operator.Record, error)
}

// Stops reads and changes the stored planned stops. store.Stops implements it.
type Stops interface {
	Plan(ctx context.Context, request operator.StopRequest) (operator.Stop, error)
	List(ctx context.Context) ([]operator.Stop, error)
	Get(ctx context.Context, id operator.StopID) (operator.Stop, error)
	Cancel(ctx context.Context, id operator.StopID, by string) (operator.Stop, error)
}

// StatusSource returns the current status of the fleet.
type StatusSource interface {
	Status(ctx context.Context) (operator.Status, error)
}

// Config holds the dependencies of a Handler, all of which are required.
type Config struct {
	Catalogue Catalogue
	Stops     Stops
	Status    StatusSource
}

// Handler serves the requests of operators.
type Handler struct {
	catalogue Catalogue
	stops     Stops
	status    StatusSource
}

func NewHandler(c Config) *Handler {
	return &Handler{catalogue: c.Catalogue, stops: c.Stops, status: c.Status}
}

// Mount adds the routes under /v1.
func (h *Handler) Mount(router chi.Router) {
	router.Get("/v1/catalogue", h.getCatalogue)
	router.Post("/v1/catalogue", h.applyDocument)
	router.Post("/v1/catalogue:validate", h.validateDocument)
	h.mountResource(router, "/v1/catalogue/{name}", entryResource{})
	h.mountResource(router, "/v1/owners/{name}", ownerResource{})
	router.Get("/v1/stops", h.listStops)
	router.Post("/v1/stops", h.planStop)
	router.Get("/v1/stops/{id}", h.getStop)
	router.Delete("/v1/stops/{id}", h.cancelStop)
	router.Get("/v1/status", h.getStatus)
}

func (h *Handler) mountResource(router chi.Router, path string, res resource) {
	router.Get(path, func(w http.ResponseWriter, r *http.Request) { h.getItem(w, r, res) })
	router.Put(path, func(w http.ResponseWriter, r *http.Request) { h.putItem(w, r, res) })
	router.Delete(path, func(w http.ResponseWriter, r *http.Request) { h.deleteItem(w, r, res) })
	router.Get(path+"/history", func(w http.ResponseWriter, r *http.Request) { h.getHistory(w, r, res) })
}

// MountHealth adds /healthz, which succeeds while the process runs, and /readyz,
// which the balancer polls.
func MountHealth(router chi.Router, ready func() bool) {
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}
