// Package memory is an in-memory object store, for tests and for a process that
// runs all components itself. Nothing is persisted.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/objectstore"
)

// Store is an in-memory object store. Use New.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// New returns an empty store.
func New() *Store { return &Store{objects: make(map[string][]byte)} }

// Put implements objectstore.Store.
func (s *Store) Put(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = slices.Clone(data)
	return nil
}

// Get implements objectstore.Store.
func (s *Store) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, errors.Wrap(objectstore.ErrNotFound, name)
	}
	return slices.Clone(data), nil
}

// List implements objectstore.Store.
func (s *Store) List(_ context.Context, prefix string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

// Delete implements objectstore.Store. Deleting an absent object succeeds.
func (s *Store) Delete(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}
