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
	// dialTimeout bounds the set-up of a link, whose round trip takes about
	// 11 ms.
	dialTimeout = 400 * time.Millisecond
	// redialInterval is the pause between two attempts to dial the holder.
	redialInterval = 60 * time.Millisecond
	// queryTimeout bounds a query to the holder.
	queryTimeout = 400 * time.Millisecond
)

// ErrNoHolder reports that no holder of the shard is known, or that it does not
// answer.
var ErrNoHolder = errors.New("no holder of the shard answers")

// holderLink is a link to the node that holds the shard.
type holderLink struct {
	node *Node
	link *link.Link
	// holder is the incarnation of the process that the holder row names.
	holder uint64
	// lastPong is when the last pong was received.
	lastPong    atomic.Int64
	holderLeads atomic.Bool
	// holderTakesOver is whether the holder stated with the last pong that it takes
	// over. takingOver is set between that statement and the pong, by the link's
	// reading goroutine.
	holderTakesOver atomic.Bool
	takingOver      bool
	storeAge        atomic.Int64
	// decisionAge is how long before its last answer the holder last made decisions, in milliseconds.
	decisionAge atomic.Int64
	// jobMemory is what the holder stated with its last answer, nil before.
	jobMemory atomic.Pointer[JobMemory]
	// view is the newest view of the shard's load that the holder has sent, nil for none.
	view atomic.Pointer[admissionView]
	// restarted reports that another incarnation answers at the holder's
	// address.
	restarted atomic.Bool
	lastQuery atomic.Uint64
	// pendingQueries maps the number of each query in flight to the channel for
	// its reply.
	pendingQueries sync.Map
}

// keepHolderLink keeps a link to the holder while another node is the holder.
func (n *Node) keepHolderLink(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		s := n.holderState.Load()
		if s != nil && !s.Leading && s.Row.Address != "" {
			n.dialHolder(ctx, &dialer, s)
		}
		if clock.Sleep(ctx, redialInterval) != nil {
			return
		}
	}
}

func (n *Node) dialHolder(ctx context.Context, dialer *net.Dialer, s *HolderState) {
	conn, err := dialer.DialContext(ctx, "tcp", s.Row.Address)
	// What an earlier holder's address does says nothing of the present one.
	if n.holderState.Load() == s {
		n.holderRefuses.Store(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	}
	if err != nil {
		return
	}
	h := &holderLink{node: n, link: link.New(conn, linkConfig()), holder: s.Row.Incarnation}
	linkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.send(wire.TypeHello, &wire.Hello{Role: wire.RoleEntry, Host: n.config.Host, Incarnation: uint64(n.config.Incarnation)})
	go h.ping(linkCtx, s.Row.Epoch)
	n.linkToHolder.Store(h)
	_ = h.link.Run(linkCtx, h.handle)
	n.linkToHolder.CompareAndSwap(h, nil)
}

// ping pings the holder until the holder changes.
func (h *holderLink) ping(ctx context.Context, epoch uint64) {
	for sequence := uint64(1); ; sequence++ {
		s := h.node.holderState.Load()
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
		h.node.log.Error().Err(err).Msg("failed to encode message")
	}
}

func (h *holderLink) handle(f frame.Frame) error {
	switch f.Type {
	case wire.TypePong:
		var pong wire.Pong
		if err := wire.Decode(f, &pong); err != nil {
			return err
		}
		h.holderLeads.Store(pong.IsHolder)
		h.holderTakesOver.Store(h.takingOver)
		h.takingOver = false
		h.restarted.Store(pong.Incarnation != h.holder)
		h.storeAge.Store(pong.StoreAge)
		h.decisionAge.Store(pong.DecisionAge)
		h.jobMemory.Store(&JobMemory{Used: pong.JobBytes, Limit: pong.MaxJobBytes})
		h.lastPong.Store(int64(clock.Boottime()))
	case wire.TypeTakingOver:
		h.takingOver = true
	case wire.TypeAdmissionView:
		return h.handleView(f)
	case wire.TypeReply:
		var reply wire.Reply
		if err := wire.Decode(f, &reply); err != nil {
			return err
		}
		if waiter, ok := h.pendingQueries.LoadAndDelete(reply.Number); ok {
			waiter.(chan *wire.Reply) <- &reply
		}
	}
	return nil
}

// observe adds the state of the link to an observation.
func (h *holderLink) observe(o *observation) {
	o.lastPong = time.Duration(h.lastPong.Load())
	o.holderLeads = h.holderLeads.Load()
	o.holderTakesOver = h.holderTakesOver.Load()
	o.restarted = h.restarted.Load()
	o.holderStoreAge = time.Duration(h.storeAge.Load()) * time.Millisecond
	o.holderDecisionAge = time.Duration(h.decisionAge.Load()) * time.Millisecond
}

// query sends a query and waits for its reply.
func (h *holderLink) query(ctx context.Context, query wire.Query) (*wire.Reply, error) {
	query.Number = h.lastQuery.Add(1)
	waiter := make(chan *wire.Reply, 1)
	h.pendingQueries.Store(query.Number, waiter)
	defer h.pendingQueries.Delete(query.Number)
	h.send(wire.TypeQuery, &query)
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case reply := <-waiter:
		if !reply.IsHolder {
			return nil, ErrNoHolder
		}
		return reply, nil
	case <-h.link.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, ErrNoHolder
}

// query answers a query locally if this node is the holder, and forwards it to
// the holder otherwise.
func (n *Node) query(ctx context.Context, query wire.Query) (*wire.Reply, error) {
	if n.Leading() {
		reply := &wire.Reply{IsHolder: true}
		n.answer(&query, reply)
		return reply, nil
	}
	toHolder := n.linkToHolder.Load()
	if toHolder == nil {
		return nil, ErrNoHolder
	}
	return toHolder.query(ctx, query)
}

// State returns the state of a job as the holder knows it. The second result is
// false if the job is unknown.
func (n *Node) State(ctx context.Context, job carobkeel.JobID) (carobkeel.JobState, bool, error) {
	reply, err := n.query(ctx, wire.Query{Kind: wire.QueryState, Job: string(job)})
	if err != nil {
		return 0, false, err
	}
	return carobkeel.JobState(reply.State), reply.Known, nil
}

// Waiting returns the number of jobs of a queue that have not started.
func (n *Node) Waiting(ctx context.Context, queue carobkeel.QueueName) (int, error) {
	reply, err := n.query(ctx, wire.Query{Kind: wire.QueryWaiting, Queue: string(queue)})
	if err != nil {
		return 0, err
	}
	return reply.Waiting, nil
}

// NotifyCancelled notifies the holder of a stored cancellation. The holder also
// receives it from the table service.
func (n *Node) NotifyCancelled(job carobkeel.JobID) {
	if n.Leading() {
		n.cancelLocally(job)
		return
	}
	if toHolder := n.linkToHolder.Load(); toHolder != nil {
		toHolder.send(wire.TypeQuery, &wire.Query{Kind: wire.QueryCancel, Job: string(job)})
	}
}
