// Package faulty wraps an object store and injects the faults of the platform's
// store: outages, delays, lost answers, truncated reads and writes. Faults are
// chosen at random from a seed, and may be changed at run time.
package faulty

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/objectstore"
)

// Faults holds the faults to inject. The zero value is a store without faults.
// Probabilities run from 0 to 1.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LostAnswers is the probability that a call takes effect and fails.
	LostAnswers float64
	// TruncatedReads is the probability that a read returns a truncated object.
	TruncatedReads float64
	// TruncatedWrites is the probability that a put stores a truncated object and
	// fails.
	TruncatedWrites float64
}

// Store is an objectstore.Store with faults.
type Store struct {
	inner  objectstore.Store
	clock  clock.Clock
	seed   uint64
	calls  atomic.Uint64
	faults atomic.Pointer[Faults]
}

// New wraps inner with no faults. The seed and the order of calls
// determine every random choice.
func New(inner objectstore.Store, seed uint64, c clock.Clock) *Store {
	s := &Store{inner: inner, clock: c, seed: seed}
	s.Set(Faults{})
	return s
}

// Set replaces the faults.
func (s *Store) Set(f Faults) { s.faults.Store(&f) }

// Put implements objectstore.Store.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	f, random, err := s.begin(ctx)
	if err != nil {
		return err
	}
	if happens(random, f.TruncatedWrites) {
		data = data[:random.IntN(len(data)+1)]
		return lost(true, s.inner.Put(ctx, name, data))
	}
	return lost(happens(random, f.LostAnswers), s.inner.Put(ctx, name, data))
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	f, random, err := s.begin(ctx)
	if err != nil {
		return nil, err
	}
	data, err := s.inner.Get(ctx, name)
	if err == nil && happens(random, f.TruncatedReads) {
		data = data[:random.IntN(len(data)+1)]
	}
	return data, lost(happens(random, f.LostAnswers), err)
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]string, error) {
	f, random, err := s.begin(ctx)
	if err != nil {
		return nil, err
	}
	names, err := s.inner.List(ctx, prefix)
	return names, lost(happens(random, f.LostAnswers), err)
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, name string) error {
	f, random, err := s.begin(ctx)
	if err != nil {
		return err
	}
	return lost(happens(random, f.LostAnswers), s.inner.Delete(ctx, name))
}

func (s *Store) begin(ctx context.Context) (Faults, *rand.Rand, error) {
	f := *s.faults.Load()
	random := rand.New(rand.NewPCG(s.seed, s.calls.Add(1)))
	if f.Down {
		return f, random, errors.Wrap(objectstore.ErrUnavailable, "down")
	}
	if err := s.clock.Sleep(ctx, f.Delay); err != nil {
		return f, random, errors.Wrap(objectstore.ErrUnavailable, err.Error())
	}
	return f, random, nil
}

// lost returns the error of a lost answer if isLost is set, and err otherwise.
func lost(isLost bool, err error) error {
	if isLost {
		return errors.Wrap(objectstore.ErrUnavailable, "answer lost")
	}
	return err
}

func happens(random *rand.Rand, probability float64) bool {
	return probability > 0 && random.Float64() < probability
}
