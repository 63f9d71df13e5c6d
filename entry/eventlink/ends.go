package eventlink

import (
	"context"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/internal/link"
)

const (
	dialTimeout = time.Second
	// Links that are lost are opened again after a random time that grows
	// between these two, so that the processes of a whole data centre do not
	// come at once.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
)

// Listener is an entry's end of the event links.
type Listener struct {
	*hub
	timing link.Config
	log    *log.Logger
}

// NewListener returns a listener. Run it to take links.
func NewListener(timing link.Config, logger *log.Logger) *Listener {
	return &Listener{hub: newHub(), timing: timing, log: logger}
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
			err := l.run(ctx, link.New(conn, l.timing))
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
}

// NewDialer returns a dialer of the entries at the addresses. onConnect is
// called each time that a link has come up, on a goroutine of its own.
func NewDialer(addresses []string, timing link.Config, logger *log.Logger, onConnect func()) *Dialer {
	return &Dialer{hub: newHub(), timing: timing, log: logger, addresses: addresses, onConnect: onConnect}
}

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
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		d.log.Debug().Str("entry", address).Err(err).Msg("no event link")
		return false
	}
	l := link.New(conn, d.timing)
	d.addLink(l)
	defer d.removeLink(l)
	go d.onConnect()
	err = l.Run(ctx, d.handle)
	d.log.Debug().Str("entry", address).Err(err).Msg("event link ended")
	return true
}
