// Package members keeps an entry's view of the sidecars: it takes their
// announcements from a watermill router and swaps in a new view at each change.
package members

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/internal/mailbox"
	"github.com/carobkeel/carobkeel/sidecar"
)

const (
	// Expiry is how long a sidecar counts as there without an announcement.
	Expiry = 5 * time.Second
	// expiryCheck is the time between two looks for sidecars that are gone.
	expiryCheck = 500 * time.Millisecond
)

// Members holds the view. Reading it takes one atomic load.
type Members struct {
	view    atomic.Pointer[sidecar.View]
	pending *mailbox.Mailbox[arrival]
	metrics *Metrics
	log     *log.Logger
	changed func()
}

type arrival struct {
	announcement sidecar.Announcement
	at           time.Time
}

// New returns members without any sidecar. changed is called after each swap of
// the view.
func New(metrics *Metrics, logger *log.Logger, changed func()) *Members {
	m := &Members{pending: mailbox.New[arrival](), metrics: metrics, log: logger, changed: changed}
	m.view.Store(sidecar.NewView())
	return m
}

// View returns the present view.
func (m *Members) View() *sidecar.View { return m.view.Load() }

// Handle takes one announcement. It is a watermill handler.
func (m *Members) Handle(event *message.Message) error {
	announcement, err := wire.DecodeAnnouncement(event.Payload)
	if err != nil {
		m.log.Warn().Err(err).Msg("announcement dropped")
		return nil
	}
	m.pending.Push(arrival{announcement: announcement, at: time.Now()})
	return nil
}

// Run applies announcements and drops sidecars that fell silent, until ctx ends.
func (m *Members) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryCheck)
	defer ticker.Stop()
	var batch []arrival
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.pending.Signal():
			batch = m.pending.TryTake(batch[:0])
			m.apply(batch)
		case now := <-ticker.C:
			m.swap(m.View().Expire(now.Add(-Expiry)))
		}
	}
}

func (m *Members) apply(batch []arrival) {
	view := m.View()
	for _, a := range batch {
		next, fresh := view.Announce(a.announcement, a.at)
		m.metrics.announced(fresh)
		if next != view {
			m.log.Info().Str("address", a.announcement.Address).Str("service", string(a.announcement.Service)).
				Str("state", a.announcement.State.String()).Msg("sidecar changed")
		}
		view = next
	}
	m.swap(view)
}

func (m *Members) swap(next *sidecar.View) {
	if next == m.View() {
		return
	}
	m.view.Store(next)
	m.metrics.members(len(next.Members()))
	m.changed()
}
