package holder

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// pingInterval is the time between two pings to the holder.
	pingInterval = 250 * time.Millisecond
	// linkSilenceTimeout is how long a peer may send nothing: three pings.
	linkSilenceTimeout = 900 * time.Millisecond
)

func linkConfig() link.Config {
	return link.Config{HeartbeatInterval: pingInterval, SilenceTimeout: linkSilenceTimeout, IdleHeartbeats: true}
}

// peer is a process, a sidecar for instance, that has dialled this node, with its
// link.
type peer struct {
	node *Node
	link *link.Link
	// id names the link in the decisions of the core.
	id dispatch.LinkID
	// role, host, incarnation and linkNumber are set by the hello, which is the first frame.
	// The number counts the links that a sidecar's process has opened.
	role        int
	host        string
	incarnation uint64
	linkNumber  uint64
	// process is the number of the sidecar's process among those of its host, zero before the
	// hello.
	process atomic.Uint32
	// followsOther reports that another process of the host's sidecar had the link before.
	// provesAbsenceAfter is the number of the listing after which this one's listings then
	// show what does not run, zero before the first one. The reading goroutine uses it.
	followsOther       bool
	provesAbsenceAfter uint64
	// pinged is the sequence number of the peer's last ping.
	pinged atomic.Uint64
	// holderAge is how long before its last ping the peer had last received a
	// pong of the holder, in milliseconds. That ping was received at pingedAt.
	holderAge, pingedAt atomic.Int64
	// leftOut limits the log lines about entries left out of messages.
	leftOut logging.RateLimit
}

// Serve accepts links from other processes until ctx ends.
func (n *Node) Serve(ctx context.Context, listener net.Listener) error {
	return link.Accept(ctx, listener, func(err error) {
		n.log.Error().Err(err).Msg("failed to accept links")
	}, func(conn net.Conn) {
		p := n.newPeer(conn)
		go p.run(ctx)
	})
}

// newPeer returns a peer that has dialled this node.
func (n *Node) newPeer(conn net.Conn) *peer {
	return &peer{node: n, id: dispatch.LinkID(n.acceptedLinks.Add(1)), link: link.New(conn, linkConfig())}
}

// coreLink returns the link as the core knows it.
func (p *peer) coreLink() dispatch.Link {
	return dispatch.Link{ID: p.id, Process: carobkeel.Incarnation(p.incarnation)}
}

// run receives the peer's frames until the link ends. If the peer is a sidecar and
// this is still the newest link of its host, run then tells the core that the host
// is lost.
func (p *peer) run(ctx context.Context) {
	err := p.link.Run(ctx, p.handle)
	n := p.node
	if p.role != wire.RoleSidecar || !n.sidecars.CompareAndDelete(p.host, p) {
		return
	}
	n.log.Info().Err(err).Str("host", p.host).Msg("sidecar link ended")
	p.pushLost()
}

// pushLost tells the core that the host is lost, unless the host has a newer link by
// then.
func (p *peer) pushLost() {
	p.node.events.Push(func(l *loop) {
		if _, relinked := p.node.sidecars.Load(p.host); l.core != nil && !relinked {
			l.core.HostLost(p.host)
		}
	})
}

// send sends a message to the peer. A message that can't be encoded is logged and
// dropped.
func (p *peer) send(kind frame.Type, message msgp.Marshaler) {
	if err := wire.Send(p.link, kind, message); err != nil {
		p.node.log.Error().Err(err).Msg("failed to encode message")
	}
}

// handle processes a frame from the peer. An error ends the link.
func (p *peer) handle(f frame.Frame) error {
	if p.role == 0 && f.Type != wire.TypeHello {
		return errors.Errorf("frame of type %d before the hello", f.Type)
	}
	switch f.Type {
	case wire.TypeHello:
		return p.handleHello(f)
	case wire.TypePing:
		return p.handlePing(f)
	case wire.TypeQuery:
		return p.handleQuery(f)
	case wire.TypeDescription, wire.TypeListing, wire.TypeAnswer, wire.TypeWorkerUnreachable, wire.TypeWorkerShutDown:
		return p.handleReport(f)
	}
	return nil
}

func (p *peer) handleHello(f frame.Frame) error {
	if p.role != 0 {
		return errors.New("second hello on a link")
	}
	var hello wire.Hello
	if err := wire.Decode(f, &hello); err != nil {
		return err
	}
	p.role, p.host, p.incarnation, p.linkNumber = hello.Role, hello.Host, hello.Incarnation, hello.Link
	if p.role != wire.RoleSidecar {
		return nil
	}
	if !p.becomeCurrent() {
		return errors.New("the host has a later link, or one of another process that goes on")
	}
	process, followsOther := p.node.recordProcess(p.host, p.incarnation)
	p.followsOther = followsOther
	p.process.Store(uint32(process.processNumber()))
	if process.processNumber() == 0 {
		p.node.log.Error().Str("host", p.host).Msg("no numbers left for processes of the sidecar")
	}
	p.push(func(l *loop) {
		l.core.HostLinked(p.host, p.coreLink())
		l.core.HostPinged(p.host, 0)
	})
	return nil
}

// becomeCurrent makes the link the current one of its host and closes the one before. It
// returns false if that one has to stay.
func (p *peer) becomeCurrent() bool {
	for {
		current, had := p.node.sidecars.LoadOrStore(p.host, p)
		if !had {
			return true
		}
		old := current.(*peer)
		if !p.mayReplace(old) {
			return false
		}
		if p.node.sidecars.CompareAndSwap(p.host, old, p) {
			old.link.Close()
			return true
		}
	}
}

