package relay

import (
	"bytes"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const (
	// short is a time in which nothing is to arrive, and long one in which all is.
	short = 100 * time.Millisecond
	long  = 10 * time.Second
)

// newLink returns a relay to a server that sends back what it gets and closes when its
// client does. The channel has the error with which each connection of the server ended.
func newLink(t *testing.T) (*Relay, <-chan error) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 100)
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				_, err := io.Copy(conn, conn)
				ended <- err
				_ = conn.Close()
			}()
		}
	}()
	r, err := Listen("127.0.0.1:0", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		_ = server.Close()
	})
	return r, ended
}

func dial(t *testing.T, r *Relay) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// tryDial returns how a new connection fails: while it is opened, or at the first read.
func tryDial(r *Relay) error {
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		return err
	}
	defer conn.Close()
	return hear(conn, "new", long)
}

// echo sends a text and returns the error of reading it back within a time.
func echo(conn net.Conn, text string, within time.Duration) error {
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	return hear(conn, text, within)
}

func hear(conn net.Conn, text string, within time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	heard := make([]byte, len(text))
	if _, err := io.ReadFull(conn, heard); err != nil {
		return err
	}
	if string(heard) != text {
		return errors.Errorf("heard %q, not %q", heard, text)
	}
	return nil
}

func beHeldBack() OmegaMatcher { return MatchError(os.ErrDeadlineExceeded) }

func beReset() OmegaMatcher { return MatchError(syscall.ECONNRESET) }

func TestSoundLinkCarriesAllBytesAndTheClose(t *testing.T) {
	g := NewWithT(t)
	r, ended := newLink(t)
	conn := dial(t, r)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() {
		_, _ = conn.Write(sent)
		_ = conn.CloseWrite()
	}()
	heard, err := io.ReadAll(deadline(conn))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(heard, sent)).To(BeTrue())
	g.Eventually(ended, long).Should(Receive(BeNil()))
	g.Eventually(r.Open, long).Should(BeZero())
}

func TestDelayHoldsBothWays(t *testing.T) {
	g := NewWithT(t)
	r, _ := newLink(t)
	r.Impair(Impairment{Delay: short, Jitter: short / 10})
	conn := dial(t, r)
	began := time.Now()
	g.Expect(echo(conn, "hello", long)).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically(">=", 2*short))
}

func TestLossHoldsBackOneDirectionUntilItIsOver(t *testing.T) {
	for _, loss := range []Loss{LoseToServer, LoseToClient} {
		g := NewWithT(t)
		r, _ := newLink(t)
		conn := dial(t, r)
		g.Expect(echo(conn, "before", long)).To(Succeed())
		r.Impair(Impairment{Lose: loss})
		g.Expect(echo(conn, "meanwhile", short)).To(beHeldBack())
		fresh := dial(t, r)
		g.Expect(echo(fresh, "new", short)).To(beHeldBack())
		r.Impair(Impairment{})
		g.Expect(hear(conn, "meanwhile", long)).To(Succeed())
		g.Expect(hear(fresh, "new", long)).To(Succeed())
	}
}

func TestLossOfOneDirectionLeavesTheOther(t *testing.T) {
	g := NewWithT(t)
	r, ended := newLink(t)
	conn := dial(t, r)
	g.Expect(echo(conn, "before", long)).To(Succeed())
	r.Impair(Impairment{Lose: LoseToClient})
	g.Expect(echo(conn, "one", short)).To(beHeldBack())
	r.Impair(Impairment{Lose: LoseToServer})
	g.Expect(hear(conn, "one", long)).To(Succeed())
	r.Impair(Impairment{Lose: LoseToClient})
	g.Expect(conn.CloseWrite()).To(Succeed())
	g.Eventually(ended, long).Should(Receive(BeNil()))
}

func TestNewConnectionsDuringALossDoNotReachTheServer(t *testing.T) {
	g := NewWithT(t)
	r, ended := newLink(t)
	r.Impair(Impairment{Lose: LoseToClient})
	g.Expect(dial(t, r).CloseWrite()).To(Succeed())
	g.Consistently(ended, short).ShouldNot(Receive())
	r.Impair(Impairment{})
	g.Eventually(ended, long).Should(Receive(BeNil()))
}

func TestSilentConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	g := NewWithT(t)
	r, ended := newLink(t)
	old := dial(t, r)
	g.Expect(echo(old, "before", long)).To(Succeed())
	r.Silence()
	g.Expect(echo(dial(t, r), "new", long)).To(Succeed())
	r.Impair(Impairment{Delay: time.Millisecond})
	g.Expect(echo(old, "after", short)).To(beHeldBack())
	g.Expect(old.Close()).To(Succeed())
	g.Consistently(ended, short).ShouldNot(Receive())
	g.Expect(r.Open()).To(Equal(2))
}

