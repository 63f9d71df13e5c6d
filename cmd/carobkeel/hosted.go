package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/intake"
	"github.com/carobkeel/carobkeel/caller/intake/httpintake"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/internal/settings"
	"github.com/carobkeel/carobkeel/internal/telemetry"
	"github.com/carobkeel/carobkeel/operator/httpapi"
	"github.com/carobkeel/carobkeel/platform"
)

const (
	// nodeFileVariable is the environment variable with the path of the
	// platform's settings file. It is also the variable of the flag -node-file.
	nodeFileVariable = settings.EnvironmentPrefix + "_NODE_FILE"
	// defaultShard is the only shard: at its present size the fleet needs just
	// one, and all hosts belong to it.
	defaultShard = "shard-0"
	// workerLease is the duration of a worker's lease from a ping of its
	// sidecar. It is longer than a takeover including failure detection, and
	// shorter than the time that the work of a lost worker may wait.
	workerLease = 3500 * time.Millisecond
	// metricsInterval is the interval at which the metrics page is updated, equal
	// to the interval at which the platform reads it.
	metricsInterval = 5 * time.Second
	maxPort         = 65535
	// settingsInterval is the interval at which the settings file is checked for
	// changes.
	settingsInterval = 2 * time.Second
	// memoryShare is the fraction of a host's memory that is set as the memory
	// limit of the Go runtime.
	memoryShare = 0.7
)

// hostedConfig is the settings of a process on the users' platform.
type hostedConfig struct {
	nodeFile string
	// metricsPort is the port on the host's address that serves metrics.
	metricsPort int
	// linkListen is the address at which links are accepted, if connections to the one
	// that others are told are forwarded there.
	linkListen string
}

func registerHostedFlags(fs *flag.FlagSet) *hostedConfig {
	c := &hostedConfig{}
	fs.StringVar(&c.nodeFile, "node-file", "", "settings file of the platform that hosts this process")
	fs.IntVar(&c.metricsPort, "metrics-port", 9464, "port of the host's address for /metrics")
	fs.StringVar(&c.linkListen, "link-listen", "", "address for links of other processes; that of the settings file where empty")
	return c
}

// Check implements settings.Checker.
func (c *hostedConfig) Check() []settings.Problem {
	var problems []settings.Problem
	if c.nodeFile == "" {
		problems = append(problems, settings.Problem{Name: "node-file", Reason: "must not be empty"})
	}
	if c.metricsPort < 1 || c.metricsPort > maxPort {
		problems = append(problems, settings.Problem{Name: "metrics-port", Reason: "must be from 1 to 65535"})
	}
	return problems
}

// isHosted reports whether a command is started on the users' platform, that is
// with a settings file by flag or environment variable.
func isHosted(args []string) bool {
	for _, arg := range args {
		if arg == "-node-file" || arg == "--node-file" {
			return true
		}
	}
	return os.Getenv(nodeFileVariable) != ""
}

// hostedProcess is the common part of an entry and a sidecar on the users'
// platform.
type hostedProcess struct {
	path        string
	settings    platform.Settings
	incarnation carobkeel.Incarnation
	store       *platform.Store
	logs        *logging.Factory
	log         *log.Logger
	// metrics is the root scope of all metrics; metricsPage serves them.
	metrics        tally.Scope
	metricsPage    http.Handler
	metricsAddress string
	// explain serves explanations beside /metrics, nil for none.
	explain    http.Handler
	linkListen string
	// intake holds the limits on clients.
	intake *httpintake.Intake
	// hangups receives SIGHUP from the start to the end of the process: the platform may send it at
	// any moment, and its default action ends a process.
	hangups <-chan os.Signal
}

