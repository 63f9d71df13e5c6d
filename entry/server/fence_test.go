package server

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// openLink opens a link of an entry with the given link generation, and returns
// the sidecar's end of it.
func openLink(ctx context.Context, s *Server, generation uint64) *session {
	near, far := net.Pipe()
	sess := newSession(ctx, s, link.New(far, link.DefaultConfig()))
	go func() { _ = sess.run(ctx) }()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	var w frame.Writer
	data, _ := w.Append(nil, wire.Encode(wire.TypeHello, 0, &wire.Hello{
		Version: wire.Version, Incarnation: 7, Generation: generation,
	}))
	go func() { _, _ = near.Write(data) }()
	synctest.Wait()
	return sess
}

func TestNewerLinkFencesOlderOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := New(DefaultConfig(), 1, nil, NewMetrics(tally.NoopScope), logging.Discard().For("test"))
		second := openLink(ctx, s, 2)
		g.Expect(second.ended()).To(BeFalse())
		first := openLink(ctx, s, 1)
		g.Expect(first.ended()).To(BeTrue(), "a link older than the newest is rejected")
		g.Expect(second.ended()).To(BeFalse())
		third := openLink(ctx, s, 3)
		g.Expect(third.ended()).To(BeFalse())
		g.Expect(second.ended()).To(BeTrue(), "a newer link closes the older one")
		g.Expect(second.handle(frame.Frame{Type: wire.TypeOpen})).To(MatchError(errFenced))
		cancel()
		synctest.Wait()
	})
}
