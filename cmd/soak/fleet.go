package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	soakService    = "echo"
	soakDataCentre = "soak"
	loopback       = "127.0.0.1:0"
)

// member is the table stand-in, an entry or a sidecar across its restarts.
// Its process is nil before the first start, and for a sidecar also after a
// failed restart.
type member struct {
	// mu serialises the faults that are injected into this entry or sidecar.
	mu      sync.Mutex
	process *process
	// addresses are the listen addresses of an entry by name. They are assigned
	// at the first start and reused at every restart.
	addresses map[string]string
	// upstream is the address of the upstream that a sidecar serves.
	upstream string
}

// fleet is the system under test. The table stand-in, the entries and the
// sidecars are separate processes; the upstreams are servers in this process.
type fleet struct {
	binary   string
	logs     io.Writer
	table    *member
	entries  []*member
	sidecars []*member
	runs     *runCounter
	servers  []*http.Server
	started  time.Time

	disruptionsMu sync.Mutex
	disruptions   []disruption
}

// startFleet starts all processes and upstreams and waits until every entry
// serves requests. On an error it returns what has started, for stop.
func startFleet(ctx context.Context, c config, logs io.Writer) (*fleet, error) {
	f := &fleet{binary: c.binary, logs: logs, table: &member{}, runs: &runCounter{}}
	var err error
	if f.table.process, err = startProcess(ctx, f.binary, logs, "standin-table", "-listen", loopback); err != nil {
		return f, err
	}
	if err := seedCatalogue(ctx, f.table.process.ready["table"]); err != nil {
		return f, err
	}
	for range c.entries {
		entry := &member{addresses: map[string]string{"caller": loopback, "operator": loopback, "link": loopback}}
		f.entries = append(f.entries, entry)
		if err := f.startEntry(ctx, entry); err != nil {
			return f, err
		}
	}
	for range c.sidecars {
		if err := f.addSidecar(ctx); err != nil {
			return f, err
		}
	}
	return f, f.waitServing(ctx)
}

// startEntry starts an entry on its addresses and stores the ones it bound. Its
// peers are the other entries that have already been started.
func (f *fleet) startEntry(ctx context.Context, entry *member) error {
	started, err := startProcess(ctx, f.binary, f.logs, "entry",
		"-listen", entry.addresses["caller"],
		"-operator-listen", entry.addresses["operator"],
		"-link-listen", entry.addresses["link"],
		"-data-centre", soakDataCentre,
		"-table", f.table.process.ready["table"],
		"-peers", strings.Join(f.linksExcept(entry), ","),
	)
	if err != nil {
		return err
	}
	entry.process, entry.addresses = started, started.ready
	return nil
}

// linksExcept returns the link addresses of all entries that have been started,
// except self.
func (f *fleet) linksExcept(self *member) []string {
	var links []string
	for _, entry := range f.entries {
		if link := entry.addresses["link"]; entry != self && link != loopback {
			links = append(links, link)
		}
	}
	return links
}

// addSidecar starts an upstream in this process and a sidecar process for it.
func (f *fleet) addSidecar(ctx context.Context) error {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "start an upstream")
	}
	server := &http.Server{Handler: f.runs, ReadHeaderTimeout: readyTimeout}
	go func() { _ = server.Serve(listener) }()
	f.servers = append(f.servers, server)
	sidecar := &member{upstream: listener.Addr().String()}
	if err := f.startSidecar(ctx, sidecar); err != nil {
		return err
	}
	f.sidecars = append(f.sidecars, sidecar)
	return nil
}

func (f *fleet) startSidecar(ctx context.Context, sidecar *member) error {
	started, err := startProcess(ctx, f.binary, f.logs, "sidecar",
		"-upstream", sidecar.upstream, "-service", soakService,
		"-entries", strings.Join(f.linksExcept(nil), ","), "-data-centre", soakDataCentre,
	)
	sidecar.process = started
	return err
}

// waitServing blocks until every entry answers a request to the service with 200.
func (f *fleet) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, entry := range f.entries {
		for !f.serves(ctx, entry) {
			if ctx.Err() != nil {
				return errors.New("an entry did not serve in time")
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) serves(ctx context.Context, entry *member) bool {
	url := "http://" + entry.addresses["caller"] + "/services/" + soakService + "/"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// injectFault injects a fault and waits until the process runs again.
func (f *fleet) injectFault(ctx context.Context, planned fault) error {
	switch planned.Kind {
	case pauseTable:
		f.table.process.pause(ctx, planned.For)
		return nil
	case killEntry, replaceEntry, pauseEntry:
		return f.injectEntryFault(ctx, planned)
	}
	return f.injectSidecarFault(ctx, planned)
}

func (f *fleet) injectEntryFault(ctx context.Context, planned fault) error {
	entry := f.entries[planned.Target]
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if planned.Kind == replaceEntry {
		if err := entry.process.stop(); err != nil {
			return err
		}
		return f.startEntry(ctx, entry)
	}
	from := time.Since(f.started)
	defer func() { f.recordDisruption(disruption{target: planned.Target, from: from, to: time.Since(f.started)}) }()
	if planned.Kind == pauseEntry {
		entry.process.pause(ctx, planned.For)
		return nil
	}
	entry.process.kill()
	return f.startEntry(ctx, entry)
}

func (f *fleet) recordDisruption(d disruption) {
	f.disruptionsMu.Lock()
	defer f.disruptionsMu.Unlock()
	f.disruptions = append(f.disruptions, d)
}

func (f *fleet) injectSidecarFault(ctx context.Context, planned fault) error {
	sidecar := f.sidecars[planned.Target]
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	switch planned.Kind {
	case pauseSidecar:
		sidecar.process.pause(ctx, planned.For)
		return nil
	case replaceSidecar:
		if err := sidecar.process.stop(); err != nil {
			return err
		}
	case killSidecar:
		sidecar.process.kill()
	}
	return f.startSidecar(ctx, sidecar)
}

// stop kills every started process and closes the upstream servers.
func (f *fleet) stop() {
	var kills sync.WaitGroup
	members := append([]*member{f.table}, f.entries...)
	for _, m := range append(members, f.sidecars...) {
		if m.process != nil {
			kills.Go(m.process.kill)
		}
	}
	kills.Wait()
	for _, server := range f.servers {
		_ = server.Close()
	}
}
