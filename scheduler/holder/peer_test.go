package holder

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table/memory"
)

// newSidecarPeer returns a peer of a host's sidecar whose link does not run.
func newSidecarPeer(n *Node, host string) *peer {
	conn, _ := net.Pipe()
	return &peer{node: n, link: link.New(conn, linkConfig()), role: wire.RoleSidecar, host: host}
}

// The loss of the old link is handled after the new link has opened.
func TestEndOfAnOldLinkDoesNotLoseARelinkedHost(t *testing.T) {
	g := NewWithT(t)
	n := New(Config{Host: "entry", Shard: "shard"}, memory.NewRows(), NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	l := newLoop(n)
	l.core = dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: time.Second}, l.now(), nil)
	old, newer := newSidecarPeer(n, "host"), newSidecarPeer(n, "host")
	n.sidecars.Store("host", newer)
	newer.push(func(l *loop) { l.core.HostLinked("host") })
	old.pushLost()
	for _, handle := range n.events.TryTake(nil) {
		handle(l)
	}
	for _, d := range l.core.Finish().Decisions {
		g.Expect(d.Kind).NotTo(Equal(dispatch.DecidedLinkLost))
	}
}
