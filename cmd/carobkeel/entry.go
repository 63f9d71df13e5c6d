package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/balancer"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/caller/admit"
	"github.com/carobkeel/carobkeel/caller/claims"
	"github.com/carobkeel/carobkeel/caller/httpapi"
	"github.com/carobkeel/carobkeel/caller/intake/httpintake"
	"github.com/carobkeel/carobkeel/caller/jobsapi"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/propagator"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/internal/settings"
	"github.com/carobkeel/carobkeel/internal/telemetry"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/sidecar/client"
	"github.com/carobkeel/carobkeel/sidecar/members"
	"github.com/carobkeel/carobkeel/table"
	tableclient "github.com/carobkeel/carobkeel/table/client"
	"github.com/carobkeel/carobkeel/table/httptable"
)

// entryConfig is the settings of the entry.
type entryConfig struct {
	listen         string
	operatorListen string
	linkListen     string
	peers          string
	table          string
	dataCentre     string
	// catalogueInterval is the mean interval between two reads of the
	// catalogue's head.
	catalogueInterval time.Duration
	leaveTime         time.Duration
	drainTimeout      time.Duration

	tableClient tableclient.Config
	clients     clientLimits
	machine     machineFlags
	// jobs starts the scheduling of jobs and returns its HTTP interfaces. It is nil
	// where the process has no workers.
	jobs func(ctx context.Context, rows table.Table, catalogues jobsapi.Catalogues) (jobInterfaces, error)
}

// jobInterfaces are the HTTP interfaces of the scheduling of jobs: the callers' routes, and the
// operators' explanations, nil for none.
type jobInterfaces struct {
	routes  http.Handler
	explain http.Handler
}

func registerEntryFlags(fs *flag.FlagSet) *entryConfig {
	c := &entryConfig{}
	fs.StringVar(&c.listen, "listen", "127.0.0.1:8080", "address for callers")
	fs.StringVar(&c.operatorListen, "operator-listen", "127.0.0.1:8081", "address for operators, metrics and health")
	fs.StringVar(&c.linkListen, "link-listen", "127.0.0.1:8082", "address for the event links of sidecars and other entries")
	fs.StringVar(&c.peers, "peers", "", "comma-separated addresses of other entries' event links")
	fs.StringVar(&c.table, "table", "", "address of the table service")
	fs.DurationVar(&c.catalogueInterval, "catalogue-interval", propagator.PollInterval, "mean time between two reads of the catalogue's head")
	fs.StringVar(&c.dataCentre, "data-centre", "", "data centre of this host")
	fs.DurationVar(&c.leaveTime, "leave-time", 2*time.Second, "time between leaving the balancer and refusing requests")
	fs.DurationVar(&c.drainTimeout, "drain-timeout", 30*time.Second, "longest time that requests in flight get at shutdown")
	c.clients.register(fs)
	c.machine.register(fs)
	return c
}

// Check implements settings.Checker.
func (c *entryConfig) Check() []settings.Problem {
	problems := checkAddress("listen", c.listen)
	problems = append(problems, checkAddress("operator-listen", c.operatorListen)...)
	problems = append(problems, checkAddress("link-listen", c.linkListen)...)
	problems = append(problems, checkAddresses("peers", c.peers)...)
	problems = append(problems, checkAddress("table", c.table)...)
	if c.catalogueInterval <= 0 {
		problems = append(problems, settings.Problem{Name: "catalogue-interval", Reason: "must be above 0"})
	}
	if c.dataCentre == "" {
		problems = append(problems, settings.Problem{Name: "data-centre", Reason: "must not be empty"})
	}
	if c.leaveTime < 0 {
		problems = append(problems, settings.Problem{Name: "leave-time", Reason: "must not be negative"})
	}
	if c.drainTimeout <= 0 {
		problems = append(problems, settings.Problem{Name: "drain-timeout", Reason: "must be above 0"})
	}
	problems = append(problems, c.clients.Check()...)
	return append(problems, c.machine.Check()...)
}

