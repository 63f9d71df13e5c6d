package client

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// conn is one link to a sidecar with the requests that are in flight on it.
type conn struct {
	link    *link.Link
	streams link.Streams[stream]
	// peer is the sidecar's incarnation, zero before its hello.
	peer  atomic.Uint64
	ready chan struct{}
	late  *atomic.Int64
}

// newConn starts a link over a connection and sends the hello. The link's
// goroutines end with ctx.
func newConn(ctx context.Context, raw net.Conn, hello wire.Hello, config Config, late *atomic.Int64) *conn {
	c := &conn{link: link.New(raw, config.timing()), ready: make(chan struct{}), late: late}
	c.link.Send(wire.Encode(wire.TypeHello, 0, &hello))
	go func() {
		_ = c.link.Run(ctx, c.handle)
		c.streams.Each(func(s *stream) { s.lost() })
	}()
	return c
}

// waitReady parks until the sidecar has said who it is.
func (c *conn) waitReady(ctx context.Context) error {
	select {
	case <-c.ready:
		return nil
	case <-c.link.Done():
		return c.link.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *conn) incarnation() carobkeel.Incarnation { return carobkeel.Incarnation(c.peer.Load()) }

func (c *conn) alive() bool {
	select {
	case <-c.link.Done():
		return false
	default:
		return true
	}
}

// handle dispatches one frame. Frames of streams that have ended are late
// answers; they are dropped and counted.
func (c *conn) handle(f frame.Frame) error {
	if f.Type == wire.TypeHello {
		return c.greet(f)
	}
	s := c.streams.Get(f.Stream)
	if s == nil {
		c.late.Add(1)
		return nil
	}
	switch f.Type {
	case wire.TypeAnswer:
		var answer wire.Answer
		if err := wire.Decode(f, &answer); err != nil {
			return err
		}
		return s.answered(&answer)
	case wire.TypeAnswerBody:
		return s.push(f.Payload)
	case wire.TypeAnswerEnd:
		var end wire.AnswerEnd
		if err := wire.Decode(f, &end); err != nil {
			return err
		}
		s.ended(end)
		return nil
	case wire.TypeRefused:
		var refused wire.Refused
		if err := wire.Decode(f, &refused); err != nil {
			return err
		}
		s.refused(&refused)
		return nil
	case wire.TypeCredit:
		var credit wire.Credit
		if err := wire.Decode(f, &credit); err != nil {
			return err
		}
		s.credited(credit.Bytes)
		return nil
	}
	return errors.Errorf("frame type %s is not for an entry", wire.TypeName(f.Type))
}

func (c *conn) greet(f frame.Frame) error {
	var hello wire.Hello
	if err := wire.Decode(f, &hello); err != nil {
		return err
	}
	if hello.Version != wire.Version {
		return errors.Errorf("sidecar speaks version %d, want %d", hello.Version, wire.Version)
	}
	if c.peer.CompareAndSwap(0, hello.Incarnation) {
		close(c.ready)
	}
	return nil
}
