package link_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
)

func TestLinkEndsAfterSilenceTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }() // reads but never answers
		config := link.Config{HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second}
		started := time.Now()
		err := link.New(near, config).Run(t.Context(), func(frame.Frame) error { return nil })
		g.Expect(err).To(MatchError(link.ErrSilenceTimeout))
		g.Expect(time.Since(started)).To(BeNumerically("<=", config.SilenceTimeout+config.HeartbeatInterval))
		_ = far.Close()
	})
}

func TestPanicOnAFrameEndsOnlyItsLink(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	a, b := link.New(near, link.DefaultConfig()), link.New(far, link.DefaultConfig())
	go func() { _ = a.Run(t.Context(), func(frame.Frame) error { return nil }) }()
	a.Send(frame.Frame{Type: frame.FirstProtocolType, Payload: []byte("odd")})
	err := b.Run(t.Context(), func(frame.Frame) error { panic("index out of range") })
	g.Expect(err).To(MatchError(link.ErrHandlerPanic))
	g.Expect(err).To(MatchError(ContainSubstring("index out of range")))
}

func TestLinkStaysOpenWhilePeerAnswersPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		a, b := link.New(near, link.DefaultConfig()), link.New(far, link.DefaultConfig())
		got := make(chan string, 1)
		go func() { _ = a.Run(t.Context(), func(frame.Frame) error { return nil }) }()
		go func() {
			_ = b.Run(t.Context(), func(f frame.Frame) error { got <- string(f.Payload); return nil })
		}()
		<-time.After(time.Minute)
		g.Expect(a.Err()).NotTo(HaveOccurred())
		a.Send(frame.Frame{Type: frame.FirstProtocolType, Payload: []byte("hello")})
		g.Expect(<-got).To(Equal("hello"))
		a.Close()
		synctest.Wait()
		g.Expect(a.Err()).To(MatchError(link.ErrClosed))
		g.Expect(a.Send(frame.Frame{})).To(BeFalse())
		g.Expect(b.Err()).To(HaveOccurred())
	})
}

func TestBodyLargerThanWindowArrivesCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		body := bytes.Repeat([]byte("0123456789abcdef"), 4*link.WindowBytes/16)
		sender := link.NewSender()
		receiver := link.NewReceiver(t.Context(), sender.Grant)
		go func() {
			_, err := sender.Send(t.Context(), bytes.NewReader(body), receiver.Push)
			if err == nil {
				err = io.EOF
			}
			receiver.End(err)
		}()
		synctest.Wait() // the sender is blocked on credit, as nothing was read yet
		got, err := io.ReadAll(receiver)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Equal(got, body)).To(BeTrue())
	})
}

func TestReceiverRejectsMoreThanItsWindow(t *testing.T) {
	receiver := link.NewReceiver(t.Context(), func(int64) {})
	g := NewWithT(t)
	g.Expect(receiver.Push(make([]byte, link.WindowBytes))).To(Succeed())
	g.Expect(receiver.Push([]byte{1})).To(MatchError(link.ErrWindowExceeded))
}

func TestReceiverEndsWithItsContext(t *testing.T) {
	reason := errors.New("caller went away")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(reason)
	_, err := link.NewReceiver(ctx, func(int64) {}).Read(make([]byte, 1))
	NewWithT(t).Expect(err).To(MatchError(reason))
}

// A stream number must never refer to another stream after its slot is reused.
func TestStreamNumbersAreNeverReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var streams link.Streams[int]
		open := map[uint64]*int{}
		var ended []uint64
		steps := rapid.SliceOfN(rapid.Bool(), 1, 300).Draw(t, "steps")
		for i, isAdd := range steps {
			if isAdd || len(open) == 0 {
				value := i
				number, ok := streams.Add(&value)
				g.Expect(ok).To(BeTrue())
				g.Expect(open).NotTo(HaveKey(number))
				g.Expect(ended).NotTo(ContainElement(number))
				open[number] = &value
				continue
			}
			for number := range open {
				g.Expect(streams.Remove(number)).To(BeTrue())
				delete(open, number)
				ended = append(ended, number)
				break
			}
		}
		for number, value := range open {
			g.Expect(streams.Get(number)).To(BeIdenticalTo(value))
		}
		for _, number := range ended {
			g.Expect(streams.Get(number)).To(BeNil())
			g.Expect(streams.Remove(number)).To(BeFalse())
		}
		g.Expect(streams.Len()).To(Equal(len(open)))
	})
}

func TestQuietLinkStaysOpenWithoutPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		a, b := link.New(near, link.EventConfig()), link.New(far, link.EventConfig())
		for _, end := range []*link.Link{a, b} {
			go func() { _ = end.Run(t.Context(), func(frame.Frame) error { return nil }) }()
		}
		<-time.After(time.Minute)
		g.Expect(a.Err()).NotTo(HaveOccurred())
		g.Expect(b.Err()).NotTo(HaveOccurred())
		g.Expect(a.RoundTrip()).To(BeZero(), "no ping was sent")
		a.Close()
		synctest.Wait()

		near, far = net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		started := time.Now()
		err := link.New(near, link.EventConfig()).Run(t.Context(), func(frame.Frame) error { return nil })
		g.Expect(err).To(MatchError(link.ErrSilenceTimeout))
		config := link.EventConfig()
		g.Expect(time.Since(started)).To(BeNumerically("<=", config.SilenceTimeout+config.HeartbeatInterval))
		_ = far.Close()
	})
}
