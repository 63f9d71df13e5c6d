package link

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
)

// acceptPause is the delay after a connection that could not be accepted, for instance
// because the process has too many open files.
const acceptPause = 50 * time.Millisecond

// Accept passes each connection to serve until ctx ends, when it closes the listener. An error
// of one connection doesn't end it, and failed gets the first one of a series. It returns an
// error only if the listener was closed by others.
func Accept(ctx context.Context, listener net.Listener, failed func(error), serve func(net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	failing := false
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			failing = false
			serve(conn)
			continue
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept link")
		}
		if !failing {
			failed(err)
		}
		failing = true
		if clock.Sleep(ctx, acceptPause) != nil {
			return nil
		}
	}
}
