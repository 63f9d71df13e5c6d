package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// pingInterval is the interval of the pings to each entry.
	pingInterval = 300 * time.Millisecond
	// linkSilenceTimeout is how long an entry may send nothing: three pings.
	linkSilenceTimeout = 900 * time.Millisecond
	// linkDialTimeout bounds the time to connect to an entry. A round trip takes
	// about 11 ms.
	linkDialTimeout = 500 * time.Millisecond
	// minRedialDelay and maxRedialDelay are the least and the greatest delay before an
	// entry is dialled again.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// stableLinkTime is how long a link must have lasted for the next one to be dialled
	// after minRedialDelay.
	stableLinkTime = time.Second
	// discoveryInterval is the interval at which the list of entries is read, and
	// linkedDiscoveryInterval the one while there is a link to the holder.
	discoveryInterval       = time.Second
	linkedDiscoveryInterval = 5 * time.Second
)

// entryLink is the link to one entry.
type entryLink struct {
	agent   *Agent
	address string
	link    *link.Link
	// pingTimes holds the sending times of the last pings, by sequence number
	// modulo pingWindow.
	pingTimes [pingWindow]atomic.Int64
	sequence  atomic.Uint64
	// currentTerm is the last one in which the entry has answered as the holder, nil if it has
	// not.
	currentTerm atomic.Pointer[gate.Term]
	// leftOut limits the log lines about orders that can't be decoded.
	leftOut logging.RateLimit
}

// pingWindow is the number of pings whose sending times are kept. Answers to older
// pings are ignored, and starts that were decided after older pings have expired.
const pingWindow = 32

// term returns the last term in which the entry has answered as the holder.
func (l *entryLink) term() gate.Term {
	if term := l.currentTerm.Load(); term != nil {
		return *term
	}
	return gate.Term{}
}

// maintainLinks maintains a link to each known entry until ctx ends.
func (a *Agent) maintainLinks(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	defer func() {
		for _, cancel := range running {
			cancel()
		}
	}()
	for ctx.Err() == nil {
		a.updateLinks(ctx, running)
		interval := discoveryInterval
		if a.holderLink.Load() != nil {
			interval = linkedDiscoveryInterval
		}
		wait(ctx, a.holderLost, interval)
	}
}

// updateLinks starts a link to each new entry and ends those to entries that are
// neither seeds nor discovered. No link is ended if the list of entries can't be read.
func (a *Agent) updateLinks(ctx context.Context, running map[string]context.CancelFunc) {
	wanted := make(map[string]bool)
	for _, address := range *a.seeds.Load() {
		wanted[address] = true
	}
	found, err := a.findEntries(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("failed to read the list of entries")
	}
	for _, address := range found {
		wanted[address] = true
	}
	for address := range wanted {
		if running[address] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			running[address] = cancel
			go a.maintainLink(linkCtx, address)
		}
	}
	for address, cancel := range running {
		if err == nil && !wanted[address] {
			cancel()
			delete(running, address)
		}
	}
}

