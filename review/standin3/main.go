// Command standin3 plays the platform, workers and clients of a small deployment against the
// project's own processes, disturbs them as a scenario says, and judges what ran.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "huvo11a"
	zone    = "zone-a"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// queue is a route of the configuration.
type queue struct {
	name, host, prefix string
	priority           int
	sloMS              int
	stretch            float64
}

var queues = []queue{
	{"r-urgent", "urgent.example", "/urgent/", 0, 300, 1.5},
	{"r-batch", "batch.example", "/batch/", 2, 1000, 2.0},
	{"r-watch", "urgent.example", "/watch/", 0, 2500, 2.2},
}

const (
	urgent = 0
	batch  = 1
	watch  = 2
)

// process is one of the project's own processes.
type process struct {
	name string
	args []string
	file string
	log  *os.File
	mu   sync.Mutex
	cmd  *exec.Cmd
	stop bool
	done chan struct{}
	// started counts the starts.
	started int
}

// fleet is the deployment.
type fleet struct {
	folder, binary, base string
	world                *world
	store                *store
	entries, sidecars    []*process
	fronts               []string
	readies              []string
	workers              []*worker
	trouble              bool
	client               *http.Client
	clients              sync.WaitGroup
	version              int
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("scenario", "", "what is played")
	binary := flag.String("binary", "target/carobkeel", "the project's program")
	record := flag.String("record", "record.txt", "where the record goes")
	logs := flag.String("logs", "", "folder for the logs of the processes, a temporary one where empty")
	flag.Parse()
	scenario, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario")
		return exitNoRun
	}
	f := &fleet{binary: *binary, world: newWorld(), store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	f.folder = *logs
	if f.folder == "" {
		folder, err := os.MkdirTemp("", "standin3-")
		if err != nil {
			return exitNoRun
		}
		defer os.RemoveAll(folder)
		f.folder = folder
	}
	f.client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer f.end()
	if err := f.start(scenario.entries, scenario.workers); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	scenario.play(f)
	f.world.mu.Lock()
	f.world.judge()
	rules := make([]string, 0, len(f.world.broken))
	for rule, cases := range f.world.broken {
		rules = append(rules, fmt.Sprintf("%s %d", rule, len(cases)))
	}
	sort.Strings(rules)
	f.world.note("jobs %d, starts %d, ends as done %d; broken: %s", len(f.world.jobs), f.world.starts, f.world.dones, strings.Join(rules, ", "))
	text := strings.Join(f.world.lines, "\n") + "\n"
	fmt.Println(f.world.lines[len(f.world.lines)-1])
	f.world.mu.Unlock()
	if err := os.WriteFile(*record, []byte(text), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	if len(rules) > 0 {
		return exitBroken
	}
	return exitHeld
}

// freeBase returns the first three numbers of loopback addresses that nobody uses.
func freeBase() (string, error) {
	for range 100 {
		base := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		listener, err := net.Listen("tcp", base+".1:8161")
		if err == nil {
			_ = listener.Close()
			return base, nil
		}
	}
	return "", fmt.Errorf("no free address")
}

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ErrorLog: nil}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (f *fleet) start(entries, workers int) error {
	base, err := freeBase()
	if err != nil {
		return err
	}
	f.base = base
	if err := serve(base+".200:8169", f.store.handler()); err != nil {
		return err
	}
	f.configure(3)
	for i := range entries {
		ip := fmt.Sprintf("%s.%d", base, i+1)
		f.fronts, f.readies = append(f.fronts, ip+":8161"), append(f.readies, ip+":8167")
		p, err := f.process(fmt.Sprintf("edge-%d", i+1), ip, []string{"entry", "-locality-wait"}, map[string]any{
			"machine_class": "edge", "serves": []string{"edge", "ctrl"},
			"listen": map[string]string{"front": ip + ":8161", "ready": ip + ":8167", "control": ip + ":8166"},
		})
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	for range workers {
		if _, err := f.addSide(); err != nil {
			return err
		}
	}
	for _, p := range f.entries {
		go p.keep()
	}
	go f.tick()
	return f.awaitReady()
}

// addSide adds a side machine, with a sidecar and a worker.
func (f *fleet) addSide() (*worker, error) {
	i := len(f.workers)
	ip := fmt.Sprintf("%s.%d", f.base, i+11)
	w := &worker{
		world: f.world, name: fmt.Sprintf("w%d", i+1), address: ip + ":8165", control: ip + ":8166",
		rack: fmt.Sprintf("r1-%d", i/3+1), cpu: 32000, memory: 128000, id: fmt.Sprintf("i-%08x", i+1),
	}
	w.begin()
	if err := serve(w.address, w.handler()); err != nil {
		return nil, err
	}
	p, err := f.process(fmt.Sprintf("side-%d", i+1), ip, []string{"sidecar"}, map[string]any{
		"machine_class": "side", "serves": []string{"side"}, "listen": map[string]string{"control": ip + ":8166"},
		"app": w.address, "service": service,
	})
	if err != nil {
		return nil, err
	}
	f.world.disturb(w.name + " is added")
	f.world.mu.Lock()
	f.workers, f.sidecars = append(f.workers, w), append(f.sidecars, p)
	f.world.mu.Unlock()
	go p.keep()
	go w.beat()
	return w, nil
}

// removeSide empties a worker and takes its machine away.
func (f *fleet) removeSide(i int) {
	w, p := f.workers[i], f.sidecars[i]
	f.world.disturb(w.name + " drains")
	f.world.mu.Lock()
	w.draining = true
	f.world.mu.Unlock()
	time.Sleep(3500 * time.Millisecond)
	if request, err := http.NewRequest(http.MethodDelete, "http://"+w.control+wire.word("instances")+w.id, nil); err == nil {
		if response, err := f.client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	f.world.disturb(w.name + " is gone")
	f.world.mu.Lock()
	w.crash()
	f.world.mu.Unlock()
	p.mu.Lock()
	p.stop = true
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
}

func (f *fleet) awaitReady() error {
	for begun := time.Now(); time.Since(begun) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, address := range f.readies {
			if response, err := f.client.Get("http://" + address + wire.word("ready")); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.readies) {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready")
}

func (f *fleet) tick() {
	for range time.Tick(5 * time.Millisecond) {
		f.world.mu.Lock()
		now := time.Now()
		for _, w := range f.workers {
			w.advance(now)
		}
		f.world.mu.Unlock()
	}
}

// configure writes a version of the configuration.
func (f *fleet) configure(version int) {
	f.version = version
	var routes []map[string]any
	for _, q := range queues {
		route := map[string]any{
			"name": q.name, "host": q.host, "path_prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "objective_ms": q.sloMS,
			"priority": q.priority, "service": service, "max_attempts": 3, "stretch": q.stretch,
		}
		routes = append(routes, route)
	}
	value := wire.encode(map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64, "enforces_capacity": false}},
	})
	f.store.put("op", "config", value)
}

