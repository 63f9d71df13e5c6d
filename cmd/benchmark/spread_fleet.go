package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/announcer"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/propagator"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/link/impair"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/members"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/upstream"
)

const (
	nearDelay         = 5 * time.Millisecond
	farDelay          = 60 * time.Millisecond
	segmentLoss       = 0.02
	retransmitTimeout = 200 * time.Millisecond
)

// spreadFleet is the entries of all data centres and one node in each.
type spreadFleet struct {
	entries []*spreadProcess
	nodes   []*spreadProcess
	store   *countedTable
	log     *forceLog
	random  *rand.Rand
	edits   int
}

// spreadProcess is one entry, or the sidecar on a node.
type spreadProcess struct {
	address string
	traffic impair.Totals // both ways, at this process
	store   *store.Store
	reader  *propagator.Reader
}

// countedTable counts calls and can be away.
type countedTable struct {
	table.Table
	reads, writes atomic.Int64
	down          atomic.Bool
}

func (t *countedTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if t.down.Load() {
		return table.Row{}, false, table.ErrUnavailable
	}
	t.reads.Add(1)
	return t.Table.Get(ctx, key)
}

func (t *countedTable) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if t.down.Load() {
		return nil, table.ErrUnavailable
	}
	t.reads.Add(1)
	return t.Table.Range(ctx, prefix, after, limit)
}

func (t *countedTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if t.down.Load() {
		return table.Outcome{}, table.ErrUnavailable
	}
	t.writes.Add(1)
	return t.Table.Commit(ctx, txn)
}

// forceLog holds when revisions were accepted and put in force.
type forceLog struct {
	mu       sync.Mutex
	accepts  map[carobkeel.Revision]time.Time
	inForce  map[carobkeel.Revision][]time.Time
	previous map[*spreadProcess]carobkeel.Revision
}

func newForceLog() *forceLog {
	return &forceLog{
		accepts:  make(map[carobkeel.Revision]time.Time),
		inForce:  make(map[carobkeel.Revision][]time.Time),
		previous: make(map[*spreadProcess]carobkeel.Revision),
	}
}

func (l *forceLog) accepted(revision carobkeel.Revision, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepts[revision] = at
}

// forced notes that a process has a revision, and all before it, in force.
func (l *forceLog) forced(p *spreadProcess, revision carobkeel.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for r := l.previous[p] + 1; r <= revision; r++ {
		l.inForce[r] = append(l.inForce[r], now)
	}
	l.previous[p] = max(l.previous[p], revision)
}

// everywhere returns how long each revision took until count processes had it.
func (l *forceLog) everywhere(first, last carobkeel.Revision, count int) ([]time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var times []time.Duration
	for r := first; r <= last; r++ {
		if len(l.inForce[r]) < count {
			return nil, false
		}
		times = append(times, max(0, l.inForce[r][count-1].Sub(l.accepts[r])))
	}
	return times, true
}

// processIP is the loopback number of a process, which tells its data centre.
func processIP(dataCentre, number int) string {
	return fmt.Sprintf("127.%d.0.%d", dataCentre+1, number+1)
}

func regionOf(ip string) int {
	var dataCentre int
	_, _ = fmt.Sscanf(ip, "127.%d.", &dataCentre)
	return (dataCentre - 1) % spreadRegions
}

func wayBetween(a, b string) impair.Config {
	way := impair.Config{Delay: nearDelay, Loss: segmentLoss, Retransmission: retransmitTimeout}
	if regionOf(a) != regionOf(b) {
		way.Delay = farDelay
	}
	return way
}

// impairedListener delays what is sent on the connections it takes, and counts
// both ways for its process.
type impairedListener struct {
	net.Listener
	process *spreadProcess
}

func (l impairedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.process.impair(conn), nil
}

// readCounter counts what is read into a process's traffic.
type readCounter struct {
	net.Conn
	traffic *impair.Totals
}

func (c readCounter) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	c.traffic.Bytes.Add(int64(n))
	c.traffic.Writes.Add(1)
	return n, err
}

func (p *spreadProcess) impair(conn net.Conn) net.Conn {
	local, _, _ := net.SplitHostPort(conn.LocalAddr().String())
	remote, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	random := rand.New(rand.NewPCG(rand.Uint64(), 0))
	return impair.New(readCounter{conn, &p.traffic}, wayBetween(local, remote), random, &p.traffic)
}

func (p *spreadProcess) dial(ip string) eventlink.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		return p.impair(conn), nil
	}
}