// notifyHangups keeps SIGHUP from ending the process, for good.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// startHosted reads the settings and sets up logging, metrics and the store. Register adds the
// flags of the role. Where it returns false, the command must end with the returned exit code.
func startHosted(name string, args []string, io streams, register func(*flag.FlagSet)) (*hostedProcess, int, bool) {
	hangups := notifyHangups()
	fs := newFlagSet(name, io)
	config := registerHostedFlags(fs)
	register(fs)
	var clients clientLimits
	clients.register(fs)
	logConfig := logging.RegisterFlags(fs)
	if code, ok := parse(fs, args, io, config, &clients, logConfig); !ok {
		return nil, code, false
	}
	s, err := platform.ReadSettings(config.nodeFile)
	if err != nil {
		return nil, fail(io, err), false
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	logConfig.JSON = true
	logs := logging.NewBoundedFactory(*logConfig, io.out)
	scope, page, _ := telemetry.New(telemetry.Config{Interval: metricsInterval})
	h := &hostedProcess{
		metrics:        scope,
		metricsPage:    page,
		metricsAddress: net.JoinHostPort(s.IP, strconv.Itoa(config.metricsPort)),
		linkListen:     config.linkListen,
		path:           config.nodeFile,
		hangups:        hangups,
		settings:       s,
		incarnation:    newIncarnation(),
		store:          platform.NewStore(s.Store, logs.For("store")),
		logs:           logs,
		log:            logs.For(name),
	}
	h.intake = httpintake.New(clients.limits(machineOf(&s)), httpintake.NewMetrics(scope), h.log)
	version, err := buildVersion()
	if err != nil {
		return nil, fail(io, err), false
	}
	h.log.Info().Str("host", s.Host).Str("data_centre", string(s.DataCentre)).
		Stringer("incarnation", h.incarnation).Str("version", version).Msg("started")
	h.logInvalidSeeds(&s)
	return h, exitOK, true
}

// machineOf returns what the settings file lets a process use.
func machineOf(s *platform.Settings) intake.Machine {
	return withDefaults(intake.Machine{MemoryBytes: s.MemoryBytes, Descriptors: s.Descriptors})
}

// flushLogs writes the buffered log lines before the process ends.
func (h *hostedProcess) flushLogs() { _ = h.logs.Close() } // a failed write cannot be logged

// watchSettings calls changed after each change of the settings file until ctx
// ends. The platform may announce a change by SIGHUP; the file is also polled, as
// a change may come without the signal.
func (h *hostedProcess) watchSettings(ctx context.Context, changed func(platform.Settings)) {
	platform.WatchSettings(ctx, h.path, settingsInterval, h.hangups, func(s platform.Settings) {
		h.log.Info().Int("seeds", len(s.SeedHosts)).Msg("settings reloaded")
		h.logInvalidSeeds(&s)
		changed(s)
	}, func(err error) {
		h.log.Error().Err(err).Msg("settings not reloaded; the previous ones stay in use")
	})
}

// logInvalidSeeds logs the seeds that are left out.
func (h *hostedProcess) logInvalidSeeds(s *platform.Settings) {
	if len(s.InvalidSeeds) > 0 {
		h.log.Warn().Int("seeds", len(s.InvalidSeeds)).Str("first", s.InvalidSeeds[0]).Msg("seeds that are no addresses left out")
	}
}

// seedAddresses returns the link addresses of the seed hosts.
func seedAddresses(s *platform.Settings) []string {
	var addresses []string
	for _, host := range s.SeedHosts {
		addresses = append(addresses, s.LinkAddress(host))
	}
	return addresses
}

// serveCallers starts the HTTP server of callers. It is closed when ctx ends.
func (h *hostedProcess) serveCallers(ctx context.Context, address string, handler http.Handler) (*http.Server, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	return h.serve(ctx, h.intake.ListenCallers(listener), handler), nil
}

// serveSide starts the HTTP server of another listener. It is closed when ctx ends.
func (h *hostedProcess) serveSide(ctx context.Context, address string, handler http.Handler) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	h.serve(ctx, h.intake.ListenSide(listener), handler)
	return nil
}

func (h *hostedProcess) serve(ctx context.Context, listener net.Listener, handler http.Handler) *http.Server {
	server := newHTTPServer(handler)
	h.intake.Attach(server)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go serveHTTP(server, listener, h.log)
	return server
}

// serveMetrics starts the server of /metrics and of explanations. It is closed when ctx ends.
func (h *hostedProcess) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.metricsPage)
	if h.explain != nil {
		mux.Handle("POST "+httpapi.ExplainPath, h.explain)
	}
	go h.intake.Run(ctx)
	return h.serveSide(ctx, h.metricsAddress, mux)
}

// listenLinks opens the listener for links of other processes.
func (h *hostedProcess) listenLinks() (net.Listener, error) {
	address := h.linkListen
	if address == "" {
		address = h.settings.LinkAddress(h.settings.IP)
	}
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	return h.intake.ListenSide(listener), nil
}
