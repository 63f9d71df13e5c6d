package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/httpapi"
	"github.com/carobkeel/carobkeel/entry/server"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/client"
	upstreamclient "github.com/carobkeel/carobkeel/upstream/client"
	"github.com/carobkeel/carobkeel/upstream/echo"
)

const (
	pathService = "echo"
	// pathSlots is more than the load ever has in flight, so that nothing
	// waits for a slot.
	pathSlots = 1024
)

// localPath is a caller's whole path on loopback, in this process: an entry, a
// sidecar and an upstream.
type localPath struct {
	// direct and through are the base URLs of the upstream and of the entry.
	direct, through string
}

// fixedViews is a view of sidecars that does not change.
type fixedViews struct{ view *sidecar.View }

func (f fixedViews) View() *sidecar.View { return f.view }

// fixedCatalogue is a catalogue that does not change.
type fixedCatalogue struct{ catalogue *carobkeel.Catalogue }

func (f fixedCatalogue) Catalogue() *carobkeel.Catalogue { return f.catalogue }

// alwaysAdmits takes every request.
type alwaysAdmits struct{}

func (alwaysAdmits) AcceptsRequests() bool { return true }

// startLocalPath starts the path. It ends with ctx.
func startLocalPath(ctx context.Context) (*localPath, error) {
	logger := logging.Discard().For("benchmark")
	upstream, err := serveLocal(ctx, echo.New().Handler())
	if err != nil {
		return nil, err
	}
	links, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	config := server.DefaultConfig()
	config.Slots = pathSlots
	beside := server.New(config, 1, upstreamclient.New(upstream, echo.HealthPath), server.NewMetrics(tally.NoopScope), logger)
	go func() { _ = beside.Run(ctx, links) }()

	view, _ := sidecar.NewView().ApplyAnnouncement(sidecar.Announcement{
		Incarnation: 1, Sequence: 1, Address: links.Addr().String(), Service: pathService, Slots: pathSlots,
	}, time.Now())
	entry := carobkeel.Entry{Name: pathService, Owner: "bench", Limits: carobkeel.Limits{Timeout: 10 * time.Second}}
	catalogue := (&carobkeel.Catalogue{}).With(1, entry)
	forwarder := client.NewForwarder(ctx, 2, fixedViews{view}, client.DefaultConfig(), client.NewMetrics(tally.NoopScope))
	handler := httpapi.New(2, fixedCatalogue{catalogue}, forwarder, alwaysAdmits{}, httpapi.NewMetrics(tally.NoopScope))
	through, err := serveLocal(ctx, handler.Wrap(chi.NewRouter()))
	if err != nil {
		return nil, err
	}
	return &localPath{direct: "http://" + upstream, through: "http://" + through}, nil
}

// serveLocal serves the handler on loopback until ctx ends, and returns its
// address.
func serveLocal(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(listener) }()
	return listener.Addr().String(), nil
}
