// Package members keeps an entry's view of the sidecars: it takes their
// announcements and the word of other entries from a watermill router, swaps in
// a new view at each change, and tells the other entries.
package members

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/internal/mailbox"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/sidecar"
)

const (
	// expiryCheck is the time between two looks for sidecars that are gone.
	expiryCheck = 500 * time.Millisecond
	// PresenceInterval is the mean time between two words to the other entries
	// on which sidecars this one hears. Several fit in sidecar.RelayedExpiry.
	PresenceInterval = 5 * time.Second
	// relayedAtOnce bounds the announcements in one message.
	relayedAtOnce = 500
)

// Topics of the two ends of an entry's event links.
var (
	// AcceptedTopics come from sidecars and from entries that linked to this one.
	AcceptedTopics = eventlink.Topics(wire.TopicAnnouncement, wire.TopicRelay, wire.TopicPresence,
		wire.TopicWanted, wire.TopicStops, wire.TopicAll)
	// DialledTopics come from the entries that this one linked to, and tell of
	// the links to them.
	DialledTopics = eventlink.Topics(eventlink.TopicLink, wire.TopicRelay, wire.TopicPresence,
		wire.TopicWanted, wire.TopicStops)
)

// Config is what Members need.
type Config struct {
	Metrics *Metrics
	Log     *log.Logger
	// Accepted and Dialled are the ends of links that other entries opened to
	// this one, and that this one opened to them. Without them the others are
	// told nothing.
	Accepted message.Publisher
	Dialled  message.Publisher
	// Changed is called after each swap of the view.
	Changed func()
	// Report returns what this entry tells the others of itself.
	Report func() entry.Report
	// Stops returns the planned stops as they were last read from the table
	// service; nil stands for none.
	Stops func() []operator.Stop
}

// Members holds the view of the sidecars and the list of the other entries.
// Reading either takes one atomic load.
type Members struct {
	config  Config
	view    atomic.Pointer[sidecar.View]
	entries atomic.Pointer[[]entry.Listing]
	pending *mailbox.Mailbox[arrival]
}

// arrival is a message that came, one of the lists.
type arrival struct {
	announcements []sidecar.Announcement
	hop           sidecar.Hop
	presences     []sidecar.Presence
	report        entry.Report
	stops         []operator.Stop
	wanted        []carobkeel.Incarnation
	// linked says that a link to an entry came up, asked that an entry asks
	// for all that is known here.
	linked bool
	asked  bool
	peer   string
	at     time.Time
}

// New returns members without any sidecar.
func New(c Config) *Members {
	m := &Members{config: c, pending: mailbox.New[arrival]()}
	m.view.Store(sidecar.NewView())
	m.entries.Store(&[]entry.Listing{})
	return m
}

// Entries returns the other entries that were heard of.
func (m *Members) Entries() []entry.Listing { return *m.entries.Load() }

// View returns the present view.
func (m *Members) View() *sidecar.View { return m.view.Load() }

// Handle takes one message of AcceptedTopics or DialledTopics. It is a watermill
// handler.
func (m *Members) Handle(event *message.Message) error {
	a, err := decode(event)
	if err != nil {
		m.config.Log.Warn().Err(err).Msg("message dropped")
		return nil
	}
	a.at = time.Now()
	m.pending.Push(a)
	return nil
}

func decode(event *message.Message) (arrival, error) {
	a := arrival{peer: event.Metadata.Get(eventlink.MetadataPeer)}
	var err error
	switch topic := event.Metadata.Get(eventlink.MetadataTopic); topic {
	case wire.TopicAnnouncement:
		var one sidecar.Announcement
		one, err = wire.DecodeAnnouncement(event.Payload)
		a.announcements = []sidecar.Announcement{one}
	case wire.TopicRelay:
		a.hop = sidecar.HopRelayed
		a.announcements, err = wire.DecodeAnnouncements(event.Payload)
	case wire.TopicPresence:
		a.report, a.presences, err = wire.DecodePresences(event.Payload)
	case eventlink.TopicLink:
		a.linked = event.Metadata.Get(eventlink.MetadataState) == eventlink.StateUp
	case wire.TopicAll:
		a.asked = true
	case wire.TopicStops:
		a.stops, err = wire.DecodeStops(event.Payload)
	case wire.TopicWanted:
		a.wanted, err = wire.DecodeWanted(event.Payload)
	default:
		err = errors.Errorf("topic %q is not of the membership", topic)
	}
	return a, err
}

// Run applies what comes, drops sidecars that fell silent and tells the other
// entries, until ctx ends.
func (m *Members) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryCheck)
	defer ticker.Stop()
	presence := time.NewTimer(presenceWait())
	defer presence.Stop()
	known, board, directory := sidecar.NewMembership(), entry.NewStopBoard(), entry.NewDirectory()
	var batch []arrival
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.pending.Signal():
			batch = m.pending.TryTake(batch[:0])
			m.apply(known, directory, batch)
			m.mergeStops(board, batch)
			m.introduce(known, board, batch)
			clear(batch)
		case now := <-ticker.C:
			known.Expire(now)
			directory.Expire(now)
			m.list(directory)
			m.readStops(board, now)
		case now := <-presence.C:
			m.tell(known.Presences(now), "")
			m.tellStops(board, "")
			presence.Reset(presenceWait())
		}
		known.Stop(board.Draining())
		m.swap(known.View())
	}
}

// presenceWait returns a random time of half to one and a half of the interval.
func presenceWait() time.Duration { return PresenceInterval/2 + rand.N(PresenceInterval) }

func (m *Members) apply(known *sidecar.Membership, directory *entry.Directory, batch []arrival) {
	var relayed []sidecar.Announcement
	for _, a := range batch {
		if a.report.Incarnation != 0 {
			directory.Hear(a.report, a.at)
			m.list(directory)
		}
		for _, announcement := range a.announcements {
			fresh, relay := known.Announce(announcement, a.hop, a.at)
			m.config.Metrics.announced(fresh)
			if relay {
				m.logChange(announcement)
				relayed = append(relayed, announcement)
			}
		}
		if missing := known.Hear(a.presences, a.at); len(missing) > 0 {
			m.ask(a.peer, missing)
		}
		if found := known.Lookup(a.wanted, a.at); len(found) > 0 {
			m.relay(found, a.peer)
		}
	}
	m.relay(relayed, "")
}

func (m *Members) logChange(a sidecar.Announcement) {
	m.config.Log.Info().Str("address", a.Address).Str("service", string(a.Service)).
		Str("state", a.State.String()).Msg("sidecar changed")
}

func (m *Members) list(directory *entry.Directory) {
	list := directory.List()
	m.entries.Store(&list)
}

func (m *Members) swap(next *sidecar.View) {
	if next == m.View() {
		return
	}
	m.view.Store(next)
	m.config.Metrics.members(len(next.Members()))
	m.config.Changed()
}
