package jobs

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/platform/standin"
	"github.com/carobkeel/carobkeel/table"
)

// Ports of each host, which has an address of its own.
const (
	callerPort   = 8161
	workerPort   = 8165
	registryPort = 8166
	readyPort    = 8167
	storePort    = 8169
	linkPort     = 7720
	// Behind the relays of a host are the process's own links and its worker.
	ownLinkPort   = 7721
	ownWorkerPort = 8175
	// successorPort is that of a worker that begins while another has workerPort.
	successorPort = 8185
)

// Hosts are numbered: the store has storeHost, entries and sidecars follow from there.
const (
	storeHost    = 1
	firstEntry   = 11
	firstSidecar = 21
	lastHost     = 254
)

// Bounds of the size of a fleet.
const (
	MaxEntries = firstSidecar - firstEntry
	MaxWorkers = lastHost - firstSidecar + 1
)

const (
	// workerMilliCPU and workerMemoryMB are the capacity of each worker, and hostsPerRack
	// is how many share a rack.
	workerMilliCPU = 32_000
	workerMemoryMB = 128_000
	hostsPerRack   = 3
	// seeds is how many entries the settings name.
	seeds = 3
	// slowestClock is the share by which a worker's clock may be slow.
	slowestClock = 0.02
	readyTimeout = time.Minute
	readyPoll    = 100 * time.Millisecond
	logSuffix    = ".log"
	standinsLog  = "standins" + logSuffix
)

// fleet is a small deployment on loopback addresses: the system's processes, and stand-ins
// of the store and the workers in this process.
type fleet struct {
	binary, folder string
	prefix         string
	entryCount     int
	// neighbours reports that workers send heartbeats to other hosts' sidecars if their own
	// does not acknowledge them.
	neighbours  bool
	workerCount int
	record      *judge.Record
	logs        *logging.Factory
	logFile     *os.File
	store       *standin.Store
	entries     []*process
	// sidecars and workers have the same order.
	sidecars []*process
	workers  []*standin.Worker
	servers  []*http.Server
	links    links
}

// startFleet starts a deployment that logs into a folder. On an error it returns what has
// started, for stop.
func startFleet(ctx context.Context, c Config, folder string) (*fleet, error) {
	f := &fleet{binary: c.Binary, folder: folder, entryCount: c.Entries, workerCount: c.Workers, neighbours: c.Neighbours, record: judge.NewRecord(clock.System{})}
	ready := f.recordStart(c)
	defer ready()
	var err error
	if f.logFile, err = os.Create(filepath.Join(folder, standinsLog)); err != nil {
		return f, errors.WithStack(err)
	}
	f.logs = logging.NewFactory(logging.Config{Level: "info", JSON: true}, f.logFile)
	f.store = standin.NewStore(c.Seed, f.logs.For("store"))
	if err := f.serveStore(); err != nil {
		return f, err
	}
	if err := f.configure(&configuration); err != nil {
		return f, err
	}
	for i := range c.Entries {
		if err := f.addEntry(i); err != nil {
			return f, err
		}
	}
	random := rand.New(rand.NewPCG(c.Seed, uint64(c.Workers)))
	for i := range c.Workers {
		if err := f.addWorker(ctx, i, random); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(ctx)
}

// serveStore serves the store in a loopback network in which its port is free.
func (f *fleet) serveStore() error {
	var err error
	for range 20 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 32+rand.IntN(200), 1+rand.IntN(250))
		if err = f.serve(f.address(storeHost, storePort), f.store.Handler()); err == nil {
			return nil
		}
	}
	return err
}

// configure writes the operator's configuration.
func (f *fleet) configure(config *carobkeel.QueueConfig) error {
	f.record.Add(judge.ConfigurationSent{Config: *config})
	if err := f.store.PutConfiguration(config); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	f.record.Add(judge.ConfigurationAcknowledged{Version: config.Version})
	return nil
}

func entryName(i int) string { return fmt.Sprintf("edge-%d", i+1) }

func sidecarName(i int) string { return fmt.Sprintf("side-%d", i+1) }

func workerName(i int) string { return fmt.Sprintf("worker-%d", i+1) }

func (f *fleet) ip(host int) string { return f.prefix + fmt.Sprint(host) }

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s:%d", f.ip(host), port) }

// caller returns the address of an entry for callers.
func (f *fleet) caller(entry int) string { return f.address(firstEntry+entry, callerPort) }