// maintainLink dials one entry and runs the link, again whenever it ends, until ctx
// ends.
func (a *Agent) maintainLink(ctx context.Context, address string) {
	delay := minRedialDelay
	dialer := net.Dialer{Timeout: linkDialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil && a.runLink(ctx, address, conn) >= stableLinkTime {
			delay = minRedialDelay
		}
		if clock.Sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// runLink runs a link over the connection, and returns how long it lasted.
func (a *Agent) runLink(ctx context.Context, address string, conn net.Conn) time.Duration {
	started := clock.Boottime()
	config := link.Config{HeartbeatInterval: pingInterval, SilenceTimeout: linkSilenceTimeout, IdleHeartbeats: true}
	l := &entryLink{agent: a, address: address, link: link.New(conn, config)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.send(wire.TypeHello, &wire.Hello{
		Role: wire.RoleSidecar, Host: a.config.Host, Incarnation: uint64(a.config.Incarnation), Link: a.openedLinks.Add(1),
	})
	go l.sendPings(ctx)
	err := l.link.Run(ctx, l.handle)
	a.linkEnded(l, err)
	return clock.Boottime() - started
}

// linkEnded records the end of a link.
func (a *Agent) linkEnded(l *entryLink, err error) {
	if !a.holderLink.CompareAndSwap(l, nil) {
		return
	}
	signal(a.holderLost) // the next holder may be an entry that is not known yet
	a.log.Warn().Err(err).Str("entry", l.address).Msg("link to the holder lost")
}

func (l *entryLink) send(kind frame.Type, message msgp.Marshaler) {
	if err := wire.Send(l.link, kind, message); err != nil {
		l.agent.log.Error().Err(err).Msg("failed to encode message")
	}
}

// sendPings sends pings at pingInterval until ctx ends.
func (l *entryLink) sendPings(ctx context.Context) {
	for {
		l.ping()
		if clock.Sleep(ctx, pingInterval) != nil {
			return
		}
	}
}

func (l *entryLink) ping() {
	holder := l.agent.holder.Load()
	age := int64(-1)
	now := clock.Boottime()
	if holder.Known {
		age = (now - holder.Confirmed).Milliseconds()
	}
	sequence := l.sequence.Add(1)
	l.pingTimes[sequence%pingWindow].Store(int64(now))
	l.send(wire.TypePing, &wire.Ping{Sequence: sequence, HolderAge: age, Epoch: uint64(holder.Epoch)})
}

// pingTime returns the sending time of a ping. It returns false for pings that were not
// sent on this link, and for those older than pingWindow.
func (l *entryLink) pingTime(number uint64) (time.Duration, bool) {
	// A slot is reused only after the last number has risen, so the number is read last.
	sentAt := time.Duration(l.pingTimes[number%pingWindow].Load())
	last := l.sequence.Load()
	return sentAt, number > 0 && number <= last && last-number < pingWindow
}

func (l *entryLink) handle(f frame.Frame) error {
	switch f.Type {
	case wire.TypePong:
		var pong wire.Pong
		if err := wire.Decode(f, &pong); err != nil {
			return err
		}
		l.handlePong(&pong)
	case wire.TypeOrders:
		var orders wire.Orders
		if err := wire.Decode(f, &orders); err != nil {
			return err
		}
		l.handleOrders(&orders)
	}
	return nil
}

// handlePong records the entry as the holder if the pong states that it leads the shard, may
// extend leases, and has numbered this process.
func (l *entryLink) handlePong(pong *wire.Pong) {
	a := l.agent
	pingTime, known := l.pingTime(pong.Sequence)
	if !pong.IsHolder {
		a.updateHolder(func(h gate.Holder) (gate.Holder, bool) { return h.Observe(carobkeel.Epoch(pong.Epoch)), true })
	}
	if !pong.IsHolder || !pong.ExtendsLease || !known || pong.Process == 0 {
		return
	}
	term := gate.Term{Epoch: carobkeel.Epoch(pong.Epoch), Process: runs.ProcessNumber(pong.Process)}
	if !a.confirm(term, pingTime) {
		return
	}
	changed := l.setTerm(term)
	if old := a.holderLink.Swap(l); old != l || changed {
		a.metrics.HoldersFound.Inc(1)
		a.log.Info().Str("entry", l.address).Uint64("epoch", pong.Epoch).Uint32("process", pong.Process).Msg("holder found")
		a.sendDescription(l)
		if incarnation := a.leftIncarnation.Load(); incarnation != nil {
			a.sendLeft(l, *incarnation)
		}
		go a.listForNewHolder(l)
	}
}

// setTerm records the term in which the entry has answered, and reports whether it is another
// one than before.
func (l *entryLink) setTerm(term gate.Term) bool {
	old := l.currentTerm.Swap(&term)
	return old == nil || *old != term
}

// confirm records an answer of a holder. It returns false for an answer in an earlier term.
func (a *Agent) confirm(term gate.Term, pingTime time.Duration) bool {
	return a.updateHolder(func(h gate.Holder) (gate.Holder, bool) {
		return h.Confirm(term, pingTime), !term.Less(h.Term)
	})
}

// updateHolder replaces the record of the holder by what change makes of it, unless change
// rejects it.
func (a *Agent) updateHolder(change func(gate.Holder) (gate.Holder, bool)) bool {
	for {
		old := a.holder.Load()
		next, accepted := change(*old)
		if !accepted {
			return false
		}
		if next == *old || a.holder.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// handleOrders queues the orders for execution, except those that can't be decoded.
func (l *entryLink) handleOrders(orders *wire.Orders) {
	decoded, leftOut := orders.Decoded()
	for _, err := range leftOut {
		l.logLeftOut(err)
	}
	for _, order := range decoded {
		if order.Kind == dispatch.OrderStop {
			l.agent.withdrawn.Store(runKeyOf(order), true)
		}
		l.agent.orders.Push(receivedOrder{order: order, epoch: carobkeel.Epoch(orders.Epoch), link: l})
	}
}

func (l *entryLink) logLeftOut(err error) {
	if skipped, ok := l.leftOut.Allow(time.Now()); ok {
		l.agent.log.Warn().Err(err).Str("entry", l.address).Int64("skipped", skipped).Msg("order left out")
	}
}

// sendDescription describes the worker to the holder, once it has answered at its address.
func (a *Agent) sendDescription(l *entryLink) {
	if state := a.state.Load(); l != nil && state.Verified {
		l.send(wire.TypeDescription, wire.FromDescription(*state.Description))
	}
}

func (a *Agent) sendLeft(l *entryLink, incarnation runs.Incarnation) {
	if l != nil {
		l.send(wire.TypeWorkerShutDown, &wire.WorkerShutDown{Incarnation: wire.WorkerIncarnation(incarnation)})
	}
}
