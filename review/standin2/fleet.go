package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/platform/standin"
)

// Ports of each host, which has a loopback address of its own.
const (
	callerPort   = 8161
	workerPort   = 8165
	registryPort = 8166
	readyPort    = 8167
	storePort    = 8169
	linkPort     = 7720
)

// Hosts are numbered: the store has storeHost, entries and sidecars follow from there.
const (
	storeHost    = 1
	firstEntry   = 11
	firstSidecar = 21
)

const (
	entryCount     = 3
	workerCount    = 3
	workerMilliCPU = 32_000
	workerMemoryMB = 125_000
	readyTimeout   = 20 * time.Second
	poll           = 20 * time.Millisecond
)

const service carobkeel.Service = "dispatch"

// Queues have the limit of time of a caller's request.
var (
	queue = carobkeel.Queue{
		Name: "calls", Host: "desk.example", PathPrefix: "/calls/", Service: service, MaxAttempts: 3,
		Timeout: time.Second, SlowdownFactor: 1.5, Objective: 300 * time.Millisecond,
	}
	batchQueue = carobkeel.Queue{
		Name: "batch", Host: "desk.example", PathPrefix: "/batch/", Service: service, MaxAttempts: 3, Priority: 2,
		Timeout: time.Second, SlowdownFactor: 2, Objective: time.Second,
	}
)

// fleet is a small deployment: the project's processes, and stand-ins of the store and the
// workers.
type fleet struct {
	record    *record
	prefix    string
	caller    *standin.Caller
	rows      *standin.Store
	store     *lossyStore
	workers   []*lateWorker
	servers   []*http.Server
	processes []*process
	// listeners are those at addresses of hosts without power.
	listeners []net.Listener
}

func startFleet(ctx context.Context, binary, folder string, r *record) (*fleet, error) {
	f := &fleet{record: r, caller: standin.NewCaller()}
	store := standin.NewStore(1, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	f.rows, f.store = store, &lossyStore{inner: store.Handler(), record: r}
	if err := f.serveStore(); err != nil {
		return f, err
	}
	config := carobkeel.QueueConfig{
		Version: 7, Queues: []carobkeel.Queue{queue, batchQueue}, Pools: []carobkeel.WorkerPool{{Service: service}}, MaxBodyBytes: 256 << 10,
	}
	if err := store.PutConfiguration(&config); err != nil {
		return f, err
	}
	for i := range entryCount {
		host := f.host(fmt.Sprintf("edge-%d", i+1), firstEntry+i)
		host.Caller, host.Ready = f.entry(i), f.address(firstEntry+i, readyPort)
		if err := f.start(binary, folder, "entry", host); err != nil {
			return f, err
		}
	}
	for i := range workerCount {
		if err := f.addWorker(ctx, binary, folder, i); err != nil {
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
		if err = f.serve(f.address(storeHost, storePort), f.store); err == nil {
			return nil
		}
	}
	return err
}

func (f *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s%d:%d", f.prefix, host, port) }

// entry returns the address of an entry for callers.
func (f *fleet) entry(i int) string { return f.address(firstEntry+i, callerPort) }

func (f *fleet) host(name string, number int) standin.Host {
	h := standin.Host{
		Name: name, IP: fmt.Sprintf("%s%d", f.prefix, number), LinkPort: linkPort,
		Store: f.address(storeHost, storePort), Registry: f.address(number, registryPort),
	}
	for i := range entryCount {
		h.Seeds = append(h.Seeds, f.address(firstEntry+i, registryPort))
	}
	return h
}

func (f *fleet) addWorker(ctx context.Context, binary, folder string, i int) error {
	number := firstSidecar + i
	host := f.host(fmt.Sprintf("side-%d", i+1), number)
	host.Worker, host.Service = f.address(number, workerPort), service
	w := newLateWorker(standin.WorkerConfig{
		Name: fmt.Sprintf("worker-%d", i+1), Service: service, Address: host.Worker, Registry: host.Registry, Sidecar: host.Name,
		DataCentre: standin.DataCentre, MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB, Rack: "r-1", Seed: uint64(i),
	}, f.record)
	f.workers = append(f.workers, w)
	if err := f.serve(host.Worker, w); err != nil {
		return err
	}
	if err := f.start(binary, folder, "sidecar", host); err != nil {
		return err
	}
	go w.worker.Run(ctx)
	return nil
}

// start starts one of the project's programs with the command of the deploy file.
func (f *fleet) start(binary, folder, role string, host standin.Host) error {
	settings, err := host.Encode()
	if err != nil {
		return err
	}
	path := filepath.Join(folder, host.Name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	p := &process{name: host.Name, role: role, binary: binary, settings: path, logs: filepath.Join(folder, host.Name+".log")}
	f.processes = append(f.processes, p)
	return p.start()
}

// awaitReady waits until each entry is ready and a first job has run.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range entryCount {
		for !standin.Ready(ctx, f.address(firstEntry+i, readyPort)) {
			if !sleep(ctx, poll) {
				return errors.New("entries are not ready in time")
			}
		}
	}
	first := newJob(1, 1000, 100*time.Millisecond)
	for f.submit(ctx, 0, first).Answer != judge.AnswerAccepted {
		if !sleep(ctx, poll) {
			return errors.New("no job is accepted in time")
		}
	}
	for f.caller.State(ctx, f.entry(0), first).State != carobkeel.JobCompleted {
		if !sleep(ctx, poll) {
			return errors.New("the first job is not done in time")
		}
	}
	f.record.note("case", "the first job is done")
	return nil
}

// newJob returns a job of one step.
func newJob(tasks int, milliCPU int64, work time.Duration) *carobkeel.JobSpec {
	return &carobkeel.JobSpec{
		ID: carobkeel.JobID(fmt.Sprintf("%016x", rand.Uint64())), Queue: queue, Payload: standin.Spec(work, false),
		Steps: []carobkeel.Step{{Count: tasks, Demand: carobkeel.Resources{MilliCPU: milliCPU, MemoryBytes: 960 << 20}, Estimate: work}},
	}
}

// submit submits a job through an entry, and records that.
func (f *fleet) submit(ctx context.Context, entry int, job *carobkeel.JobSpec) standin.Reply {
	f.record.note("caller", "sends job %s to edge-%d", job.ID, entry+1)
	reply := f.caller.Submit(ctx, f.entry(entry), job, func() {})
	f.record.note("caller", "gets %s to job %s", describe(reply), job.ID)
	return reply
}

func describe(reply standin.Reply) string {
	if reply.Status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("status %d", reply.Status)
}

// stop ends all processes and stand-ins.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.kill()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
}

// sleep returns false if the time of the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