func (f *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "serve a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// host returns the settings that all hosts have, and opens the relay to the store.
func (f *fleet) host(name string, number int) (standin.Host, error) {
	h := standin.Host{
		Name: name, IP: f.ip(number), LinkPort: linkPort,
		Store: f.address(number, storePort), Registry: f.address(number, registryPort),
	}
	for i := range min(seeds, f.entryCount) {
		h.Seeds = append(h.Seeds, f.address(firstEntry+i, registryPort))
	}
	return h, f.links.open(storeLink, name, h.Store, f.address(storeHost, storePort))
}

func (f *fleet) addEntry(i int) error {
	number, name := firstEntry+i, entryName(i)
	host, err := f.host(name, number)
	if err != nil {
		return err
	}
	host.Caller, host.Ready = f.address(number, callerPort), f.address(number, readyPort)
	listen := f.address(number, ownLinkPort)
	if err := f.links.open(entryLink, name, f.address(number, linkPort), listen); err != nil {
		return err
	}
	p, err := newProcess(f.binary, f.folder, entryRole, host, listen)
	if p != nil {
		f.entries = append(f.entries, p)
	}
	return err
}

func (f *fleet) addWorker(ctx context.Context, i int, random *rand.Rand) error {
	number, name := firstSidecar+i, sidecarName(i)
	host, err := f.host(name, number)
	if err != nil {
		return err
	}
	host.Worker, host.Service = f.address(number, workerPort), service
	own := f.address(number, ownWorkerPort)
	if err := f.links.open(workerLink, name, host.Worker, own); err != nil {
		return err
	}
	config := f.workerConfig(i, host, random)
	config.Listening = f.listening(f.links[len(f.links)-1])
	w := standin.NewWorker(config, f.record, f.logs.For("worker"))
	if err := f.serve(own, w.Handler()); err != nil {
		return err
	}
	f.workers = append(f.workers, w)
	p, err := newProcess(f.binary, f.folder, sidecarRole, host, "")
	if p != nil {
		f.sidecars = append(f.sidecars, p)
	}
	go w.Run(ctx)
	return err
}

// listening returns what lets a link refuse connections while its worker does not listen.
func (f *fleet) listening(l *link) func(listens bool) {
	return func(listens bool) {
		if err := l.listen(listens); err != nil {
			f.logs.For("link").Error().Err(err).Str("host", l.host).Msg("link stays closed")
		}
	}
}

func (f *fleet) workerConfig(i int, host standin.Host, random *rand.Rand) standin.WorkerConfig {
	return standin.WorkerConfig{
		Name: workerName(i), Service: service, Address: host.Worker, Registry: host.Registry,
		Sidecar: host.Name, Neighbours: f.neighboursOf(i), DataCentre: standin.DataCentre, MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB,
		Rack: fmt.Sprintf("r-%d", 1+i/hostsPerRack), ClockSlowness: slowestClock * random.Float64(), Seed: random.Uint64(),
	}
}

// neighboursOf returns the hosts that follow that of a worker, in order.
func (f *fleet) neighboursOf(i int) []standin.Neighbour {
	if !f.neighbours {
		return nil
	}
	var following []standin.Neighbour
	for step := 1; step < f.workerCount; step++ {
		other := (i + step) % f.workerCount
		following = append(following, standin.Neighbour{
			Name: sidecarName(other), Registry: f.address(firstSidecar+other, registryPort),
		})
	}
	return following
}

// awaitReady waits until every entry reports that it is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range f.entries {
		for !standin.Ready(ctx, f.address(firstEntry+i, readyPort)) {
			if clock.Sleep(ctx, readyPoll) != nil {
				return errors.New("entries are not ready in time")
			}
		}
	}
	return nil
}

var holderRow = table.RowID{Table: "holders", Part: "shard-0", Key: "holder"}

// holder returns the entry that wrote its name last into the row of the holder.
func (f *fleet) holder() *process {
	value := f.store.Row(holderRow)
	for _, p := range f.entries {
		if bytes.Contains(value, []byte(p.name)) {
			return p
		}
	}
	return f.entries[0]
}

// endSidecars ends all sidecars and returns the processor time that they took.
func (f *fleet) endSidecars() time.Duration {
	var spent time.Duration
	for _, p := range f.sidecars {
		p.kill()
		spent += time.Duration(p.spent.Load())
	}
	return spent
}

// stop ends all processes and stand-ins.
func (f *fleet) stop() {
	for _, p := range append(f.entries, f.sidecars...) {
		p.kill()
		_ = p.log.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.links.close()
	_ = f.logFile.Close()
}