func startSpreadFleet(ctx context.Context, seed uint64) (*spreadFleet, error) {
	f := &spreadFleet{
		store:  &countedTable{Table: memory.New()},
		log:    newForceLog(),
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	var listeners []net.Listener
	for i := range spreadDataCentres * spreadEntries {
		listener, err := net.Listen("tcp", processIP(i/spreadEntries, i%spreadEntries)+":0")
		if err != nil {
			return nil, errors.WithStack(err)
		}
		listeners = append(listeners, listener)
		f.entries = append(f.entries, &spreadProcess{address: listener.Addr().String()})
	}
	for i, p := range f.entries {
		if err := f.startEntry(ctx, p, listeners[i]); err != nil {
			return nil, err
		}
	}
	for dc := range spreadDataCentres {
		if err := f.startNode(ctx, dc); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *spreadFleet) startEntry(ctx context.Context, p *spreadProcess, listener net.Listener) error {
	ip, _, _ := net.SplitHostPort(p.address)
	var peers []string
	for _, other := range f.entries {
		if other != p {
			peers = append(peers, other.address)
		}
	}
	logger := logging.Discard().For("entry")
	accepting := eventlink.NewListener(link.EventConfig(), logger)
	dialling := eventlink.NewDialer(peers, link.EventConfig(), logger, func() {})
	dialling.SetDialFunc(p.dial(ip))
	p.store = store.New(store.Config{Table: f.store})
	config := entry.DefaultPropagationConfig()
	config.Peers, config.ReadsStore = len(peers), true
	spread := f.newSpreader(p, config, accepting, dialling)
	p.reader = propagator.NewReader(p.store, spread, propagator.PollInterval)
	known := members.New(members.Config{
		Metrics: members.NewMetrics(tally.NoopScope), Log: logger,
		Accepted: accepting, Dialled: dialling, OnChange: func() {},
		Report: func() entry.Report {
			return entry.Report{Incarnation: 1, DataCentre: "dar-es-salaam-1", Revision: spread.Revision()}
		},
	})
	handlers := []handled{
		{accepting, propagator.Topics, spread.Handle},
		{dialling, propagator.Topics, spread.Handle},
		{accepting, members.AcceptedTopics, known.Handle},
		{dialling, members.DialledTopics, known.Handle},
	}
	if err := runHandlers(ctx, handlers); err != nil {
		return err
	}
	go func() { _ = accepting.Run(ctx, impairedListener{listener, p}) }()
	go spread.Run(ctx)
	go known.Run(ctx)
	go dialling.Run(ctx)
	go p.reader.Run(ctx)
	return nil
}

func (f *spreadFleet) newSpreader(p *spreadProcess, config entry.PropagationConfig, ends ...message.Publisher) *propagator.Propagator {
	return propagator.New(propagator.Config{
		Propagation: config,
		Publishers:  ends,
		Metrics:     propagator.NewMetrics(tally.NoopScope),
		Log:         logging.Discard().For("spread"),
		Install: func(c *carobkeel.Catalogue) {
			if p.store != nil {
				f.log.forced(p, c.Revision)
			}
		},
		Serve: func(bool) {},
	})
}

// steadyUpstream always serves and has no load.
type steadyUpstream struct{}

func (steadyUpstream) Probe(context.Context) upstream.ProbeResult { return upstream.ProbeOK }

func (steadyUpstream) Load() sidecar.Load { return sidecar.Load{} }

// startNode starts a sidecar that is linked to the entries of its data centre.
func (f *spreadFleet) startNode(ctx context.Context, dc int) error {
	p := &spreadProcess{}
	var entries []string
	for _, e := range f.entries {
		if strings.HasPrefix(e.address, fmt.Sprintf("127.%d.", dc+1)) {
			entries = append(entries, e.address)
		}
	}
	logger := logging.Discard().For("node")
	dialling := eventlink.NewDialer(entries, link.EventConfig(), logger, func() {})
	dialling.SetDialFunc(p.dial(processIP(dc, spreadEntries)))
	config := entry.DefaultPropagationConfig()
	config.Peers, config.Leaf = len(entries), true
	spread := f.newSpreader(p, config, dialling)
	if err := runHandlers(ctx, []handled{{dialling, propagator.Topics, spread.Handle}}); err != nil {
		return err
	}
	beside := announcer.New(sidecar.Announcement{
		Incarnation: carobkeel.Incarnation(rand.Uint64()),
		Started:     time.Now(),
		Address:     fmt.Sprintf("10.%d.12.34:7001", dc),
		Service:     "dispatch-desk",
		Location:    carobkeel.Location{DataCentre: "dar-es-salaam-1", Rack: "rack-17", Host: "host-1234"},
		Slots:       8,
	}, dialling, steadyUpstream{}, steadyUpstream{}, logger)
	go spread.Run(ctx)
	go dialling.Run(ctx)
	go beside.Run(ctx)
	f.nodes = append(f.nodes, p)
	return nil
}

// handled is a subscription and its handler.
type handled struct {
	end    message.Subscriber
	topics string
	handle message.NoPublishHandlerFunc
}

func runHandlers(ctx context.Context, list []handled) error {
	for _, h := range list {
		messages, err := h.end.Subscribe(ctx, h.topics)
		if err != nil {
			return err
		}
		go func() {
			for m := range messages {
				_ = h.handle(m)
				m.Ack()
			}
		}()
	}
	return nil
}

// trafficRates are rates a second: bytes both ways at a node and an entry,
// segments at a node, and calls at the store.
type trafficRates struct{ node, nodeWrites, entry, reads, writes float64 }

// traffic measures the rates while work runs.
func (f *spreadFleet) traffic(work func()) trafficRates {
	before, start := f.totals(), time.Now()
	work()
	after, seconds := f.totals(), time.Since(start).Seconds()
	rate := func(a, b float64, among int) float64 { return (b - a) / seconds / float64(among) }
	return trafficRates{
		node:       rate(before.node, after.node, len(f.nodes)),
		nodeWrites: rate(before.nodeWrites, after.nodeWrites, len(f.nodes)),
		entry:      rate(before.entry, after.entry, len(f.entries)),
		reads:      rate(before.reads, after.reads, 1),
		writes:     rate(before.writes, after.writes, 1),
	}
}

func (f *spreadFleet) totals() trafficRates {
	var t trafficRates
	for _, p := range f.nodes {
		t.node += float64(p.traffic.Bytes.Load())
		t.nodeWrites += float64(p.traffic.Writes.Load())
	}
	for _, p := range f.entries {
		t.entry += float64(p.traffic.Bytes.Load())
	}
	t.reads, t.writes = float64(f.store.reads.Load()), float64(f.store.writes.Load())
	return t
}
