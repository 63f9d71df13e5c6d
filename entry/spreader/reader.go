package spreader

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
	// PollInterval is the mean time between two reads of the catalogue's head.
	PollInterval = 500 * time.Millisecond
	// pollTimeout is how long one read may take.
	pollTimeout = time.Second
	// readChanges is how many changes are read at once. A process that missed
	// more loads the whole catalogue.
	readChanges = 500
)

// CatalogueSource is the catalogue in the table service. operator/store has one.
type CatalogueSource interface {
	// Load returns the catalogue as the table service has it now. It refuses
	// a state that is older than one seen.
	Load(ctx context.Context) (*carobkeel.Catalogue, error)
	// Changes returns changes that follow the revision, in order, or
	// operator.ErrGap where the next one is gone from the log.
	Changes(ctx context.Context, after carobkeel.Revision, limit int) ([]operator.Change, error)
	// Seen returns the newest catalogue that the process saw there.
	Seen() *carobkeel.Catalogue
	// Observe takes in a catalogue that came from elsewhere.
	Observe(c *carobkeel.Catalogue)
}

// Reader reads the table service for a spreader.
type Reader struct {
	source   CatalogueSource
	spreader *Spreader
	interval time.Duration
	poke     chan struct{}
	// answered says whether the last read got an answer.
	answered atomic.Bool
}

// NewReader returns a reader. The interval is the mean time between two reads.
func NewReader(source CatalogueSource, spreader *Spreader, interval time.Duration) *Reader {
	return &Reader{source: source, spreader: spreader, interval: interval, poke: make(chan struct{}, 1)}
}

// StoreAvailable reports whether the table service answered the last read.
func (r *Reader) StoreAvailable() bool { return r.answered.Load() }

// Poke asks for a read at once, after this process has had an edit accepted.
func (r *Reader) Poke() {
	select {
	case r.poke <- struct{}{}:
	default:
	}
}

// Run reads until ctx ends. What the process itself saw accepted is spread at a
// Poke.
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
		case <-r.poke:
			timer.Stop()
			r.spreadSeen(ctx)
		}
	}
}

// spreadSeen spreads what the process itself saw accepted. Where changes between
// that and the catalogue held are missing, they are read, so that the peers can
// be sent them in place of a snapshot.
func (r *Reader) spreadSeen(ctx context.Context) {
	seen := r.source.Seen()
	if seen != nil && seen.Revision > r.spreader.Revision()+1 {
		r.Read(ctx)
		return
	}
	r.push(entry.AcceptedEvent{Catalogue: seen})
}

// Read reads once and gives the spreader what is new.
func (r *Reader) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	held := r.spreader.Catalogue()
	if held != nil {
		r.source.Observe(held)
	}
	loaded, err := r.source.Load(ctx)
	var older *operator.OlderRevisionError
	behind := errors.As(err, &older)
	r.answered.Store(err == nil || behind)
	switch {
	case behind:
		r.push(entry.StoreBehindEvent{Revision: older.Offered})
	case err != nil:
		r.spreader.config.Metrics.storeDown.Inc(1)
		r.push(entry.AcceptedEvent{Catalogue: r.source.Seen()})
	default:
		r.push(r.news(ctx, held, loaded))
	}
}

// news returns what leads from the catalogue held to the one loaded. One change
// is derived from the two; several are read, so that peers can be sent them.
func (r *Reader) news(ctx context.Context, held, loaded *carobkeel.Catalogue) entry.SpreadEvent {
	if held == nil || loaded == nil || loaded.Revision <= held.Revision+1 {
		return entry.StoreCatalogueEvent{Catalogue: loaded}
	}
	changes, err := r.source.Changes(ctx, held.Revision, readChanges)
	if err != nil || len(changes) == 0 || changes[len(changes)-1].Revision < loaded.Revision {
		return entry.StoreCatalogueEvent{Catalogue: loaded}
	}
	return entry.StoreChangesEvent{Changes: changes}
}

func (r *Reader) push(event entry.SpreadEvent) { r.spreader.events.Push(event) }
