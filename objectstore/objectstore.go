// Package objectstore defines the interface of the platform's object store and
// the format of snapshots, with the checks made when one is read.
//
// The package does no I/O. The sub-packages contain the client and the stand-ins.
package objectstore

import (
	"context"

	"github.com/pkg/errors"
)

// ErrUnavailable reports that the store was not reached.
var ErrUnavailable = errors.New("object store unavailable")

// ErrNotFound reports that there is no object of that name.
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
