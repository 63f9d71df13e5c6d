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

// pageRows is the number of rows that one range read requests.
const pageRows = 500

// UsageSource returns snapshots of the running work.
type UsageSource interface {
	Usage(ctx context.Context) (operator.Usage, error)
}

// Config holds the dependencies of a Store. Only Table is required.
type Config struct {
	Table table.Table
	// Usage is queried before an edit is applied; nil means that nothing runs.
	Usage UsageSource
	// Metrics counts edits and stops; nil discards the counts.
	Metrics *Metrics
	// Now reads the clock; nil means the system clock.
	Now func() time.Time
	// NewID draws transaction ids; nil means random ids.
	NewID func() table.TransactionID
	// Wait pauses before repeats; nil means Backoff.
	Wait Wait
}

// Store reads and edits the catalogue in the table service. Its methods are safe
// for concurrent use.
type Store struct {
	base
	usage UsageSource
	seen  atomic.Pointer[carobkeel.Catalogue]
}

// New returns a store that uses the table service. It does not read yet.
func New(c Config) *Store {
	s := &Store{
		base: base{
			committer: committer{table: c.Table, wait: c.Wait},
			metrics:   c.Metrics, now: c.Now, newID: c.NewID,
		},
		usage: c.Usage,
	}
	s.setDefaults()
	return s
}

// Seen returns the newest catalogue that the store has read or observed, without
// reading the table. It is nil before the first one.
func (s *Store) LastSeen() *carobkeel.Catalogue { return s.seen.Load() }

// Observe records a catalogue from another source, such as another process, so
// that the store accepts no older state from the table afterwards.
func (s *Store) Observe(c *carobkeel.Catalogue) { s.publish(c) }

// Load reads the current catalogue from the table service. It rejects a state
// that is older than one already seen.
func (s *Store) Load(ctx context.Context) (*carobkeel.Catalogue, error) {
	c, _, err := s.refresh(ctx)
	return c, err
}

// Changes returns at most limit changes after the given revision, in order. If
// the next change has been trimmed from the log, it returns operator.ErrGap and
// the caller has to Load.
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

// History returns at most limit changes of one entry or owner after the given
// revision, oldest first.
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

// refresh returns the catalogue at the head revision, and the version of the
// head row. It reads only the changes since the last catalogue seen, if the log
// still has them.
func (s *Store) refresh(ctx context.Context) (*carobkeel.Catalogue, table.Version, error) {
	// The catalogue seen is loaded before the head is read, so that the head
	// can't be older unless the table service lost writes.
	seen := s.seen.Load()
	head, version, err := s.readHead(ctx)
	if err != nil {
		return nil, 0, err
	}
	if seen != nil {
		if err := operator.AcceptRevision(seen.Revision, head.Revision); err != nil {
			s.metrics.OlderRevisionReads.Inc(1)
			return nil, 0, &olderStateError{coded: unavailable(errors.Wrap(err, "the table service was set back")), older: err}
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

// olderStateError wraps the coded error for clients and the OlderRevisionError
// that caused it.
type olderStateError struct {
	coded *carobkeel.Error
	older error
}

// Error implements error.
func (e *olderStateError) Error() string { return e.coded.Error() }

// Unwrap makes both errors available to errors.As.
func (e *olderStateError) Unwrap() []error { return []error{e.coded, e.older} }

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

// follow applies the changes from the log up to the given revision.
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

// loadAll reads all entries and owners. Edits that are committed during the read
// may be visible in some rows and not in others. Applying the changes since the
// start revision makes all rows current, because a change holds the full entry.
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

// publish makes c the newest catalogue seen, unless one of the same or a later
// revision was already seen.
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
