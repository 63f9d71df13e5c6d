package holder

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/scheduler/wire"
)

const (
	// dialTimeout bounds the setting up of a link, whose round trip takes about
	// 11 ms.
	dialTimeout = 400 * time.Millisecond
	// redialPause is the time between two tries to dial the holder.
	redialPause = 60 * time.Millisecond
	// queryTimeout bounds a question to the holder.
	queryTimeout = 400 * time.Millisecond
)

// ErrNoHolder says that no holder of the shard is known or answers now.
var ErrNoHolder = errors.New("no holder of the shard answers")

// holderLink is a link to the node that holds the shard.
type holderLink struct {
	node *Node
	link *link.Link
	// holder is the start of the process that the holder's row names.
	holder uint64
	// heard is when the last pong came.
	heard    atomic.Int64
	leads    atomic.Bool
	storeAge atomic.Int64
	// restarted says that another process answers in the place of the holder.
	restarted atomic.Bool
	number    atomic.Uint64
	// waiting holds a channel for the reply of each query under way.
	waiting sync.Map
}

// keepHolderLink keeps a link to the holder while this node is not it.
func (n *Node) keepHolderLink(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		s := n.standing.Load()
		if s != nil && !s.Leading && s.Row.Address != "" {
			n.dialHolder(ctx, &dialer, s)
		}
		if clock.Sleep(ctx, redialPause) != nil {
			return
		}
	}
}

func (n *Node) dialHolder(ctx context.Context, dialer *net.Dialer, s *Standing) {
	conn, err := dialer.DialContext(ctx, "tcp", s.Row.Address)
	n.refused.Store(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	if err != nil {
		return
	}
	h := &holderLink{node: n, link: link.New(conn, linkConfig()), holder: s.Row.Incarnation}
	linkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.send(wire.TypeHello, &wire.Hello{Role: wire.RoleEntry, Host: n.config.Host, Incarnation: uint64(n.config.Incarnation)})
	go h.ping(linkCtx, s.Row.Epoch)
	n.upstream.Store(h)
	_ = h.link.Run(linkCtx, h.handle)
	n.upstream.CompareAndSwap(h, nil)
}

// ping pings the holder until another one is known.
func (h *holderLink) ping(ctx context.Context, epoch uint64) {
	for sequence := uint64(1); ; sequence++ {
		s := h.node.standing.Load()
		if s.Row.Epoch != epoch || s.Leading {
			h.link.Close()
			return
		}
		h.send(wire.TypePing, &wire.Ping{Sequence: sequence, Epoch: s.Row.Epoch})
		if clock.Sleep(ctx, pingInterval) != nil {
			return
		}
	}
}

func (h *holderLink) send(kind frame.Type, message msgp.Marshaler) {
	if err := wire.Send(h.link, kind, message); err != nil {
		h.node.log.Error().Err(err).Msg("message not encoded")
	}
}

func (h *holderLink) handle(f frame.Frame) error {
	switch f.Type {
	case wire.TypePong:
		var pong wire.Pong
		if err := wire.Decode(f, &pong); err != nil {
			return err
		}
		h.leads.Store(pong.Leads)
		h.restarted.Store(pong.Incarnation != h.holder)
		h.storeAge.Store(pong.StoreAge)
		h.heard.Store(int64(clock.Boottime()))
	case wire.TypeReply:
		var reply wire.Reply
		if err := wire.Decode(f, &reply); err != nil {
			return err
		}
		if waiter, ok := h.waiting.LoadAndDelete(reply.Number); ok {
			waiter.(chan *wire.Reply) <- &reply
		}
	}
	return nil
}

// observe adds what the link tells to an observation.
func (h *holderLink) observe(o *observation) {
	o.heard = time.Duration(h.heard.Load())
	o.leads = h.leads.Load()
	o.restarted = h.restarted.Load()
	o.holderStoreAge = time.Duration(h.storeAge.Load()) * time.Millisecond
}

// ask sends a query and waits for its reply.
func (h *holderLink) ask(ctx context.Context, query wire.Query) (*wire.Reply, error) {
	query.Number = h.number.Add(1)
	waiter := make(chan *wire.Reply, 1)
	h.waiting.Store(query.Number, waiter)
	defer h.waiting.Delete(query.Number)
	h.send(wire.TypeQuery, &query)
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case reply := <-waiter:
		if !reply.Leads {
			return nil, ErrNoHolder
		}
		return reply, nil
	case <-h.link.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, ErrNoHolder
}

// ask answers a query here where this node leads, and passes it on otherwise.
func (n *Node) ask(ctx context.Context, query wire.Query) (*wire.Reply, error) {
	if n.Leading() {
		reply := &wire.Reply{Leads: true}
		n.answer(&query, reply)
		return reply, nil
	}
	up := n.upstream.Load()
	if up == nil {
		return nil, ErrNoHolder
	}
	return up.ask(ctx, query)
}

// State returns the state of a job that the holder knows. The second result is
// false where it does not.
func (n *Node) State(ctx context.Context, job carobkeel.JobID) (carobkeel.JobState, bool, error) {
	reply, err := n.ask(ctx, wire.Query{Kind: wire.QueryState, Job: string(job)})
	if err != nil {
		return 0, false, err
	}
	return carobkeel.JobState(reply.State), reply.Known, nil
}

// Waiting returns how many jobs of a queue have not begun.
func (n *Node) Waiting(ctx context.Context, queue carobkeel.QueueName) (int, error) {
	reply, err := n.ask(ctx, wire.Query{Kind: wire.QueryWaiting, Queue: string(queue)})
	if err != nil {
		return 0, err
	}
	return reply.Waiting, nil
}

// Cancelled tells the holder of a cancellation that is stored. It also hears of
// it from the table service.
func (n *Node) Cancelled(job carobkeel.JobID) {
	if n.Leading() {
		n.cancelHere(job)
		return
	}
	if up := n.upstream.Load(); up != nil {
		up.send(wire.TypeQuery, &wire.Query{Kind: wire.QueryCancel, Job: string(job)})
	}
}
