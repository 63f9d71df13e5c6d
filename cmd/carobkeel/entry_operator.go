package main

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator/httpapi"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
)

// startOperatorAPI creates the back ends of the operators' interface: the
// catalogue and the planned stops in the table, and the state of the fleet.
func (p *entryProcess) startOperatorAPI(ctx context.Context, scope tally.Scope) {
	metrics := store.NewMetrics(scope)
	p.fleet = &fleetSource{
		members:        p.members,
		catalogue:      p.Catalogue,
		location:       carobkeel.Location{DataCentre: carobkeel.DataCentre(p.config.dataCentre)},
		since:          time.Now(),
		storeAvailable: func() bool { return p.reader.StoreAvailable() },
	}
	p.store = store.New(store.Config{Table: p.table.For(table.PurposeCatalogue), Usage: p.fleet, Metrics: metrics})
	p.stops = store.NewStops(store.StopsConfig{Table: p.table.For(table.PurposeStops), Fleet: p.fleet, Metrics: metrics})
	p.maintainer = store.NewMaintainer(p.store, p.stops, p.log)
	go p.maintainer.Run(ctx)
}

// operatorRouter returns the routes of the operators' listener. Explain may be nil.
func (p *entryProcess) operatorRouter(metricsPage, explain http.Handler) http.Handler {
	router := chi.NewRouter()
	router.Handle("/metrics", metricsPage)
	httpapi.MountHealth(router, p.readiness.Ready)
	router.Group(func(routes chi.Router) {
		routes.Use(p.propagateAfterEdit)
		httpapi.NewHandler(httpapi.Config{Catalogue: p.store, Stops: p.stops, Status: p.fleet}).Mount(routes)
	})
	if explain != nil {
		router.Method(http.MethodPost, httpapi.ExplainPath+"{name}", explain)
	}
	mountPprof(router)
	return router
}

// propagateAfterEdit propagates the changes of an operator's edit immediately,
// rather than after the next read of the table service.
func (p *entryProcess) propagateAfterEdit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			p.reader.PropagateSeen()
		}
	})
}