func TestResetReachesBothEnds(t *testing.T) {
	g := NewWithT(t)
	r, ended := newLink(t)
	conn := dial(t, r)
	g.Expect(echo(conn, "before", long)).To(Succeed())
	r.Reset()
	g.Expect(hear(conn, "after", long)).To(beReset())
	g.Eventually(ended, long).Should(Receive(beReset()))
	g.Eventually(r.Open, long).Should(BeZero())
	g.Expect(echo(dial(t, r), "new", long)).To(Succeed())
}

func TestResetOfOneEndReachesTheOther(t *testing.T) {
	g := NewWithT(t)
	r, ended := newLink(t)
	conn := dial(t, r)
	g.Expect(echo(conn, "before", long)).To(Succeed())
	g.Expect(conn.SetLinger(0)).To(Succeed())
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(ended, long).Should(Receive(beReset()))
}

func TestSqueezedLinkKeepsToItsRateUntilItIsLifted(t *testing.T) {
	g := NewWithT(t)
	r, _ := newLink(t)
	const perSecond = 20 * pieceSize
	r.Impair(Impairment{BytesPerSecond: perSecond})
	conn := dial(t, r)
	text := string(bytes.Repeat([]byte("x"), 5*pieceSize))
	began := time.Now()
	g.Expect(echo(conn, text, long)).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically(">=", 4*time.Second/20))

	r.Impair(Impairment{BytesPerSecond: 1})
	g.Expect(echo(conn, text, short)).To(beHeldBack())
	r.Impair(Impairment{})
	_, err := io.CopyN(io.Discard, deadline(conn), int64(len(text)-pieceSize))
	g.Expect(err).NotTo(HaveOccurred())
}

func deadline(conn net.Conn) net.Conn {
	_ = conn.SetReadDeadline(time.Now().Add(long))
	return conn
}

func TestCutHoldsOpenConnectionsAndRefusesNewOnes(t *testing.T) {
	g := NewWithT(t)
	r, _ := newLink(t)
	conn := dial(t, r)
	g.Expect(echo(conn, "before", long)).To(Succeed())
	r.Impair(Impairment{Cut: CutRefusing})
	g.Expect(echo(conn, "meanwhile", short)).To(beHeldBack())
	g.Expect(tryDial(r)).To(beReset())
	r.Impair(Impairment{})
	g.Expect(hear(conn, "meanwhile", long)).To(Succeed())
}

func TestCutLeavesNewConnectionsUnanswered(t *testing.T) {
	g := NewWithT(t)
	r, _ := newLink(t)
	r.Impair(Impairment{Cut: CutUnanswered})
	conn := dial(t, r)
	g.Expect(echo(conn, "new", short)).To(beHeldBack())
	r.Impair(Impairment{Cut: CutRefusing})
	g.Expect(hear(conn, "new", long)).To(beReset())
}

func TestGroupIsSwitchedTogether(t *testing.T) {
	g := NewWithT(t)
	first, _ := newLink(t)
	second, _ := newLink(t)
	conns := []net.Conn{dial(t, first), dial(t, second)}
	group := Group{first, second}
	group.Impair(Impairment{Cut: CutUnanswered})
	for _, conn := range conns {
		g.Expect(echo(conn, "cut", short)).To(beHeldBack())
	}
	group.Impair(Impairment{})
	for _, conn := range conns {
		g.Expect(hear(conn, "cut", long)).To(Succeed())
	}
	group.Silence()
	for _, conn := range conns {
		g.Expect(echo(conn, "silent", short)).To(beHeldBack())
	}
	group.Reset()
	for _, conn := range conns {
		g.Expect(hear(conn, "reset", long)).To(beReset())
	}
}

func TestCloseEndsAllThatRuns(t *testing.T) {
	g := NewWithT(t)
	r, _ := newLink(t)
	silent, waiting := dial(t, r), dial(t, r)
	g.Expect(echo(silent, "before", long)).To(Succeed())
	r.Silence()
	r.Impair(Impairment{Cut: CutUnanswered})
	closed := make(chan struct{})
	go func() {
		r.Close()
		close(closed)
	}()
	g.Eventually(closed, long).Should(BeClosed())
	g.Expect(hear(waiting, "new", long)).NotTo(beHeldBack())
	g.Expect(r.Open()).To(BeZero())
}

func TestRelayStaysOnLoopback(t *testing.T) {
	g := NewWithT(t)
	_, err := Listen("127.0.0.1:0", "192.0.2.1:80")
	g.Expect(err).To(MatchError(ContainSubstring("loopback")))
}

func TestRelayRefusesConnectionsUntilItResumes(t *testing.T) {
	g := NewWithT(t)
	r, _ := newLink(t)
	open := dial(t, r)
	r.Refuse()
	_, err := net.Dial("tcp", r.Addr())
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
	g.Expect(open.Write([]byte("a"))).To(Equal(1))
	g.Expect(io.ReadFull(open, make([]byte, 1))).To(Equal(1))
	g.Expect(r.Resume()).To(Succeed())
	g.Expect(dial(t, r).Close()).To(Succeed())
}
