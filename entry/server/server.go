package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/sidecar"
)

// Upstream sends requests to the upstream.
type Upstream interface {
	// Do sends the request to the upstream. Every error is a
	// *carobkeel.Error, which states whether the request may have run.
	Do(ctx context.Context, r *caller.Request) (*caller.Answer, error)
}

// Server serves the requests of entries for one upstream.
type Server struct {
	config    Config
	self      carobkeel.Incarnation
	upstream  Upstream
	ledger    *entry.RequestLedger
	slotQueue *slotQueue
	metrics   *Metrics
	log       *log.Logger
	draining  atomic.Bool
	active    activity
	// fences holds the newest link of each entry incarnation.
	fences sync.Map // carobkeel.Incarnation to *fence
}

// fence holds the newest link of one entry incarnation, which fences off the
// older ones.
type fence struct {
	newest atomic.Pointer[session]
}

// New returns a server. Call Run to accept links.
func New(config Config, self carobkeel.Incarnation, up Upstream, metrics *Metrics, logger *log.Logger) *Server {
	return &Server{
		config:   config,
		self:     self,
		upstream: up,
		ledger: entry.NewRequestLedger(entry.RequestLedgerLimits{
			Retention:      config.Retention,
			KeyedRetention: config.KeyedRetention,
			KeptBytes:      config.KeptBytes,
		}),
		slotQueue: newSlotQueue(config.Slots, config.Queue),
		metrics:   metrics,
		log:       logger,
		active:    activity{idle: make(chan struct{}, 1)},
	}
}

// Run accepts links from the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	go s.slotQueue.run(ctx)
	go s.sweep(ctx)
	return link.Accept(ctx, listener, func(err error) {
		s.log.Error().Err(err).Msg("failed to accept links")
	}, func(conn net.Conn) {
		go s.serveLink(ctx, conn)
	})
}

func (s *Server) serveLink(ctx context.Context, conn net.Conn) {
	sess := newSession(ctx, s, link.New(conn, s.config.Timing))
	err := sess.run(ctx)
	s.log.Debug().Err(err).Str("peer", conn.RemoteAddr().String()).Msg("link ended")
}

// Load returns the current numbers of running and waiting requests and the
// limit.
func (s *Server) Load() sidecar.Load { return s.slotQueue.load() }

// Drain refuses new requests from now on, and blocks until the accepted ones
// have ended or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	return s.active.wait(ctx)
}

// Resume accepts new requests again after Drain.
func (s *Server) Resume() { s.draining.Store(false) }

// sweep periodically evicts old outcomes, updates the gauges and removes the
// entries without a link.
func (s *Server) sweep(ctx context.Context) {
	ticker := time.NewTicker(s.config.Retention / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.ledger.Sweep(now)
			s.metrics.updateGauges(s.Load())
			s.removeEndedFences()
		}
	}
}

// removeEndedFences removes the entries whose newest link has ended.
func (s *Server) removeEndedFences() {
	s.fences.Range(func(key, value any) bool {
		newest := value.(*fence).newest.Load()
		if newest != nil && newest.ended() {
			s.fences.Delete(key)
		}
		return true
	})
}

// admit makes the session the newest link of its entry and closes the previous
// one. It returns false if there is already a newer link.
func (s *Server) admit(peer carobkeel.Incarnation, sess *session) bool {
	value, _ := s.fences.LoadOrStore(peer, &fence{})
	f := value.(*fence)
	for {
		old := f.newest.Load()
		if old != nil && old.generation > sess.generation {
			return false
		}
		if f.newest.CompareAndSwap(old, sess) {
			if old != nil && old != sess {
				old.fence()
			}
			return true
		}
	}
}
