package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/table"
)

// pageRows is the number of rows that one range read asks for.
const pageRows = 500

// UsageSource gives a snapshot of the work that runs.
type UsageSource interface {
	Usage(ctx context.Context) (operator.Usage, error)
}

// Config is what a Store needs. Only Table is required.
type Config struct {
	Table table.Table
	// Usage is asked before an edit is taken; nil stands for nothing running.
	Usage UsageSource
	// Metrics counts; nil counts nowhere.
	Metrics *Metrics
	// Now reads the clock; nil is the system's.
	Now func() time.Time
	// NewID draws the ids of transactions; nil draws at random.
	NewID func() table.TransactionID
	// Wait pauses before repeats; nil is Backoff.
	Wait Wait
}

// Store reads and edits the catalogue in the table service. All methods are
// safe for use by several goroutines.
type Store struct {
	base
	usage UsageSource
	seen  atomic.Pointer[carobkeel.Catalogue]
}

// New returns a store on the table service. It reads nothing yet.
func New(c Config) *Store {
	s := &Store{
		base: base{
			settler: settler{table: c.Table, wait: c.Wait},
			metrics: c.Metrics, now: c.Now, newID: c.NewID,
		},
		usage: c.Usage,
	}
	s.setDefaults()
	return s
}

// Seen returns the newest catalogue that the store has read, without reading.
// It is nil before the first read.
func (s *Store) Seen() *carobkeel.Catalogue { return s.seen.Load() }

// Observe takes in a catalogue that came from elsewhere, as from another
// process, so that no older state is taken from the table after it.
func (s *Store) Observe(c *carobkeel.Catalogue) { s.publish(c) }

// Load returns the catalogue as the table service has it now. It refuses a
// state that is older than one already seen.
func (s *Store) Load(ctx context.Context) (*carobkeel.Catalogue, error) {
	c, _, err := s.refresh(ctx)
	return c, err
}

// Changes returns at most limit changes that follow the given revision, in
// order. Where the next change is gone from the log it gives operator.ErrGap,
// and the follower has to Load.
func (s *Store) Changes(ctx context.Context, after carobkeel.Revision, limit int) ([]operator.Change, error) {
	rows, err := s.table.Range(ctx, changePrefix, revisionKey(changePrefix, after), limit)
	if err != nil {
		return nil, unavailable(err)
	}
	changes := make([]operator.Change, 0, len(rows))
	for _, row := range rows {
		change, err := unwrap[operator.Change](row)
		if err != nil {
			return nil, err
		}
		if change.Revision != after+carobkeel.Revision(len(changes))+1 {
			return nil, errors.Wrapf(operator.ErrGap, "change %d after revision %d", change.Revision, after)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// History returns at most limit changes of one entry or owner that are newer
// than the given revision, the oldest first.
func (s *Store) History(ctx context.Context, kind operator.Kind, name string, after carobkeel.Revision, limit int) ([]operator.Record, error) {
	prefix := historyPrefixOf(kind, name)
	rows, err := s.table.Range(ctx, prefix, revisionKey(prefix, after), limit)
	if err != nil {
		return nil, unavailable(err)
	}
	records := make([]operator.Record, 0, len(rows))
	for _, row := range rows {
		record, err := unwrap[operator.Record](row)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// refresh returns the catalogue at the head, with the head's row version. It
// reads only what changed since the last time where the log still has it.
func (s *Store) refresh(ctx context.Context) (*carobkeel.Catalogue, table.Version, error) {
	// What was seen is taken before the head is read: the head can't be older.
	seen := s.seen.Load()
	head, version, err := s.readHead(ctx)
	if err != nil {
		return nil, 0, err
	}
	if seen != nil {
		if err := operator.AcceptRevision(seen.Revision, head.Revision); err != nil {
			s.metrics.OlderStates.Inc(1)
			return nil, 0, &setBackError{coded: unavailable(errors.Wrap(err, "the table service was set back")), older: err}
		}
	}
	c := seen
	if c != nil {
		c, err = s.follow(ctx, c, head.Revision)
	}
	if c == nil || errors.Is(err, operator.ErrGap) {
		c, err = s.loadAll(ctx, head.Revision)
	}
	if err != nil {
		return nil, 0, err
	}
	s.publish(c)
	return c, version, nil
}

// setBackError is a result for callers that keeps the OlderRevisionError it came
// from.
type setBackError struct {
	coded *carobkeel.Error
	older error
}

// Error implements error.
func (e *setBackError) Error() string { return e.coded.Error() }

// Unwrap lets errors.As find both.
func (e *setBackError) Unwrap() []error { return []error{e.coded, e.older} }

func (s *Store) readHead(ctx context.Context) (headRow, table.Version, error) {
	row, found, err := s.table.Get(ctx, headKey)
	if err != nil {
		return headRow{}, 0, unavailable(err)
	}
	if !found {
		return headRow{}, 0, nil
	}
	head, err := decodeHead(row)
	return head, row.Version, err
}

// follow applies the changes up to the given revision.
func (s *Store) follow(ctx context.Context, c *carobkeel.Catalogue, to carobkeel.Revision) (*carobkeel.Catalogue, error) {
	for c.Revision < to {
		changes, err := s.Changes(ctx, c.Revision, int(min(pageRows, to-c.Revision)))
		if err != nil {
			return nil, err
		}
		if len(changes) == 0 {
			return nil, errors.Wrapf(operator.ErrGap, "no change after revision %d", c.Revision)
		}
		for _, change := range changes {
			if c, err = operator.Apply(c, change); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// loadAll reads every entry and owner. Edits that come in while it reads may
// show in some rows and not in others; applying the changes since the start
// makes all of them current, because a change holds the whole entry.
func (s *Store) loadAll(ctx context.Context, start carobkeel.Revision) (*carobkeel.Catalogue, error) {
	c := &carobkeel.Catalogue{
		Revision: start,
		Entries:  make(map[string]*carobkeel.Entry),
		Quotas:   make(map[carobkeel.Owner]carobkeel.Quota),
	}
	err := s.eachRow(ctx, ownerPrefix, func(row table.Row) error {
		quota, err := unwrap[carobkeel.Quota](row)
		c.Quotas[quota.Owner] = quota
		return err
	})
	if err != nil {
		return nil, err
	}
	err = s.eachRow(ctx, entryPrefix, func(row table.Row) error {
		entry, err := unwrap[carobkeel.Entry](row)
		c.Entries[entry.Name] = &entry
		return err
	})
	if err != nil {
		return nil, err
	}
	end, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return s.follow(ctx, c, end.Revision)
}

func (s *Store) eachRow(ctx context.Context, prefix string, visit func(table.Row) error) error {
	after := ""
	for {
		rows, err := s.table.Range(ctx, prefix, after, pageRows)
		if err != nil {
			return unavailable(err)
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < pageRows {
			return nil
		}
	}
}

// publish makes c the newest catalogue seen, unless a newer one is.
func (s *Store) publish(c *carobkeel.Catalogue) {
	for {
		seen := s.seen.Load()
		if seen != nil && seen.Revision >= c.Revision {
			return
		}
		if s.seen.CompareAndSwap(seen, c) {
			s.metrics.Revision.Update(float64(c.Revision))
			return
		}
	}
}
