package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

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
)

// Hosts are numbered: the store has storeHost, entries and sidecars follow from there.
const (
	storeHost    = 1
	firstEntry   = 11
	firstSidecar = 21
)

const (
	callerHost = "desk.example"
	service    = "dispatch"
	// program is what the deploy file names.
	program = "target/carobkeel"
)

// process is one of the project's programs.
type process struct {
	name     string
	role     string
	settings string
	log      *os.File
	command  *exec.Cmd
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	prefix  string
	folder  string
	store   *store
	record  *record
	entries []*process
	// sidecars and workers have the same order.
	sidecars []*process
	workers  []*worker
	done     chan struct{}
}

// newFleet starts a deployment with entries, and with a worker for each capacity.
func newFleet(entries int, capacities []int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, store: newStore(), record: newRecord(), done: make(chan struct{})}
	if err := f.choosePrefix(); err != nil {
		return f, err
	}
	if err := f.store.put("op", "config", f.config()); err != nil {
		return f, err
	}
	for i := range entries {
		if err := f.addEntry(i); err != nil {
			return f, err
		}
	}
	for i, capacity := range capacities {
		if err := f.addWorker(i, capacity); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// choosePrefix finds a loopback network in which the store's port is free, and serves the
// store there.
func (f *fleet) choosePrefix() error {
	var err error
	for range 20 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 32+rand.IntN(200), 1+rand.IntN(250))
		if err = serve(f.address(storeHost, storePort), f.store.handler()); err == nil {
			return nil
		}
	}
	return err
}

func (f *fleet) ip(host int) string { return f.prefix + fmt.Sprint(host) }

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s:%d", f.ip(host), port) }

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return nil
}

// route is a queue of the operator's configuration.
func route(name, prefix string, priority, timeout, objective int, stretch float64) map[string]any {
	return map[string]any{
		"name": name, "host": callerHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": timeout, "objective_ms": objective,
		"priority": priority, "service": service, "max_attempts": 3, "stretch": stretch,
	}
}

func (f *fleet) config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("r-gate", gateQueue, 0, 3000, 300, 1.5),
			route("r-roster", rosterQueue, 2, 3000, 1000, 2),
		},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 64, "enforces_capacity": false, "standby": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	}
}

func (f *fleet) settingsOf(node, class string, host int) map[string]any {
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, f.address(firstEntry+i, registryPort))
	}
	return map[string]any{
		"node": node, "machine_class": class, "ip": f.ip(host), "zone": "zone-a", "region": "region-a",
		"zones": map[string]string{"zone-a": "region-a"}, "internal_ports": []int{linkPort, linkPort + 15}, "seeds": seeds,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": heartbeatInterval.Milliseconds(), "orders": "call", "discovery": "local",
		"bounds":   map[string]any{"max_lease_ms": maxHold.Milliseconds(), "stop_grace_ms": 400, "gang_wait_ms": 3000, "cancel_ms": 3000, "lease_ms": 3000},
		"platform": map[string]any{"address": f.address(storeHost, storePort), "form": "table", "row_bytes": rowBytes, "history_s": 20},
	}
}

func (f *fleet) addEntry(i int) error {
	host, name := firstEntry+i, fmt.Sprintf("edge-%d", i+1)
	settings := f.settingsOf(name, "edge", host)
	settings["serves"] = []string{"edge", "ctrl"}
	settings["listen"] = map[string]string{
		"front": f.address(host, callerPort), "ready": f.address(host, readyPort), "control": f.address(host, registryPort),
	}
	p, err := f.newProcess(name, "entry", settings)
	f.entries = append(f.entries, p)
	return err
}

func (f *fleet) addWorker(i, capacity int) error {
	host, name := firstSidecar+i, fmt.Sprintf("side-%d", i+1)
	settings := f.settingsOf(name, "side", host)
	settings["serves"] = []string{"side"}
	settings["listen"] = map[string]string{"control": f.address(host, registryPort)}
	settings["app"], settings["service"] = f.address(host, workerPort), service
	w := newWorker(fmt.Sprintf("worker-%d", i+1), service, f.address(host, workerPort), f.address(host, registryPort), capacity,
		fmt.Sprintf("r-%d", 1+i/3), f.record)
	if err := serve(w.address, w.handler()); err != nil {
		return err
	}
	f.workers = append(f.workers, w)
	p, err := f.newProcess(name, "sidecar", settings)
	f.sidecars = append(f.sidecars, p)
	go w.run(f.done)
	go w.beats(f.done)
	return err
}

func (f *fleet) newProcess(name, role string, settings map[string]any) (*process, error) {
	data, err := wire.encode(settings)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, role: role, settings: filepath.Join(f.folder, name+".json")}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return p, err
	}
	if p.log, err = os.Create(filepath.Join(f.folder, name+".log")); err != nil {
		return p, err
	}
	return p, p.start()
}

// start starts the process, again after it was ended.
func (p *process) start() error {
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAROBKEEL_NODE_FILE=" + p.settings}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.command.Start()
}

// kill ends the process at once.
func (p *process) kill() {
	if p == nil || p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// awaitReady waits until every entry reports that it is ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for i := range f.entries {
		for {
			response, err := http.Get("http://" + f.address(firstEntry+i, readyPort) + wire.word("ready"))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New("entries are not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// busiest returns the number of the worker with the most runs.
func (f *fleet) busiest() int {
	busiest := 0
	for i, w := range f.workers {
		if w.tasks() > f.workers[busiest].tasks() {
			busiest = i
		}
	}
	return busiest
}

// holder returns the number of the entry that wrote its name last into the row of the
// holder, which the store knows.
func (f *fleet) holder() int {
	row, _, _ := f.store.rows.Get(context.Background(), table.RowID{Table: "holders", Part: "shard-0", Key: "holder"})
	for i, p := range f.entries {
		if bytes.Contains(row.Value, []byte(p.name)) {
			return i
		}
	}
	return 0
}

// freeze stops the process of an entry for a time.
func (f *fleet) freeze(entry int, d time.Duration) {
	p := f.entries[entry]
	f.record.note("freeze  %s, which holds the shard, for %v", p.name, d.Round(time.Millisecond))
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.command.Process.Signal(syscall.SIGCONT)
	f.record.note("wake    %s", p.name)
}

// stop ends all processes. It keeps their logs where KEEP_LOGS names a folder.
func (f *fleet) stop() {
	for _, p := range append(f.entries, f.sidecars...) {
		p.kill()
	}
	close(f.done)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.folder))
	}
	_ = os.RemoveAll(f.folder)
}
