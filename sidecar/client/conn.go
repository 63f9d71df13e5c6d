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

// conn is one link to a sidecar, with the requests in flight on it.
type conn struct {
	link    *link.Link
	streams link.Streams[stream]
	// peer is the sidecar's incarnation, zero until its hello arrives.
	peer atomic.Uint64
	// ready is closed when the sidecar's hello arrives.
	ready      chan struct{}
	lateFrames *atomic.Int64
}

// newConn starts a link over a connection and sends the hello. The link ends with
// ctx.
func newConn(ctx context.Context, raw net.Conn, hello wire.Hello, config Config, lateFrames *atomic.Int64) *conn {
	c := &conn{link: link.New(raw, config.timing()), ready: make(chan struct{}), lateFrames: lateFrames}
	c.link.Send(wire.Encode(wire.TypeHello, 0, &hello))
	go func() {
		_ = c.link.Run(ctx, c.handle)
		c.streams.Each(func(s *stream) { s.handleLinkLost() })
	}()
	return c
}

// waitReady blocks until the sidecar's hello arrives, the link ends or ctx ends.
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

func (c *conn) isAlive() bool {
	select {
	case <-c.link.Done():
		return false
	default:
		return true
	}
}

// handle dispatches one frame. Frames of streams that have ended belong to late
// answers; they are counted and dropped.
func (c *conn) handle(f frame.Frame) error {
	if f.Type == wire.TypeHello {
		return c.handleHello(f)
	}
	s := c.streams.Get(f.Stream)
	if s == nil {
		c.lateFrames.Add(1)
		return nil
	}
	switch f.Type {
	case wire.TypeAnswer:
		var answer wire.Answer
		if err := wire.Decode(f, &answer); err != nil {
			return err
		}
		return s.handleAnswer(&answer)
	case wire.TypeAnswerBody:
		return s.handleBody(f.Payload)
	case wire.TypeAnswerEnd:
		var end wire.AnswerEnd
		if err := wire.Decode(f, &end); err != nil {
			return err
		}
		s.handleAnswerEnd(end)
		return nil
	case wire.TypeRefused:
		var refused wire.Refused
		if err := wire.Decode(f, &refused); err != nil {
			return err
		}
		s.handleRefusal(&refused)
		return nil
	case wire.TypeCredit:
		var credit wire.Credit
		if err := wire.Decode(f, &credit); err != nil {
			return err
		}
		s.handleCredit(credit.Bytes)
		return nil
	}
	return errors.Errorf("unexpected frame type %s from a sidecar", wire.TypeName(f.Type))
}

func (c *conn) handleHello(f frame.Frame) error {
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
