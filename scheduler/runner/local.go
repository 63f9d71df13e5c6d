package runner

import (
	"context"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/worker"
)

// LocalWorker is a worker in the same process.
type LocalWorker interface {
	ID() worker.ID
	Location() carobkeel.Location
	Exchange(ctx context.Context, commands []scheduler.Command) (scheduler.Report, error)
}

// Local gives access to workers in the same process. It implements Workers.
type Local struct {
	members []Member
	byID    map[worker.ID]LocalWorker
}

// NewLocal returns a Local with the given workers.
func NewLocal[W LocalWorker](workers ...W) *Local {
	l := &Local{byID: make(map[worker.ID]LocalWorker)}
	for _, w := range workers {
		l.members = append(l.members, Member{ID: w.ID(), Location: w.Location()})
		l.byID[w.ID()] = w
	}
	return l
}

// Members implements Workers.
func (l *Local) Members() []Member { return l.members }

// Exchange implements Workers.
func (l *Local) Exchange(ctx context.Context, id worker.ID, commands []scheduler.Command) (scheduler.Report, error) {
	w, ok := l.byID[id]
	if !ok {
		return scheduler.Report{}, carobkeel.NewError(carobkeel.CodeHostFull, "there is no worker %s", id)
	}
	return w.Exchange(ctx, commands)
}
