package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// singleListener is a listener with one connection.
type singleListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *singleListener) Close() error { close(l.closed); return nil }

// Addr implements net.Listener.
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process without file descriptors: a caller's connection that went silent stayed open.
func TestSilentConnectionOfACallerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		listener := &singleListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.conns <- far
		server := newHTTPServer(http.NotFoundHandler())
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(near)
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(near.SetReadDeadline(time.Now().Add(time.Hour))).To(Succeed())
		_, err = reader.ReadByte()
		g.Expect(err).To(MatchError(io.EOF))
	})
}
