// Package store keeps the durable state of a shard in the table service: the
// lease, the jobs and the inbox of submissions and cancellations. It encodes the
// rows and commits the transactions.
package store

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// pageRows is the maximum number of rows in one read.
	pageRows = 1000

	shardPrefix = "shards/"
	jobPrefix   = "jobs/"
	inboxPrefix = "inbox/"
)

// ErrFenced reports that a write was refused because another scheduler holds the
// shard or has changed the row.
var ErrFenced = errors.New("another scheduler holds the shard")

// Store reads and writes the rows of one shard.
type Store struct {
	table table.Table
	shard scheduler.ShardID
}

// New returns the store of a shard.
func New(t table.Table, shard scheduler.ShardID) *Store {
	return &Store{table: t, shard: shard}
}

func (s *Store) epochKey() string   { return shardPrefix + string(s.shard) + "/epoch" }
func (s *Store) renewalKey() string { return shardPrefix + string(s.shard) + "/renewal" }
func jobKey(shard scheduler.ShardID, id carobkeel.JobID) string {
	return jobPrefix + string(shard) + "/" + string(id)
}

// Lease returns the shard's lease rows, from one read of the table.
func (s *Store) Lease(ctx context.Context) (scheduler.LeaseRows, error) {
	rows, err := s.table.Range(ctx, shardPrefix+string(s.shard)+"/", "", pageRows)
	if err != nil {
		return scheduler.LeaseRows{}, err
	}
	var lease scheduler.LeaseRows
	for _, row := range rows {
		switch row.Key {
		case s.renewalKey():
			lease.RenewalVersion = row.Version
		case s.epochKey():
			var decoded epochRow
			if _, err := decoded.UnmarshalMsg(row.Value); err != nil {
				return scheduler.LeaseRows{}, errors.Wrapf(err, "decode row %s", row.Key)
			}
			if err := checkFormat(decoded.Format, row.Key); err != nil {
				return scheduler.LeaseRows{}, err
			}
			lease.EpochVersion = row.Version
			lease.Epoch = scheduler.EpochRow{
				Holder: scheduler.HolderID(decoded.Holder), Epoch: carobkeel.Epoch(decoded.Epoch),
				Released: decoded.Released, GrantsRemaining: time.Duration(decoded.GrantsFor),
			}
		}
	}
	return lease, nil
}

// LeaseTransaction returns the transaction of a lease write. The caller repeats
// its commit until the result is known.
func (s *Store) LeaseTransaction(w scheduler.LeaseWrite) (table.Transaction, error) {
	txn := table.Transaction{
		ID:         table.NewTransactionID(),
		Conditions: []table.Condition{{Key: s.epochKey(), Version: w.Rows.EpochVersion}},
		Writes:     []table.Write{{Key: s.renewalKey(), Value: []byte{rowFormat}}},
	}
	if w.Kind == scheduler.LeaseRenew {
		return txn, nil
	}
	if w.Kind == scheduler.LeaseAcquire {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: s.renewalKey(), Version: w.Rows.RenewalVersion})
	}
	row := epochRow{
		Format: rowFormat, Holder: string(w.Next.Holder), Epoch: uint64(w.Next.Epoch),
		Released: w.Next.Released, GrantsFor: int64(w.Next.GrantsRemaining),
	}
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return table.Transaction{}, errors.Wrap(err, "encode epoch row")
	}
	txn.Writes = append(txn.Writes, table.Write{Key: s.epochKey(), Value: value})
	return txn, nil
}

// Versions returns the row versions after a lease write that took effect.
func Versions(w scheduler.LeaseWrite, outcome table.Outcome) scheduler.LeaseRows {
	versions := scheduler.LeaseRows{EpochVersion: w.Rows.EpochVersion, RenewalVersion: outcome.Version}
	if w.Kind != scheduler.LeaseRenew {
		versions.EpochVersion = outcome.Version
	}
	return versions
}