// entryProcess is a running entry.
type entryProcess struct {
	config         entryConfig
	readiness      *balancer.Readiness
	catalogue      atomic.Pointer[carobkeel.Catalogue]
	members        *members.Members
	eventListener  *eventlink.Listener
	eventDialer    *eventlink.Dialer
	propagator     *propagator.Propagator
	reader         *propagator.Reader
	table          *tableclient.Client
	store          *store.Store
	stops          *store.Stops
	maintainer     *store.Maintainer
	fleet          *fleetSource
	forwarder      *client.Forwarder
	callerServer   *http.Server
	operatorServer *http.Server
	// intake holds the limits on clients.
	intake *httpintake.Intake
	// connections counts the open connections of callers.
	connections *httpapi.ConnectionCounter
	// acceptStopped is closed once no more connections of callers are accepted.
	acceptStopped  chan struct{}
	callerListener net.Listener

	callerAddress   net.Addr
	operatorAddress net.Addr
	linkAddress     net.Addr

	log    *log.Logger
	cancel context.CancelFunc
}

// Catalogue returns the current catalogue, or nil before the first one arrives.
func (p *entryProcess) Catalogue() *carobkeel.Catalogue { return p.catalogue.Load() }

// AcceptsRequests reports whether the entry accepts new requests.
func (p *entryProcess) AcceptsRequests() bool { return p.readiness.AcceptsRequests() }

// startEntry starts an entry that keeps its claims in the table. It runs until
// stop is called.
func startEntry(c entryConfig, sidecars client.Config, tables table.Table, logs *logging.Factory) (*entryProcess, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &entryProcess{config: c, readiness: &balancer.Readiness{}, log: logs.For("entry"), cancel: cancel}
	scope, metricsPage, _ := telemetry.New(telemetry.Config{})
	self := newIncarnation()
	p.eventListener = eventlink.NewListener(link.EventConfig(), p.log)
	p.eventDialer = eventlink.NewDialer(splitList(c.peers), link.EventConfig(), p.log, func() {})
	p.members = members.New(members.Config{
		Metrics: members.NewMetrics(scope), Log: p.log,
		Accepted: p.eventListener, Dialled: p.eventDialer,
		OnChange: func() { p.forwarder.Prune() },
		Report:   func() entry.Report { return p.report(self) },
		Stops:    func() []operator.Stop { return p.maintainer.Current() },
	})
	sidecars.DataCentre = carobkeel.DataCentre(c.dataCentre)
	p.intake = newIntake(ctx, &c.clients, &c.machine, scope, p.log)
	sidecars.Admission = caller.NewAdmission()
	p.forwarder = client.NewForwarder(ctx, self, p.members, sidecars, client.NewMetrics(scope))
	p.startTable(ctx, tables, c.tableClient, scope)
	deduplicated := claims.NewForwarder(p.startClaims(ctx), p.forwarder, p.log)
	admitted := admit.New(sidecars.Admission, deduplicated, admit.NewMetrics(scope))
	go admitted.Run(ctx)
	p.startOperatorAPI(ctx, scope)
	handler := httpapi.New(self, p, admitted, p, httpapi.NewMetrics(scope))
	if err := p.startEvents(ctx); err != nil {
		cancel()
		return nil, err
	}
	if err := p.startPropagation(ctx, scope); err != nil {
		cancel()
		return nil, err
	}
	if err := p.startServers(ctx, handler, metricsPage); err != nil {
		cancel()
		return nil, err
	}
	return p, nil
}

// startEvents accepts event links and registers members as the handler of
// announcements.
func (p *entryProcess) startEvents(ctx context.Context) error {
	listener, err := listen(p.config.linkListen)
	if err != nil {
		return err
	}
	p.linkAddress = listener.Addr()
	go func() { _ = p.eventListener.Run(ctx, p.intake.ListenSide(listener)) }()
	go p.members.Run(ctx)
	return runRouter(ctx, p.log, func(router *message.Router) {
		router.AddConsumerHandler("members", members.AcceptedTopics, p.eventListener, p.members.Handle)
		router.AddConsumerHandler("members-dialled", members.DialledTopics, p.eventDialer, p.members.Handle)
	})
}

func (p *entryProcess) startServers(ctx context.Context, handler *httpapi.Handler, metricsPage http.Handler) error {
	callerListener, err := listen(p.config.listen)
	if err != nil {
		return err
	}
	operatorListener, err := listen(p.config.operatorListen)
	if err != nil {
		return err
	}
	p.callerAddress, p.callerListener = callerListener.Addr(), callerListener
	p.operatorAddress = operatorListener.Addr()
	jobs, err := p.startJobs(ctx)
	if err != nil {
		return err
	}
	p.callerServer = newHTTPServer(httpapi.CloseConnections(handler.Wrap(jobs.routes), p.readiness.AllowsKeepAlive))
	p.connections = httpapi.NewConnections()
	p.callerServer.ConnState = p.connections.OnStateChange
	p.operatorServer = newHTTPServer(p.operatorRouter(metricsPage, jobs.explain))
	p.intake.Attach(p.callerServer)
	p.intake.Attach(p.operatorServer)
	p.acceptStopped = make(chan struct{})
	go func() {
		defer close(p.acceptStopped)
		serveHTTP(p.callerServer, p.intake.ListenCallers(callerListener), p.log)
	}()
	go serveHTTP(p.operatorServer, p.intake.ListenSide(operatorListener), p.log)
	return nil
}

