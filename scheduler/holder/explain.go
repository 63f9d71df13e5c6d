package holder

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// Explained is an explanation that this node has given while it held the shard.
type Explained struct {
	dispatch.Explanation
	// Age is how long ago this node was last certain to hold the shard.
	Age time.Duration
	// err carries an error from the loop to Explain.
	err error
}

// Explain says where a job would go if it were accepted now. It returns ErrNoHolder if this node
// does not hold the shard.
func (n *Node) Explain(ctx context.Context, spec *carobkeel.JobSpec) (Explained, error) {
	if err := dispatch.CheckExplained(spec); err != nil {
		return Explained{}, err
	}
	answer := make(chan Explained, 1)
	n.events.Push(func(l *loop) { answer <- l.explain(spec) })
	select {
	case e := <-answer:
		return e, e.err
	case <-ctx.Done():
		return Explained{}, ErrNoHolder
	}
}

// explain asks the core for an explanation. As that changes no state, a panic is answered with an error
// and doesn't end the term.
func (l *loop) explain(spec *carobkeel.JobSpec) (e Explained) {
	if l.core == nil {
		return Explained{err: ErrNoHolder}
	}
	defer func() {
		if cause := recover(); cause != nil {
			e = Explained{err: errors.Errorf("the explanation failed: %v", cause)}
		}
	}()
	if err := l.core.CheckExplained(spec); err != nil {
		return Explained{err: err}
	}
	now := l.now()
	return Explained{Explanation: l.core.Explain(spec), Age: max(0, now.Monotonic-now.Held)}
}

// HolderHost returns the name of the host that holds the shard, and its IP address. Both are empty
// if no holder is known.
func (n *Node) HolderHost() (name, ip string) {
	s := n.holderState.Load()
	if s == nil || s.Unreadable {
		return "", ""
	}
	ip, _, err := net.SplitHostPort(s.Row.Address)
	if err != nil {
		return "", ""
	}
	return s.Row.Host, ip
}
