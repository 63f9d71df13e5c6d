package propagator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/operator"
)

const (
	// PollInterval is the mean time between two periodic reads of the
	// catalogue.
	PollInterval = 500 * time.Millisecond
	// pollTimeout is the timeout of one read.
	pollTimeout = time.Second
	// maxReadChanges is the maximum number of changes that are read at once. A
	// process that missed more installs the complete catalogue.
	maxReadChanges = 500
)

// CatalogueSource is the catalogue in the table service. operator/store
// implements it.
type CatalogueSource interface {
	// Load returns the current catalogue of the table service. It returns an
	// operator.OlderRevisionError if that is older than one seen before.
	Load(ctx context.Context) (*carobkeel.Catalogue, error)
	// Changes returns changes that follow the revision, in order, or
	// operator.ErrGap if the next one is no longer in the log.
	Changes(ctx context.Context, after carobkeel.Revision, limit int) ([]operator.Change, error)
	// Seen returns the newest catalogue that the process saw accepted.
	LastSeen() *carobkeel.Catalogue
	// Observe records a catalogue that the process received from a peer.
	Observe(c *carobkeel.Catalogue)
}

// Reader reads the table service for a propagator.
type Reader struct {
	source     CatalogueSource
	propagator *Propagator
	interval   time.Duration
	wake       chan struct{}
	// storeAnswered reports that the table service answered the last read.
	storeAnswered atomic.Bool
}

// NewReader returns a reader. The interval is the mean time between two periodic
// reads.
func NewReader(source CatalogueSource, propagator *Propagator, interval time.Duration) *Reader {
	return &Reader{source: source, propagator: propagator, interval: interval, wake: make(chan struct{}, 1)}
}

// StoreAvailable reports whether the table service answered the last read.
func (r *Reader) StoreAvailable() bool { return r.storeAnswered.Load() }

// PropagateSeen makes the reader propagate an edit of this process at once, after the
// table service has accepted it.
func (r *Reader) PropagateSeen() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run reads periodically until ctx ends. After a call of PropagateSeen it
// propagates the newest catalogue that the process itself saw accepted.
func (r *Reader) Run(ctx context.Context) {
	r.Read(ctx)
	for {
		timer := time.NewTimer(r.interval/2 + rand.N(r.interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			r.Read(ctx)
		case <-r.wake:
			timer.Stop()
			r.propagateSeen(ctx)
		}
	}
}

// propagateSeen propagates the newest catalogue that the process itself saw
// accepted. If changes between the installed catalogue and that one are missing,
// they are read, so that the peers can be sent changes instead of a snapshot.
func (r *Reader) propagateSeen(ctx context.Context) {
	seen := r.source.LastSeen()
	if seen != nil && seen.Revision > r.propagator.Revision()+1 {
		r.Read(ctx)
		return
	}
	r.push(entry.AcceptedEvent{Catalogue: seen})
}

// Read reads the table service once and passes the result to the propagator.
func (r *Reader) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	installed := r.propagator.Catalogue()
	if installed != nil {
		r.source.Observe(installed)
	}
	loaded, err := r.source.Load(ctx)
	var older *operator.OlderRevisionError
	behind := errors.As(err, &older)
	r.storeAnswered.Store(err == nil || behind)
	switch {
	case behind:
		r.push(entry.StoreBehindEvent{Revision: older.Offered})
	case err != nil:
		r.propagator.config.Metrics.storeFailures.Inc(1)
		r.push(entry.AcceptedEvent{Catalogue: r.source.LastSeen()})
	default:
		r.push(r.eventFor(ctx, installed, loaded))
	}
}

// eventFor returns the event that leads from the installed catalogue to the loaded
// one. A single change is derived from the two catalogues by entry.Propagation;
// several changes are read, so that they can be sent to the peers.
func (r *Reader) eventFor(ctx context.Context, installed, loaded *carobkeel.Catalogue) entry.PropagationEvent {
	if installed == nil || loaded == nil || loaded.Revision <= installed.Revision+1 {
		return entry.StoreCatalogueEvent{Catalogue: loaded}
	}
	changes, err := r.source.Changes(ctx, installed.Revision, maxReadChanges)
	if err != nil || len(changes) == 0 || changes[len(changes)-1].Revision < loaded.Revision {
		return entry.StoreCatalogueEvent{Catalogue: loaded}
	}
	return entry.StoreChangesEvent{Changes: changes}
}

func (r *Reader) push(event entry.PropagationEvent) { r.propagator.events.Push(event) }