// mayReplace reports whether the link may take the place of its host's current one. A holder
// that was frozen accepts the links of that time in any order, and the hello of a process that
// has ended may arrive late. So only the end of a link shows that its process has ended.
func (p *peer) mayReplace(old *peer) bool {
	if old.incarnation == p.incarnation {
		return old.linkNumber <= p.linkNumber
	}
	select {
	case <-old.link.Done():
		return true
	default:
		return false
	}
}

// push passes an event to the core if this node is the holder and the link is
// the newest one of its host.
func (p *peer) push(handle event) {
	p.node.events.Push(func(l *loop) {
		if l.core != nil && p.isCurrent() {
			handle(l)
		}
	})
}

// isCurrent reports whether the link is the newest one of its host.
func (p *peer) isCurrent() bool {
	current, linked := p.node.sidecars.Load(p.host)
	return linked && current == p
}

// handleReport passes a sidecar's report on its worker to the core.
func (p *peer) handleReport(f frame.Frame) error {
	handle, err := p.decodeReport(f)
	if err != nil {
		return err
	}
	if handle != nil {
		p.push(handle)
	}
	return nil
}

func (p *peer) decodeReport(f frame.Frame) (event, error) {
	switch f.Type {
	case wire.TypeDescription:
		var d wire.Description
		if err := wire.Decode(f, &d); err != nil {
			return nil, err
		}
		return func(l *loop) { l.core.DescribeWorker(p.host, d.Decoded()) }, nil
	case wire.TypeListing:
		return p.decodeListing(f)
	case wire.TypeAnswer:
		var a wire.Answer
		if err := wire.Decode(f, &a); err != nil {
			return nil, err
		}
		answer, err := a.Decoded(p.host)
		if err != nil {
			p.logLeftOut("answer to an order", 1)
			return nil, nil
		}
		return func(l *loop) {
			if l.node.holderState.Load().Row.Epoch == a.Epoch {
				l.core.ApplyAnswer(answer)
			}
		}, nil
	case wire.TypeWorkerUnreachable:
		var s wire.WorkerUnreachable
		if err := wire.Decode(f, &s); err != nil {
			return nil, err
		}
		return func(l *loop) {
			l.core.WorkerUnreachable(p.host, s.Decoded(), s.DecodedLateStarts()...)
		}, nil
	}
	var left wire.WorkerShutDown
	if err := wire.Decode(f, &left); err != nil {
		return nil, err
	}
	return func(l *loop) { l.core.WorkerShutDown(p.host, runs.Incarnation(left.Incarnation)) }, nil
}

// logLeftOut logs entries of a message that can't be used.
func (p *peer) logLeftOut(what string, entries int) {
	if entries == 0 {
		return
	}
	if skipped, ok := p.leftOut.Allow(time.Now()); ok {
		p.node.log.Warn().Str("host", p.host).Str("what", what).Int("entries", entries).Int64("skipped", skipped).
			Msg("entries left out of a message")
	}
}

func (p *peer) decodeListing(f frame.Frame) (event, error) {
	var listing wire.Listing
	if err := wire.Decode(f, &listing); err != nil {
		return nil, err
	}
	decoded, leftOut := listing.Decoded(p.host)
	p.logLeftOut("rows of a listing", leftOut)
	if !p.provesAbsence(&listing) {
		decoded.Partial = true
	}
	return func(l *loop) {
		if l.node.holderState.Load().Row.Epoch == listing.Epoch {
			l.core.ApplyListing(decoded)
		}
	}, nil
}

// provesAbsence reports whether what a listing lacks does not run. The numbers of two
// processes can't be compared, so one that follows another has to request a listing after
// its first one has been sent: then that is later than all that the other one has reported.
func (p *peer) provesAbsence(l *wire.Listing) bool {
	if !p.followsOther {
		return true
	}
	if p.provesAbsenceAfter == 0 {
		p.provesAbsenceAfter = max(l.Requested, l.Number)
	}
	return l.Number > p.provesAbsenceAfter
}

// handleQuery answers a query of another entry.
func (p *peer) handleQuery(f frame.Frame) error {
	var query wire.Query
	if err := wire.Decode(f, &query); err != nil {
		return err
	}
	reply := &wire.Reply{Number: query.Number, IsHolder: p.node.Leading()}
	if reply.IsHolder {
		p.node.answer(&query, reply)
	}
	p.send(wire.TypeReply, reply)
	return nil
}

func (n *Node) answer(query *wire.Query, reply *wire.Reply) {
	switch query.Kind {
	case wire.QueryWaiting:
		reply.Known = true
		reply.Waiting = (*n.waiting.Load())[carobkeel.QueueName(query.Queue)]
		return
	case wire.QueryCancel:
		n.cancelLocally(carobkeel.JobID(query.Job))
	}
	if state, ok := n.states.Load(carobkeel.JobID(query.Job)); ok {
		reply.Known = true
		reply.State = uint8(state.(carobkeel.JobState))
	}
}

func (n *Node) cancelLocally(job carobkeel.JobID) {
	n.events.Push(func(l *loop) {
		if l.core != nil {
			l.core.Cancel(job)
		}
	})
}
