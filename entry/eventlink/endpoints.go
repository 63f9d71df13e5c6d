package eventlink

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
)

const (
	dialTimeout = time.Second
	// Prefixes of the names of links.
	acceptedPrefix = "in-"
	dialledPrefix  = "out-"
	// A lost link is opened again after a random delay that grows between these
	// two values, so that the processes of a data centre do not all reconnect
	// at the same time.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// IsDialled reports whether the named link was opened by this process.
func IsDialled(peer string) bool { return strings.HasPrefix(peer, dialledPrefix) }

// Listener is an entry's end of the event links.
type Listener struct {
	*hub
	timing link.Config
	log    *log.Logger
}

// NewListener returns a listener. Call Run to accept links.
func NewListener(timing link.Config, logger *log.Logger) *Listener {
	return &Listener{hub: newHub(acceptedPrefix), timing: timing, log: logger}
}

// Run accepts links from the listener until ctx ends.
func (l *Listener) Run(ctx context.Context, listener net.Listener) error {
	return link.Accept(ctx, listener, func(err error) {
		l.log.Error().Err(err).Msg("failed to accept event links")
	}, func(conn net.Conn) {
		go func() {
			err := l.run(ctx, link.New(conn, l.timing), func() {})
			l.log.Debug().Err(err).Str("peer", conn.RemoteAddr().String()).Msg("event link ended")
		}()
	})
}

// Dialer is the dialling end of event links: it maintains a link to each of
// several entries.
type Dialer struct {
	*hub
	timing    link.Config
	log       *log.Logger
	addresses []string
	onConnect func()
	dial      DialFunc
}

// DialFunc opens a connection to an entry.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// NewDialer returns a dialer for the entries at the addresses. onConnect is
// called on a new goroutine each time a link has come up.
func NewDialer(addresses []string, timing link.Config, logger *log.Logger, onConnect func()) *Dialer {
	return &Dialer{
		hub: newHub(dialledPrefix), timing: timing, log: logger,
		addresses: addresses, onConnect: onConnect, dial: dialTCP,
	}
}

// SetDialFunc replaces the function that opens connections. It must be called before
// Run.
func (d *Dialer) SetDialFunc(dial DialFunc) { d.dial = dial }

// Run maintains the links until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	done := make(chan struct{}, len(d.addresses))
	for _, address := range d.addresses {
		go func() {
			d.maintain(ctx, address)
			done <- struct{}{}
		}()
	}
	for range d.addresses {
		<-done
	}
}

func (d *Dialer) maintain(ctx context.Context, address string) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		if d.connect(ctx, address) {
			retry.Reset()
		}
		timer := time.NewTimer(retry.NextBackOff())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// connect opens a link and serves it until it ends. It returns false if the link
// could not be opened.
func (d *Dialer) connect(ctx context.Context, address string) bool {
	conn, err := d.dial(ctx, address)
	if err != nil {
		d.log.Debug().Err(err).Str("entry", address).Msg("failed to open event link")
		return false
	}
	l := link.New(conn, d.timing)
	// The listener closes connections first whose peer has sent no frame, and events may not come
	// for long. The peer ignores an unsolicited pong.
	l.Send(frame.Frame{Type: frame.TypePong})
	err = d.run(ctx, l, func() { go d.onConnect() })
	d.log.Debug().Err(err).Str("entry", address).Msg("event link ended")
	return true
}