// BatchTransaction returns the transaction that makes a batch durable. It is
// conditional on fence, the version of the epoch row.
func (s *Store) BatchTransaction(b scheduler.Batch, fence table.Version) (table.Transaction, error) {
	txn := table.Transaction{
		ID:         table.NewTransactionID(),
		Conditions: []table.Condition{{Key: s.epochKey(), Version: fence}},
	}
	for i := range b.Jobs {
		value, err := encodeJob(&b.Jobs[i])
		if err != nil {
			return table.Transaction{}, errors.Wrapf(err, "encode job %s", b.Jobs[i].ID)
		}
		txn.Writes = append(txn.Writes, table.Write{Key: jobKey(s.shard, b.Jobs[i].ID), Value: value})
	}
	for _, key := range b.Consumed {
		txn.Writes = append(txn.Writes, table.Write{Key: key, Delete: true})
	}
	return txn, nil
}

// Commit commits a transaction. ErrFenced is final. After any other error the
// caller has to commit the same transaction again.
func (s *Store) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	outcome, err := s.table.Commit(ctx, txn)
	if err != nil {
		return table.Outcome{}, err
	}
	if !outcome.Applied {
		return outcome, ErrFenced
	}
	return outcome, nil
}

// Jobs returns the jobs whose ids begin with the given prefix.
func (s *Store) Jobs(ctx context.Context, prefix string) ([]scheduler.Job, error) {
	base := jobPrefix + string(s.shard) + "/"
	var jobs []scheduler.Job
	err := s.forEachRow(ctx, base+prefix, func(row table.Row) error {
		job, err := decodeJob(carobkeel.JobID(strings.TrimPrefix(row.Key, base)), row.Key, row.Value)
		jobs = append(jobs, job)
		return err
	})
	return jobs, err
}

// Inbox returns the requests that no holder has consumed.
func (s *Store) Inbox(ctx context.Context) ([]scheduler.InboxMessage, error) {
	var messages []scheduler.InboxMessage
	err := s.forEachRow(ctx, inboxPrefix+string(s.shard)+"/", func(row table.Row) error {
		var decoded inboxRow
		if _, err := decoded.UnmarshalMsg(row.Value); err != nil {
			return errors.Wrapf(err, "decode row %s", row.Key)
		}
		message := scheduler.InboxMessage{Key: row.Key, SubmittedPrefix: decoded.Submitted}
		for _, id := range decoded.Cancelled {
			message.Cancelled = append(message.Cancelled, carobkeel.JobID(id))
		}
		messages = append(messages, message)
		return checkFormat(decoded.Format, row.Key)
	})
	return messages, err
}

func (s *Store) forEachRow(ctx context.Context, prefix string, visit func(table.Row) error) error {
	after := ""
	for {
		rows, err := s.table.Range(ctx, prefix, after, pageRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
		}
		if len(rows) < pageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Request holds submissions and cancellations of callers, to be made durable in
// one transaction.
type Request struct {
	// Key is unique among the requests to the shard.
	Key string
	// Jobs are the submitted jobs. Their ids have the prefix Submitted.
	Jobs      []scheduler.Job
	Submitted string
	Cancelled []carobkeel.JobID
}

// RequestTransaction returns the transaction that makes a request durable. It does
// not depend on the lease, so any entry may commit it.
func (s *Store) RequestTransaction(r Request) (table.Transaction, error) {
	row := inboxRow{Format: rowFormat, Submitted: r.Submitted}
	for _, id := range r.Cancelled {
		row.Cancelled = append(row.Cancelled, string(id))
	}
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return table.Transaction{}, errors.Wrap(err, "encode inbox row")
	}
	key := inboxPrefix + string(s.shard) + "/" + r.Key
	txn := table.Transaction{
		ID:         table.NewTransactionID(),
		Conditions: []table.Condition{{Key: key}},
		Writes:     []table.Write{{Key: key, Value: value}},
	}
	for i := range r.Jobs {
		value, err := encodeJob(&r.Jobs[i])
		if err != nil {
			return table.Transaction{}, errors.Wrapf(err, "encode job %s", r.Jobs[i].ID)
		}
		key := jobKey(s.shard, r.Jobs[i].ID)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key})
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: value})
	}
	return txn, nil
}

// Job returns one job as it was last written. It returns an Error with
// CodeUnknownJob if there is no such job.
func (s *Store) Job(ctx context.Context, id carobkeel.JobID) (scheduler.Job, error) {
	key := jobKey(s.shard, id)
	row, ok, err := s.table.Get(ctx, key)
	if err != nil {
		return scheduler.Job{}, err
	}
	if !ok {
		return scheduler.Job{}, carobkeel.NewError(carobkeel.CodeUnknownJob, "there is no job %s", id)
	}
	return decodeJob(id, key, row.Value)
}
