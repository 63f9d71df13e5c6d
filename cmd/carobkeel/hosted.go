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
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/internal/settings"
	"github.com/carobkeel/carobkeel/internal/telemetry"
	"github.com/carobkeel/carobkeel/platform"
)

const (
	// nodeFileVariable names the settings file of the platform that a process
	// is hosted on. It is also the variable of the flag -node-file.
	nodeFileVariable = settings.EnvironmentPrefix + "_NODE_FILE"
	// shard is the part of the tables that all hosts belong to at today's size.
	shard = "shard-0"
	// workerLease is how long a worker's lease runs from a ping of its sidecar:
	// longer than a takeover with its detection, shorter than lost work may wait.
	workerLease = 3500 * time.Millisecond
	// metricsInterval is how often metrics are copied to their page: as often as
	// the platform reads it.
	metricsInterval = 5 * time.Second
	maxPort         = 65535
	// settingsInterval is how often the settings file is looked at.
	settingsInterval = 2 * time.Second
	// memoryShare is the part of a host's memory that the runtime keeps to.
	memoryShare = 0.7
)

// hostedConfig is the settings of a process on the users' platform.
type hostedConfig struct {
	nodeFile string
	// metricsPort is the port of the host's own address at which metrics are
	// served.
	metricsPort int
}

func registerHostedFlags(fs *flag.FlagSet) *hostedConfig {
	c := &hostedConfig{}
	fs.StringVar(&c.nodeFile, "node-file", "", "settings file of the platform that hosts this process")
	fs.IntVar(&c.metricsPort, "metrics-port", 9464, "port of the host's address for /metrics")
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

// isHosted reports whether a command is to run on the users' platform.
func isHosted(args []string) bool {
	for _, arg := range args {
		if arg == "-node-file" || arg == "--node-file" {
			return true
		}
	}
	return os.Getenv(nodeFileVariable) != ""
}

// hosted is what the processes on the platform have alike.
type hosted struct {
	path        string
	settings    platform.Settings
	incarnation carobkeel.Incarnation
	store       *platform.Store
	logs        *logging.Factory
	log         *log.Logger
	// metrics is the scope of all metrics, metricsPage serves them.
	metrics        tally.Scope
	metricsPage    http.Handler
	metricsAddress string
}

// startHosted reads the settings. Where it returns false the command ends with
// the exit code.
func startHosted(name string, args []string, io streams) (*hosted, int, bool) {
	fs := newFlagSet(name, io)
	config := registerHostedFlags(fs)
	logConfig := logging.RegisterFlags(fs)
	if code, ok := parse(fs, args, io, config, logConfig); !ok {
		return nil, code, false
	}
	s, err := platform.ReadSettings(config.nodeFile)
	if err != nil {
		return nil, fail(io, err), false
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	logConfig.JSON = true
	logs := logging.NewBoundedFactory(*logConfig, io.out)
	scope, page, _ := telemetry.New(telemetry.Config{Interval: metricsInterval})
	h := &hosted{
		metrics:        scope,
		metricsPage:    page,
		metricsAddress: net.JoinHostPort(s.IP, strconv.Itoa(config.metricsPort)),
		path:           config.nodeFile,
		settings:       s,
		incarnation:    newIncarnation(),
		store:          platform.NewStore(s.Store),
		logs:           logs,
		log:            logs.For(name),
	}
	version, err := buildVersion()
	if err != nil {
		return nil, fail(io, err), false
	}
	h.log.Info().Str("host", s.Host).Str("data_centre", string(s.DataCentre)).
		Stringer("incarnation", h.incarnation).Str("version", version).Msg("started")
	return h, exitOK, true
}

// writeLogs writes the lines that wait, before the process ends.
func (h *hosted) writeLogs() { _ = h.logs.Close() } // a failed write can't be logged

// watchSettings follows changes of the settings file until ctx ends. SIGHUP
// tells of one; it may also come without.
func (h *hosted) watchSettings(ctx context.Context, changed func(platform.Settings)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	platform.WatchSettings(ctx, h.path, settingsInterval, signals, func(s platform.Settings) {
		h.log.Info().Int("seeds", len(s.SeedHosts)).Msg("settings reloaded")
		changed(s)
	}, func(err error) {
		h.log.Error().Err(err).Msg("settings stay as they are")
	})
}

// seedAddresses returns the addresses of the links of the seeds.
func seedAddresses(s *platform.Settings) []string {
	var addresses []string
	for _, host := range s.SeedHosts {
		addresses = append(addresses, s.LinkAddress(host))
	}
	return addresses
}

// serve serves HTTP on an address until ctx ends.
func (h *hosted) serve(ctx context.Context, address string, handler http.Handler) (*http.Server, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	server := newHTTPServer(handler)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go serveHTTP(server, listener, h.log)
	return server, nil
}

// serveMetrics serves /metrics until ctx ends.
func (h *hosted) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.metricsPage)
	_, err := h.serve(ctx, h.metricsAddress, mux)
	return err
}

// listenLinks opens the listener for links of other processes.
func (h *hosted) listenLinks() (net.Listener, error) {
	return listen(h.settings.LinkAddress(h.settings.IP))
}
