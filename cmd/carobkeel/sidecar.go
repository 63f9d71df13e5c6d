package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/intake/httpintake"
	"github.com/carobkeel/carobkeel/entry/announcer"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/propagator"
	"github.com/carobkeel/carobkeel/entry/server"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/internal/settings"
	"github.com/carobkeel/carobkeel/internal/telemetry"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/upstream/client"
)

// sidecarConfig is the settings of the sidecar.
type sidecarConfig struct {
	listen       string
	adminListen  string
	upstream     string
	healthPath   string
	service      string
	entries      string
	dataCentre   string
	rack         string
	host         string
	drainTimeout time.Duration
	clients      clientLimits
	machine      machineFlags
	// intake holds the limits on clients where the sidecar shares a process with an entry.
	intake *httpintake.Intake
}

func registerSidecarFlags(fs *flag.FlagSet) *sidecarConfig {
	c := &sidecarConfig{}
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address for the entries' links, which is also the one announced")
	fs.StringVar(&c.adminListen, "admin-listen", "127.0.0.1:0", "address for metrics and health")
	fs.StringVar(&c.upstream, "upstream", "", "address of the upstream beside this sidecar")
	fs.StringVar(&c.healthPath, "upstream-health", "/healthz", "path of the upstream that tells of its health: 2xx serves, 503 drains")
	fs.StringVar(&c.service, "service", "", "name of the service that the upstream is an instance of")
	fs.StringVar(&c.entries, "entries", "", "comma-separated addresses of entries' event links")
	fs.StringVar(&c.dataCentre, "data-centre", "", "data centre of this host")
	fs.StringVar(&c.rack, "rack", "", "rack of this host")
	fs.StringVar(&c.host, "host", "", "name of this host")
	fs.DurationVar(&c.drainTimeout, "drain-timeout", 30*time.Second, "longest time that requests in flight get at shutdown")
	c.clients.register(fs)
	c.machine.register(fs)
	return c
}

// Check implements settings.Checker.
func (c *sidecarConfig) Check() []settings.Problem {
	problems := checkAddress("listen", c.listen)
	problems = append(problems, checkAddress("admin-listen", c.adminListen)...)
	problems = append(problems, checkAddress("upstream", c.upstream)...)
	problems = append(problems, checkAddresses("entries", c.entries)...)
	if c.entries == "" {
		problems = append(problems, settings.Problem{Name: "entries", Reason: "at least one is needed"})
	}
	if c.service == "" {
		problems = append(problems, settings.Problem{Name: "service", Reason: "must not be empty"})
	}
	if c.dataCentre == "" {
		problems = append(problems, settings.Problem{Name: "data-centre", Reason: "must not be empty"})
	}
	if c.drainTimeout <= 0 {
		problems = append(problems, settings.Problem{Name: "drain-timeout", Reason: "must be above 0"})
	}
	problems = append(problems, c.clients.Check()...)
	return append(problems, c.machine.Check()...)
}

// sidecarProcess is a running sidecar.
type sidecarProcess struct {
	config     sidecarConfig
	server     *server.Server
	announcer  *announcer.Announcer
	dialer     *eventlink.Dialer
	propagator *propagator.Propagator
	listener   net.Listener
	admin      *http.Server
	log        *log.Logger
	cancel     context.CancelFunc
}

// startSidecar starts a sidecar, which runs until stop is called.
func startSidecar(c sidecarConfig, requests server.Config, logs *logging.Factory) (*sidecarProcess, error) {
	listener, err := listen(c.listen)
	if err != nil {
		return nil, err
	}
	adminListener, err := listen(c.adminListen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	self := newIncarnation()
	scope, metricsPage, _ := telemetry.New(telemetry.Config{})
	upstream := client.New(c.upstream, c.healthPath)
	p := &sidecarProcess{config: c, listener: listener, log: logs.For("sidecar"), cancel: cancel}
	p.server = server.New(requests, self, upstream, server.NewMetrics(scope), p.log)
	p.dialer = eventlink.NewDialer(splitList(c.entries), link.EventConfig(), p.log, func() { p.announcer.RequestAnnouncement() })
	p.announcer = announcer.New(sidecar.Announcement{
		Incarnation: self,
		Started:     time.Now().Truncate(time.Microsecond),
		Address:     listener.Addr().String(),
		Service:     carobkeel.Service(c.service),
		Location:    carobkeel.Location{DataCentre: carobkeel.DataCentre(c.dataCentre), Rack: c.rack, Host: c.host},
		Slots:       requests.Slots,
	}, p.dialer, upstream, p.server, p.log)
	limits := c.intake
	if limits == nil {
		limits = newIntake(ctx, &c.clients, &c.machine, scope, p.log)
	}
	p.admin = newHTTPServer(p.adminRouter(metricsPage))
	limits.Attach(p.admin)
	go serveHTTP(p.admin, limits.ListenSide(adminListener), p.log)
	go func() { _ = p.server.Run(ctx, limits.ListenSide(listener)) }()
	if err := p.startPropagation(ctx, scope); err != nil {
		cancel()
		return nil, err
	}
	go p.dialer.Run(ctx)
	go p.announcer.Run(ctx)
	return p, nil
}

func (p *sidecarProcess) adminRouter(metricsPage http.Handler) http.Handler {
	router := chi.NewRouter()
	router.Handle("/metrics", metricsPage)
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if p.announcer.State() != sidecar.StateServing {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mountPprof(router)
	return router
}

// stop announces that the sidecar is draining, waits up to the drain timeout for
// requests in flight, announces that it has stopped, and shuts down.
func (p *sidecarProcess) stop() error {
	p.log.Info().Msg("draining")
	p.announcer.AnnounceDraining()
	ctx, cancel := context.WithTimeout(context.Background(), p.config.drainTimeout)
	defer cancel()
	err := p.server.Drain(ctx)
	p.announcer.AnnounceStopped()
	p.waitForLinkFlush()
	p.cancel()
	_ = p.admin.Close()
	p.log.Info().Msg("stopped")
	return err
}

// linkFlushTime is the time for which the links stay open at shutdown, so that
// queued frames are sent.
const linkFlushTime = 100 * time.Millisecond

// waitForLinkFlush waits linkFlushTime, so that the last answers and
// announcements are sent.
func (p *sidecarProcess) waitForLinkFlush() {
	timer := time.NewTimer(linkFlushTime)
	defer timer.Stop()
	<-timer.C
}

// sidecarCommand runs the sidecar of an upstream.
func sidecarCommand() command {
	return command{
		name:    "sidecar",
		summary: "run the process beside an upstream",
		run: func(ctx context.Context, args []string, io streams) int {
			if isHosted(args) {
				return runHostedSidecar(ctx, args, io)
			}
			fs := newFlagSet("sidecar", io)
			config := registerSidecarFlags(fs)
			requests := server.RegisterFlags(fs)
			logConfig := logging.RegisterFlags(fs)
			if code, ok := parse(fs, args, io, config, requests, logConfig); !ok {
				return code
			}
			process, err := startSidecar(*config, *requests, logging.NewFactory(*logConfig, io.err))
			if err != nil {
				return fail(io, err)
			}
			fmt.Fprintf(io.out, "ready sidecar=%s\n", process.listener.Addr())
			<-ctx.Done()
			if err := process.stop(); err != nil {
				return fail(io, err)
			}
			return exitOK
		},
	}
}
