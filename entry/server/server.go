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

// Upstream carries out requests.
type Upstream interface {
	// Do sends the request to the upstream. Every error is a
	// *carobkeel.Error, which says whether the request can have run.
	Do(ctx context.Context, r *caller.Request) (*caller.Answer, error)
}

// Server takes requests of entries for one upstream.
type Server struct {
	config   Config
	self     carobkeel.Incarnation
	upstream Upstream
	ledger   *entry.Ledger
	gate     *gate
	metrics  *Metrics
	log      *log.Logger
	draining atomic.Bool
	active   activity
	// fences holds the newest link generation of each entry incarnation.
	fences sync.Map // of carobkeel.Incarnation to *fence
}

// fence is the newest link of one entry incarnation.
type fence struct {
	newest atomic.Pointer[session]
}

// New returns a server. Run it to take links.
func New(config Config, self carobkeel.Incarnation, up Upstream, metrics *Metrics, logger *log.Logger) *Server {
	return &Server{
		config:   config,
		self:     self,
		upstream: up,
		ledger: entry.NewLedger(entry.LedgerLimits{
			Retention:      config.Retention,
			KeyedRetention: config.KeyedRetention,
			KeptBytes:      config.KeptBytes,
		}),
		gate:    newGate(config.Slots, config.Queue),
		metrics: metrics,
		log:     logger,
		active:  activity{idle: make(chan struct{}, 1)},
	}
}

// Run takes links from the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	go s.gate.run(ctx)
	go s.sweep(ctx)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go s.serveLink(ctx, conn)
	}
}

func (s *Server) serveLink(ctx context.Context, conn net.Conn) {
	linked := newSession(ctx, s, link.New(conn, s.config.Timing))
	err := linked.run(ctx)
	s.log.Debug().Str("peer", conn.RemoteAddr().String()).Err(err).Msg("link ended")
}

// Load returns the requests that run and that wait now.
func (s *Server) Load() sidecar.Load { return s.gate.load() }

// Drain refuses new requests from now on and parks until those taken have
// ended or ctx has.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	return s.active.wait(ctx)
}

// Resume takes new requests again after a drain.
func (s *Server) Resume() { s.draining.Store(false) }

// sweep forgets old outcomes.
func (s *Server) sweep(ctx context.Context) {
	ticker := time.NewTicker(s.config.Retention / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.ledger.Sweep(now)
			s.metrics.state(s.Load())
			s.dropFences()
		}
	}
}

// dropFences forgets entries whose newest link has ended.
func (s *Server) dropFences() {
	s.fences.Range(func(key, value any) bool {
		held := value.(*fence).newest.Load()
		if held != nil && held.ended() {
			s.fences.Delete(key)
		}
		return true
	})
}

// admit makes the session the newest link of its entry and closes the one
// before. It returns false where a newer one is there already.
func (s *Server) admit(peer carobkeel.Incarnation, linked *session) bool {
	held, _ := s.fences.LoadOrStore(peer, &fence{})
	f := held.(*fence)
	for {
		old := f.newest.Load()
		if old != nil && old.generation > linked.generation {
			return false
		}
		if f.newest.CompareAndSwap(old, linked) {
			if old != nil && old != linked {
				old.fence()
			}
			return true
		}
	}
}