// startJobs starts the scheduling of jobs. There are no routes where the entry has
// no workers to run jobs on.
func (p *entryProcess) startJobs(ctx context.Context) (jobInterfaces, error) {
	if p.config.jobs == nil {
		return jobInterfaces{routes: chi.NewRouter()}, nil
	}
	return p.config.jobs(ctx, p.table.For(table.PurposeJobs), p)
}

// install makes c the current catalogue.
func (p *entryProcess) install(c *carobkeel.Catalogue) { p.catalogue.Store(c) }

// report returns the report about this entry that it sends to other processes.
func (p *entryProcess) report(self carobkeel.Incarnation) entry.Report {
	report := entry.Report{Incarnation: self, DataCentre: carobkeel.DataCentre(p.config.dataCentre)}
	if c := p.Catalogue(); c != nil {
		report.Revision = c.Revision
	}
	return report
}

// markReady makes the entry ready. It is called once the entry takes part in the
// propagation of the catalogue.
func (p *entryProcess) markReady() { p.readiness.Advance(balancer.PhaseReady) }

// stop makes the entry not ready, so that the balancer removes it, waits the
// leave time, drains requests in flight up to the drain timeout, and shuts down.
func (p *entryProcess) stop() error {
	p.log.Info().Msg("leaving the balancer")
	p.readiness.Advance(balancer.PhaseLeaving)
	timer := time.NewTimer(p.config.leaveTime)
	<-timer.C
	p.log.Info().Msg("draining")
	p.readiness.Advance(balancer.PhaseDraining)
	ctx, cancel := context.WithTimeout(context.Background(), p.config.drainTimeout)
	defer cancel()
	p.closeConnections(ctx)
	err := p.callerServer.Shutdown(ctx)
	p.readiness.Advance(balancer.PhaseStopped)
	_ = p.operatorServer.Close()
	p.cancel()
	p.log.Info().Msg("stopped")
	return err
}

// connectionCloseTimeout is how long callers have to close their idle
// connections.
const connectionCloseTimeout = time.Second

// closeConnections stops accepting connections and waits for callers to close
// the open ones. An immediate Shutdown would close idle connections just as
// callers send requests on them, and would miss a connection that was accepted
// but is not yet known to the server.
func (p *entryProcess) closeConnections(ctx context.Context) {
	_ = p.callerListener.Close()
	<-p.acceptStopped
	ctx, cancel := context.WithTimeout(ctx, connectionCloseTimeout)
	defer cancel()
	p.connections.WaitClosed(ctx)
	p.log.Info().Int64("open", p.connections.Open()).Msg("caller connections are no longer accepted")
}

// entryCommand runs the entry, the process that callers and operators connect to.
func entryCommand() command {
	return command{
		name:    "entry",
		summary: "run the process that callers and operators reach",
		run: func(ctx context.Context, args []string, io streams) int {
			if isHosted(args) {
				return runHostedEntry(ctx, args, io)
			}
			fs := newFlagSet("entry", io)
			config := registerEntryFlags(fs)
			sidecars := client.RegisterFlags(fs)
			logConfig := logging.RegisterFlags(fs)
			tableConfig := tableclient.RegisterFlags(fs)
			if code, ok := parse(fs, args, io, config, sidecars, tableConfig, logConfig); !ok {
				return code
			}
			config.tableClient = *tableConfig
			process, err := startEntry(*config, *sidecars, httptable.NewClient(config.table, nil), logging.NewFactory(*logConfig, io.err))
			if err != nil {
				return fail(io, err)
			}
			fmt.Fprintf(io.out, "ready caller=%s operator=%s link=%s\n",
				process.callerAddress, process.operatorAddress, process.linkAddress)
			<-ctx.Done()
			if err := process.stop(); err != nil {
				return fail(io, err)
			}
			return exitOK
		},
	}
}
