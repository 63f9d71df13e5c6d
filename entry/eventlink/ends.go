package eventlink

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/internal/link"
)

const (
	dialTimeout = time.Second
	// Names of links begin with these.
	acceptedPrefix = "in-"
	dialledPrefix  = "out-"
	// Links that are lost are opened again after a random time that grows
	// between these two, so that the processes of a whole data centre do not
	// come at once.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
)

// IsDialled reports whether the named link was opened by this process.
func IsDialled(peer string) bool { return strings.HasPrefix(peer, dialledPrefix) }

// Listener is an entry's end of the event links.
type Listener struct {
	*hub
	timing link.Config
	log    *log.Logger
}

// NewListener returns a listener. Run it to take links.
func NewListener(timing link.Config, logger *log.Logger) *Listener {
	return &Listener{hub: newHub(acceptedPrefix), timing: timing, log: logger}
}

// Run takes links from the listener until ctx ends.
func (l *Listener) Run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go func() {
			err := l.run(ctx, link.New(conn, l.timing), func() {})
			l.log.Debug().Str("peer", conn.RemoteAddr().String()).Err(err).Msg("event link ended")
		}()
	}
}

// Dialer is the other end: it keeps a link to each of several entries.
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

// NewDialer returns a dialer of the entries at the addresses. onConnect is
// called each time that a link has come up, on a goroutine of its own.
func NewDialer(addresses []string, timing link.Config, logger *log.Logger, onConnect func()) *Dialer {
	return &Dialer{
		hub: newHub(dialledPrefix), timing: timing, log: logger,
		addresses: addresses, onConnect: onConnect, dial: dialTCP,
	}
}

// UseDial makes the dialer open its connections in another way. Call it before
// Run.
func (d *Dialer) UseDial(dial DialFunc) { d.dial = dial }

// Run keeps the links until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	done := make(chan struct{}, len(d.addresses))
	for _, address := range d.addresses {
		go func() {
			d.keep(ctx, address)
			done <- struct{}{}
		}()
	}
	for range d.addresses {
		<-done
	}
}

func (d *Dialer) keep(ctx context.Context, address string) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRetry
	wait.MaxInterval = lastRetry
	for ctx.Err() == nil {
		if d.connect(ctx, address) {
			wait.Reset()
		}
		timer := time.NewTimer(wait.NextBackOff())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// connect holds one link until it ends. It returns false where none came up.
func (d *Dialer) connect(ctx context.Context, address string) bool {
	conn, err := d.dial(ctx, address)
	if err != nil {
		d.log.Debug().Str("entry", address).Err(err).Msg("no event link")
		return false
	}
	l := link.New(conn, d.timing)
	err = d.run(ctx, l, func() { go d.onConnect() })
	d.log.Debug().Str("entry", address).Err(err).Msg("event link ended")
	return true
}
