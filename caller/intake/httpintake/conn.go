package httpintake

import (
	"bytes"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/carobkeel/carobkeel/caller/intake"
)

const (
	// freeHeadBytes is how much of a head isn't taken from the budget, since it is counted in what
	// every connection holds. Each further byte counts headFactor times, as a field of a few bytes
	// is kept as an entry of a map that grows.
	freeHeadBytes = 1 << 10
	headFactor    = 24
	// freeFields is how many fields of a complete head aren't taken from the budget for the same
	// reason, and fieldBytes is what each further field counts.
	freeFields = 32
	fieldBytes = 256
	// writeTimeout is how long writeBytes of an answer may take to be sent. It ends connections of
	// clients that don't read their answers, and allows long answers on slow links.
	writeTimeout = 30 * time.Second
	writeBytes   = 32 << 10
)

// endOfHead is the end of a head's last line and the empty line after it.
var endOfHead = []byte("\r\n\r\n")

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Listener accepts connections within the limits.
type Listener struct {
	net.Listener
	intake *Intake
	table  *intake.Table
}

// Accept implements net.Listener. If all places are taken, it closes the connection that has to give
// way. If no connection has to, it closes the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection, or nil if it was closed.
func (l *Listener) admit(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l}
	c.sender = intake.NewSender(hostOf(inner.RemoteAddr()), l.intake.now(), c.interrupt)
	c.sender.Undelivered = c.undelivered
	verdict := l.table.Add(c.sender)
	for verdict == intake.Full && l.closeSlowest() {
		verdict = l.table.Add(c.sender)
	}
	if verdict == intake.Admitted {
		return c
	}
	l.intake.metrics.connectionsRefused.Inc(1)
	l.intake.logReached("connections", c.sender.Address)
	reset(inner)
	return nil
}

// closeSlowest closes the connection that has to give way to a new one, and reports whether there
// was one.
func (l *Listener) closeSlowest() bool {
	sender, phase := l.table.Slowest(l.intake.now())
	if sender == nil || !sender.Evict(phase, l.intake.budget, false) {
		return false
	}
	l.table.Remove(sender)
	l.intake.metrics.connectionsClosed.Inc(1)
	l.intake.logReached("connections", sender.Address)
	return true
}

// reset closes a connection without waiting for what was not sent.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// Conn is a client's connection. One goroutine reads from it at a time.
type Conn struct {
	net.Conn
	listener *Listener
	sender   *intake.Sender
	// headBytes is the length of what has come of the present head.
	headBytes int64
	closed    atomic.Bool
}

// Read implements net.Conn. The bytes of a long head are taken from the budget.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if phase := c.sender.Phase(); phase != intake.PhaseHead && phase != intake.PhaseIdle {
		return n, err
	}
	if !c.takeHead(int64(headLength(p[:n]))) {
		c.listener.intake.metrics.headsRefused.Inc(1)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// headLength returns how many of the bytes are a part of the head: an empty line ends it. One that
// comes in two reads is not found, and then the bytes beyond count as well, as they do after empty
// lines before a head, which a server skips.
func headLength(part []byte) int {
	if end := bytes.Index(part, endOfHead); end >= len(endOfHead) {
		return end + len(endOfHead)
	}
	return len(part)
}

// takeHead counts bytes of a head, and reports whether the budget has them.
func (c *Conn) takeHead(n int64) bool {
	before := max(0, c.headBytes-freeHeadBytes)
	c.headBytes += n
	more := max(0, c.headBytes-freeHeadBytes) - before
	return more == 0 || c.listener.intake.take(c, more*headFactor)
}

// takeFields is called once a head is complete. It gives back what was taken for the bytes of the
// head, among which may be some of the body, and takes what the fields hold. It reports whether the
// budget has that.
func (c *Conn) takeFields(fields int) bool {
	c.sender.ReturnAll(c.listener.intake.budget)
	more := int64(fields-freeFields) * fieldBytes
	return more <= 0 || c.listener.intake.take(c, more)
}

// Write implements net.Conn. Each part of a long answer has its own time limit.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writeBytes)]
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write fails if this does
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite lets the server end its side first, so that the client gets the last answer.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.table.Remove(c.sender)
		c.sender.ReturnAll(c.listener.intake.budget)
	}
	return c.Conn.Close()
}

// Establish removes the limits from a connection whose peer has shown that it is a process of the
// system.
func (c *Conn) Establish() {
	if c.sender.Begin(intake.PhaseServing, c.listener.intake.now()) {
		c.listener.table.Remove(c.sender)
		c.sender.ReturnAll(c.listener.intake.budget)
	}
}

// undelivered reports whether the client's side has not acknowledged all that was written.
func (c *Conn) undelivered() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	queued := 0
	// It fails only on a closed connection.
	_ = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return queued > 0
}

// interrupt ends the connection, which is evicted: at once, or by the answer to a request whose
// body has not come.
func (c *Conn) interrupt(answer bool) {
	if answer {
		_ = c.Conn.SetReadDeadline(past) // fails only on a closed connection
		return
	}
	reset(c.Conn)
}
