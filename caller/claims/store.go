package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/table"
)

// Writer makes one conditional write. It may put many into one transaction. Its
// errors are table.ErrUnavailable, where nothing was and will be written, and
// table.ErrUnsettled.
type Writer interface {
	Write(ctx context.Context, condition table.Condition, write table.Write) (table.Outcome, error)
}

// Reader reads rows.
type Reader interface {
	Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Store keeps claims in the table service.
type Store struct {
	writer Writer
	reader Reader
}

// NewStore returns a store.
func NewStore(w Writer, r Reader) *Store { return &Store{writer: w, reader: r} }

// Held is a claim as the table has it.
type Held struct {
	*caller.Claim
	key     string
	version table.Version
	// Own says that this call put it there.
	Own bool
}

// Make claims the request's key for a run at the given sidecar. Where the key is
// claimed already, it returns that claim.
func (s *Store) Make(ctx context.Context, r *caller.Request, claim *caller.Claim) (*Held, error) {
	return s.put(ctx, rowKey(r.Owner, r.Service, r.Key), 0, claim)
}

// Replace puts a claim in the place of one that is held. Where that has changed
// in the meantime, it returns the changed one.
func (s *Store) Replace(ctx context.Context, held *Held, claim *caller.Claim) (*Held, error) {
	return s.put(ctx, held.key, held.version, claim)
}

func (s *Store) put(ctx context.Context, key string, version table.Version, claim *caller.Claim) (*Held, error) {
	data, err := encode(claim)
	if err != nil {
		return nil, err
	}
	outcome, err := s.writer.Write(ctx, table.Condition{Key: key, Version: version}, table.Write{Key: key, Value: data})
	if err != nil {
		return nil, err
	}
	if outcome.Applied {
		return &Held{Claim: claim, key: key, version: outcome.Version, Own: true}, nil
	}
	for _, row := range outcome.Conflicts {
		if row.Key == key && row.Version != 0 {
			return heldOf(row)
		}
	}
	return nil, errors.Wrap(table.ErrUnavailable, "the claim was removed at the same moment")
}

func heldOf(row table.Row) (*Held, error) {
	claim, err := decode(row.Value)
	if err != nil {
		return nil, err
	}
	return &Held{Claim: claim, key: row.Key, version: row.Version}, nil
}

// End notes the answer of a claimed request.
func (s *Store) End(ctx context.Context, held *Held, answer *caller.KeptAnswer) error {
	ended := *held.Claim
	ended.Ended = true
	ended.Answer = answer
	_, err := s.put(ctx, held.key, held.version, &ended)
	return err
}

// Release removes a claim whose request has not run and never will.
func (s *Store) Release(ctx context.Context, held *Held) error {
	_, err := s.writer.Write(ctx,
		table.Condition{Key: held.key, Version: held.version},
		table.Write{Key: held.key, Delete: true})
	return err
}

// sweepRows is how many rows one sweep reads.
const sweepRows = 500

// Sweep removes claims born before the time among the rows after the key, and
// returns the key to go on from, which is empty at the end of the table.
func (s *Store) Sweep(ctx context.Context, after string, before time.Time) (string, error) {
	rows, err := s.reader.Range(ctx, Prefix, after, sweepRows)
	if err != nil {
		return after, err
	}
	for _, row := range rows {
		held, err := heldOf(row)
		if err == nil && held.Born.After(before) {
			continue
		}
		if err := s.Release(ctx, &Held{key: row.Key, version: row.Version}); err != nil {
			return after, err
		}
	}
	if len(rows) < sweepRows {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}

// refusalOf says what a failed write of a claim means for the caller: the
// request was not sent, whatever became of the write.
func refusalOf(err error) *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "the idempotency key could not be claimed: %v", err).
		WithRetryAfter(storeRetryAfter)
}

// storeRetryAfter is the advice to callers while the table service is away.
const storeRetryAfter = 2 * time.Second
