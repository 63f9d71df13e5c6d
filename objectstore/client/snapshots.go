package client

import (
	"context"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/objectstore"
)

// Snapshots saves and loads the snapshots of one kind.
type Snapshots struct {
	store   objectstore.Store
	kind    objectstore.SnapshotKind
	keep    int
	metrics *Metrics
}

// NewSnapshots returns the snapshots of the kind in store, usually a Client.
// Save retains the given number of newest snapshots.
func NewSnapshots(store objectstore.Store, kind objectstore.SnapshotKind, keep int, metrics *Metrics) *Snapshots {
	return &Snapshots{store: store, kind: kind, keep: max(keep, 1), metrics: metrics}
}

// Save stores the content as of the revision and deletes superseded snapshots.
func (s *Snapshots) Save(ctx context.Context, revision uint64, content []byte) error {
	object := objectstore.EncodeSnapshot(objectstore.Snapshot{Kind: s.kind, Revision: revision, Content: content})
	if err := s.store.Put(ctx, objectstore.SnapshotName(s.kind, revision), object); err != nil {
		return err
	}
	s.deleteSuperseded(ctx)
	return nil
}

// deleteSuperseded stops at the first error; the next save deletes the rest.
func (s *Snapshots) deleteSuperseded(ctx context.Context) {
	names, err := s.store.List(ctx, objectstore.SnapshotPrefix(s.kind))
	if err != nil {
		return
	}
	for _, name := range objectstore.Superseded(s.kind, names, s.keep) {
		if s.store.Delete(ctx, name) != nil {
			return
		}
	}
}

// Load returns the newest valid snapshot of at least the given revision. It
// skips snapshots that are corrupt or of a newer format. If none is valid, it
// returns the error of the newest one, or ErrNotFound if there is none.
func (s *Snapshots) Load(ctx context.Context, least uint64) (objectstore.Snapshot, error) {
	names, err := s.store.List(ctx, objectstore.SnapshotPrefix(s.kind))
	if err != nil {
		return objectstore.Snapshot{}, err
	}
	var first error
	for _, name := range objectstore.NewestFirst(s.kind, names, least) {
		snapshot, err := s.read(ctx, name)
		if err == nil {
			return snapshot, nil
		}
		if errors.Is(err, objectstore.ErrUnavailable) {
			return objectstore.Snapshot{}, err
		}
		s.metrics.RejectedSnapshots.Inc(1)
		if first == nil {
			first = err
		}
	}
	if first == nil {
		first = errors.Wrapf(objectstore.ErrNotFound, "snapshot of revision %d or later", least)
	}
	return objectstore.Snapshot{}, first
}

// read returns the snapshot of the name, whose kind and revision must match the
// name.
func (s *Snapshots) read(ctx context.Context, name string) (objectstore.Snapshot, error) {
	object, err := s.store.Get(ctx, name)
	if err != nil {
		return objectstore.Snapshot{}, err
	}
	snapshot, err := objectstore.DecodeSnapshot(object)
	if err != nil {
		return objectstore.Snapshot{}, errors.Wrap(err, name)
	}
	if objectstore.SnapshotName(snapshot.Kind, snapshot.Revision) != name {
		return objectstore.Snapshot{}, errors.Wrapf(objectstore.ErrNotSnapshot, "%s holds another snapshot", name)
	}
	return snapshot, nil
}
