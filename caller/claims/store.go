package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/table"
)

// Writer makes conditional writes. It may combine several into one transaction. Its
// errors are table.ErrUnavailable, if the write has not been and will not be made,
// and table.ErrUnsettled, if that is unknown.
type Writer interface {
	Write(ctx context.Context, condition table.Condition, write table.Write) (table.Outcome, error)
}

// Reader reads rows.
type Reader interface {
	Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Store stores claims in the table service.
type Store struct {
	writer Writer
	reader Reader
}

func NewStore(w Writer, r Reader) *Store { return &Store{writer: w, reader: r} }

// StoredClaim is a claim as stored in the table.
type StoredClaim struct {
	*caller.Claim
	key     string
	version table.Version
	// Created reports that the call that returned the claim has stored it.
	Created bool
}

// Create stores a claim for the request's key. If the key is already claimed, it
// returns the existing claim.
func (s *Store) Create(ctx context.Context, r *caller.Request, claim *caller.Claim) (*StoredClaim, error) {
	return s.put(ctx, rowKey(r.Owner, r.Service, r.Key), 0, claim)
}

// Replace stores a claim in place of stored. If the stored claim has changed in the
// meantime, it returns the changed claim.
func (s *Store) Replace(ctx context.Context, stored *StoredClaim, claim *caller.Claim) (*StoredClaim, error) {
	return s.put(ctx, stored.key, stored.version, claim)
}

func (s *Store) put(ctx context.Context, key string, version table.Version, claim *caller.Claim) (*StoredClaim, error) {
	data, err := encode(claim)
	if err != nil {
		return nil, err
	}
	outcome, err := s.writer.Write(ctx, table.Condition{Key: key, Version: version}, table.Write{Key: key, Value: data})
	if err != nil {
		return nil, err
	}
	if outcome.Applied {
		return &StoredClaim{Claim: claim, key: key, version: outcome.Version, Created: true}, nil
	}
	for _, row := range outcome.Conflicts {
		if row.Key == key && row.Version != 0 {
			return storedClaimOf(row)
		}
	}
	return nil, errors.Wrap(table.ErrUnavailable, "the claim was removed at the same moment")
}

func storedClaimOf(row table.Row) (*StoredClaim, error) {
	claim, err := decode(row.Value)
	if err != nil {
		return nil, err
	}
	return &StoredClaim{Claim: claim, key: row.Key, version: row.Version}, nil
}

// Complete marks a claim as answered and stores the answer with it.
func (s *Store) Complete(ctx context.Context, stored *StoredClaim, answer *caller.StoredAnswer) error {
	ended := *stored.Claim
	ended.Answered = true
	ended.Answer = answer
	_, err := s.put(ctx, stored.key, stored.version, &ended)
	return err
}

// Release deletes a claim whose request has not run and never will.
func (s *Store) Release(ctx context.Context, stored *StoredClaim) error {
	_, err := s.writer.Write(ctx,
		table.Condition{Key: stored.key, Version: stored.version},
		table.Write{Key: stored.key, Delete: true})
	return err
}

// sweepRows is the number of rows that one call of Sweep reads.
const sweepRows = 500

// Sweep deletes the claims created before the given time among the next rows after
// the given key. It returns the key to continue after, which is empty at the end of
// the table.
func (s *Store) Sweep(ctx context.Context, after string, before time.Time) (string, error) {
	rows, err := s.reader.Range(ctx, Prefix, after, sweepRows)
	if err != nil {
		return after, err
	}
	for _, row := range rows {
		stored, err := storedClaimOf(row)
		if err == nil && stored.CreatedAt.After(before) {
			continue
		}
		if err := s.Release(ctx, &StoredClaim{key: row.Key, version: row.Version}); err != nil {
			return after, err
		}
	}
	if len(rows) < sweepRows {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}

// claimError returns the caller's error for a failed write of a claim. Whether the
// write took effect or not, the request was not sent.
func claimError(err error) *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "the idempotency key could not be claimed: %v", err).
		WithRetryAfter(storeRetryAfter)
}

// storeRetryAfter is the retry delay for callers while the table service is
// unavailable.
const storeRetryAfter = 2 * time.Second