func (f *fleet) process(name, ip string, args []string, own map[string]any) (*process, error) {
	settings := map[string]any{
		"node": name, "role": args[0], "ip": ip, "zone": zone, "region": "region-a", "zones": map[string]string{zone: "region-a"},
		"internal_ports": []int{7720, 7735}, "seeds": []string{f.base + ".1:8166", f.base + ".2:8166", f.base + ".3:8166"}, "bootstrap": true,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir":  nil,
		"discovery": "local", "entry": "vip", "heartbeat_ms": 1100, "orders": "call",
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_lease_ms": 10000,
			"stop_grace_ms": 400, "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
			"status_s": 120, "remote_factor": 1.5, "checkpoint_s": 1, "restore_ms": 250, "lease_ms": 3000, "require_fence": false,
		},
		"advice": f.base + ".201:8169",
		"platform": map[string]any{
			"address": f.base + ".200:8169", "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_timeout_ms": 8.0,
			"part_writes_s": 150, "row_bytes": rowBytes, "cross_partition": false, "history_s": 20,
		},
	}
	for key, value := range own {
		settings[key] = value
	}
	text := wire.encode(settings)
	file := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, err
	}
	return &process{name: name, args: append([]string{f.binary}, args...), file: file, log: log, done: make(chan struct{})}, nil
}

// keep starts the process again whenever it ends, until it is to stop.
func (p *process) keep() {
	defer close(p.done)
	for {
		p.mu.Lock()
		if p.stop {
			p.mu.Unlock()
			return
		}
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Env = append(os.Environ(), "CAROBKEEL_NODE_FILE="+p.file)
		cmd.Stdout, cmd.Stderr = p.log, p.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := cmd.Start()
		p.cmd = cmd
		p.started++
		p.mu.Unlock()
		if err == nil {
			_ = cmd.Wait()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end ends all processes.
func (f *fleet) end() {
	all := append(append([]*process{}, f.entries...), f.sidecars...)
	for _, p := range all {
		p.mu.Lock()
		p.stop = true
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		select {
		case <-p.done:
		case <-time.After(2 * time.Second):
		}
		_ = p.log.Close()
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request of a client and returns the status, zero without an answer.
func (f *fleet) call(method, front string, q int, id string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+front+queues[q].prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = queues[q].host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.word("budget"), "3000")
	response, err := f.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

func (f *fleet) front() string { return f.fronts[rand.IntN(len(f.fronts))] }

// submit hands a job in, and tries again for some time. It returns whether it was accepted.
func (f *fleet) submit(q int, j *job) bool {
	body := wire.encode(j)
	f.world.mu.Lock()
	f.world.jobs[j.ID] = j
	f.world.mu.Unlock()
	for try := range 12 {
		status, _ := f.call(http.MethodPost, f.front(), q, j.ID, body)
		f.world.mu.Lock()
		f.world.note("submit %s try %d: %d", j.ID, try+1, status)
		f.world.mu.Unlock()
		if status == http.StatusOK {
			return true
		}
		if status == http.StatusBadRequest {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (f *fleet) state(q int, id string) (int, string) {
	status, body := f.call(http.MethodGet, f.front(), q, id, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &answer)
	return status, answer.State
}

func (x *world) checkCompleted(j *job) {
	for k := range max(1, j.Repeat) {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				if len(x.history(taskID{j.ID, k, s, i}).doneEnds) == 0 && !j.Steps[s].Gang {
					x.breakRule("MIXED", "%s is shown as completed, %d.%d.%d has not ended as done", j.ID, k, s, i)
					return
				}
			}
		}
	}
}

// holder returns the entry that the store names as the holder, nil for none.
func (f *fleet) holder() *process {
	value := string(f.store.read(rowID{Table: "holders", Part: "shard-0", Key: "holder"}).Value)
	for _, p := range f.entries {
		if strings.Contains(value, p.name) {
			return p
		}
	}
	return nil
}
