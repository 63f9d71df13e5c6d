// Package objectstore is about the platform's object store: its interface and
// the checks that a reader makes of what it reads.
//
// The package is pure. The sub-packages hold the client and the stand-ins.
package objectstore

import (
	"context"

	"github.com/pkg/errors"
)

// ErrUnavailable says that the store was not reached.
var ErrUnavailable = errors.New("object store unavailable")

// ErrNotFound says that there is no object of that name.
var ErrNotFound = errors.New("object not found")

// Store is the object store. All methods are safe for use by several
// goroutines. A put replaces the whole object.
type Store interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that begin with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}
