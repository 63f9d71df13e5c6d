package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// chunkSize is how many bytes are read at a time, and queuedChunks how many chunks
	// may be on their way.
	chunkSize    = 16 << 10
	queuedChunks = 16
)

// chunk is what one read returned.
type chunk struct {
	content []byte
	// err is the error of the read, io.EOF if the sender closed.
	err error
	// arrives is when it arrives at the other end.
	arrives time.Time
}

// pipe carries one direction of a connection.
type pipe struct {
	connection *connection
	direction  direction
	from, to   *net.TCPConn
	chunks     chan chunk
}

func newPipe(c *connection, d direction, from, to *net.TCPConn) *pipe {
	return &pipe{connection: c, direction: d, from: from, to: to, chunks: make(chan chunk, queuedChunks)}
}

// run carries the direction until its sender has closed or the connection is over.
func (p *pipe) run() {
	var reading sync.WaitGroup
	reading.Go(p.read)
	p.deliver()
	reading.Wait()
}

func (p *pipe) read() {
	var last time.Time
	for {
		buffer := make([]byte, chunkSize)
		n, err := p.from.Read(buffer)
		arrives := time.Now().Add(p.connection.relay.state.Load().delay())
		if arrives.Before(last) {
			arrives = last
		}
		last = arrives
		select {
		case p.chunks <- chunk{content: buffer[:n], err: err, arrives: arrives}:
		case <-p.connection.over():
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *pipe) deliver() {
	for {
		select {
		case next := <-p.chunks:
			if !p.deliverChunk(next) {
				return
			}
		case <-p.connection.over():
			return
		}
	}
}

// deliverChunk delivers a chunk when it is due. It returns false after the last one.
func (p *pipe) deliverChunk(next chunk) bool {
	if !p.await(time.Until(next.arrives), nil, nil) || !p.write(next.content) {
		return false
	}
	if next.err == nil {
		return true
	}
	if _, open := p.connection.pass(p.direction); !open {
		return false
	}
	if next.err != io.EOF || p.to.CloseWrite() != nil {
		p.connection.reset()
	}
	return false
}

// write writes the content as fast as the link lets it through.
func (p *pipe) write(content []byte) bool {
	for len(content) > 0 {
		s, open := p.connection.pass(p.direction)
		if !open {
			return false
		}
		piece := content
		if limiter := s.limiters[p.direction]; limiter != nil {
			piece = content[:min(len(content), pieceSize)]
			if !p.awaitTurn(limiter, len(piece), s) {
				continue
			}
		}
		if _, err := p.to.Write(piece); err != nil {
			p.connection.reset()
			return false
		}
		content = content[len(piece):]
	}
	return true
}

// awaitTurn waits until the limiter lets n bytes through. It returns false if the link's
// state has changed meanwhile, or the connection has become silent or is over.
func (p *pipe) awaitTurn(limiter *rate.Limiter, n int, s *state) bool {
	reservation := limiter.ReserveN(time.Now(), n)
	if p.await(reservation.Delay(), s.changed, p.connection.silent) {
		return true
	}
	reservation.Cancel()
	return false
}

// await waits for a time. It returns false if one of the channels was closed meanwhile or
// the connection is over.
func (p *pipe) await(d time.Duration, changed, silent <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return false
	case <-silent:
		return false
	case <-p.connection.over():
		return false
	}
}
