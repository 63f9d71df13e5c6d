package link_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/link"
)

// fullListener fails three times, as a process with too many open files does, and then accepts
// one connection.
type fullListener struct {
	calls  int
	closed chan struct{}
}

func (l *fullListener) Accept() (net.Conn, error) {
	l.calls++
	switch {
	case l.calls <= 3:
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	case l.calls == 4:
		conn, _ := net.Pipe()
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *fullListener) Close() error {
	close(l.closed)
	return nil
}

func (l *fullListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against an entry that accepts no link any more, after it once had too many open files.
func TestLinksAreAcceptedAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		listener := &fullListener{closed: make(chan struct{})}
		failures, accepted := 0, 0
		ended := make(chan error)
		go func() {
			ended <- link.Accept(ctx, listener, func(error) { failures++ }, func(net.Conn) { accepted++ })
		}()
		<-time.After(time.Second)
		synctest.Wait()
		g.Expect(accepted).To(Equal(1))
		g.Expect(failures).To(Equal(1), "a series of failures is reported once")
		cancel()
		g.Expect(<-ended).To(Succeed())
	})
}

func TestAcceptReportsAListenerThatOthersClosed(t *testing.T) {
	listener := &fullListener{calls: 4, closed: make(chan struct{})}
	_ = listener.Close()
	err := link.Accept(t.Context(), listener, func(error) {}, func(net.Conn) {})
	NewWithT(t).Expect(errors.Is(err, net.ErrClosed)).To(BeTrue())
}
