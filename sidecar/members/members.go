// Package members maintains an entry's view of the sidecars. It receives their
// announcements and the presences of other entries from a watermill router,
// publishes a new view at each change, and sends updates to the other entries.
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
	// expiryCheckInterval is the interval of the checks for expired sidecars.
	expiryCheckInterval = 500 * time.Millisecond
	// PresenceInterval is the mean interval at which presences are sent to the
	// other entries. Several intervals fit in sidecar.RelayedExpiry.
	PresenceInterval = 5 * time.Second
	// maxItemsPerMessage bounds the announcements, presences or incarnations in
	// one message.
	maxItemsPerMessage = 500
)

// Topics that Members must receive from the two ends of an entry's event links.
var (
	// AcceptedTopics are sent by sidecars and by entries that opened a link to
	// this one.
	AcceptedTopics = eventlink.Topics(wire.TopicAnnouncement, wire.TopicRelay, wire.TopicPresence,
		wire.TopicAnnouncementRequest, wire.TopicStops, wire.TopicSync)
	// DialledTopics are sent by the entries to which this one opened a link, and
	// include the state changes of these links.
	DialledTopics = eventlink.Topics(eventlink.TopicLink, wire.TopicRelay, wire.TopicPresence,
		wire.TopicAnnouncementRequest, wire.TopicStops)
)

// Config holds the dependencies of Members.
type Config struct {
	Metrics *Metrics
	Log     *log.Logger
	// Accepted publishes on the links that other entries opened to this one,
	// Dialled on those that this one opened to them. Nothing is sent on an end
	// that is nil.
	Accepted message.Publisher
	Dialled  message.Publisher
	// OnChange is called after each change of the view.
	OnChange func()
	// Report returns the report on this entry that is sent to the others.
	Report func() entry.Report
	// Stops returns the planned stops as last read from the table service. It may
	// be nil, in which case none are read.
	Stops func() []operator.Stop
}

// Members holds the view of the sidecars and the list of the other entries. Each
// is read with one atomic load.
type Members struct {
	config  Config
	view    atomic.Pointer[sidecar.View]
	entries atomic.Pointer[[]entry.ReceivedReport]
	inbox   *mailbox.Mailbox[inboundMessage]
}

// inboundMessage is a received message. Only the fields of its topic are set.
type inboundMessage struct {
	announcements []sidecar.Announcement
	hop           sidecar.Hop
	presences     []sidecar.Presence
	report        entry.Report
	stops         []operator.Stop
	wanted        []carobkeel.Incarnation
	// linkUp reports that a link to an entry came up.
	linkUp bool
	// snapshotRequested reports that an entry requests all presences and stops.
	snapshotRequested bool
	peer              string
	at                time.Time
}

// New returns Members without sidecars.
func New(c Config) *Members {
	m := &Members{config: c, inbox: mailbox.New[inboundMessage]()}
	m.view.Store(sidecar.NewView())
	m.entries.Store(&[]entry.ReceivedReport{})
	return m
}

// Entries returns the other known entries.
func (m *Members) Entries() []entry.ReceivedReport { return *m.entries.Load() }

// View returns the current view.
func (m *Members) View() *sidecar.View { return m.view.Load() }

// Handle queues one message of AcceptedTopics or DialledTopics. It is a watermill
// handler. Invalid messages are logged and dropped.
func (m *Members) Handle(event *message.Message) error {
	a, err := decode(event)
	if err != nil {
		m.config.Log.Warn().Err(err).Msg("dropping invalid message")
		return nil
	}
	a.at = time.Now()
	m.inbox.Push(a)
	return nil
}

func decode(event *message.Message) (inboundMessage, error) {
	inbound := inboundMessage{peer: event.Metadata.Get(eventlink.MetadataPeer)}
	var err error
	switch topic := event.Metadata.Get(eventlink.MetadataTopic); topic {
	case wire.TopicAnnouncement:
		var announcement sidecar.Announcement
		announcement, err = wire.DecodeAnnouncement(event.Payload)
		inbound.announcements = []sidecar.Announcement{announcement}
	case wire.TopicRelay:
		inbound.hop = sidecar.HopRelayed
		inbound.announcements, err = wire.DecodeAnnouncements(event.Payload)
	case wire.TopicPresence:
		inbound.report, inbound.presences, err = wire.DecodePresences(event.Payload)
	case eventlink.TopicLink:
		inbound.linkUp = event.Metadata.Get(eventlink.MetadataState) == eventlink.StateUp
	case wire.TopicSync:
		inbound.snapshotRequested = true
	case wire.TopicStops:
		inbound.stops, err = wire.DecodeStops(event.Payload)
	case wire.TopicAnnouncementRequest:
		inbound.wanted, err = wire.DecodeAnnouncementRequest(event.Payload)
	default:
		err = errors.Errorf("unexpected topic %q", topic)
	}
	return inbound, err
}

// Run applies received messages, removes expired sidecars and sends updates to the
// other entries, until ctx ends.
func (m *Members) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	presence := time.NewTimer(presenceDelay())
	defer presence.Stop()
	membership, stopBoard, directory := sidecar.NewMembership(), entry.NewStopSet(), entry.NewDirectory()
	var batch []inboundMessage
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.inbox.Signal():
			batch = m.inbox.TryTake(batch[:0])
			m.apply(membership, directory, batch)
			m.mergeStops(stopBoard, batch)
			m.answerNewLinks(membership, stopBoard, batch)
			clear(batch)
		case now := <-ticker.C:
			membership.Expire(now)
			directory.Expire(now)
			m.storeEntries(directory)
			m.readStops(stopBoard, now)
		case now := <-presence.C:
			m.sendPresences(membership.Presences(now), "")
			m.sendStops(stopBoard, "")
			presence.Reset(presenceDelay())
		}
		membership.SetStops(stopBoard.Draining())
		m.storeView(membership.View())
	}
}

// presenceDelay returns a random delay of half to one and a half PresenceInterval.
func presenceDelay() time.Duration { return PresenceInterval/2 + rand.N(PresenceInterval) }

func (m *Members) apply(membership *sidecar.Membership, directory *entry.Directory, batch []inboundMessage) {
	var relayed []sidecar.Announcement
	for _, inbound := range batch {
		if inbound.report.Incarnation != 0 {
			directory.Record(inbound.report, inbound.at)
			m.storeEntries(directory)
		}
		for _, announcement := range inbound.announcements {
			newer, relay := membership.ApplyAnnouncement(announcement, inbound.hop, inbound.at)
			m.config.Metrics.countAnnouncement(newer)
			if relay {
				m.logChange(announcement)
				relayed = append(relayed, announcement)
			}
		}
		if missing := membership.MergePresences(inbound.presences, inbound.at); len(missing) > 0 {
			m.requestAnnouncements(inbound.peer, missing)
		}
		if found := membership.Lookup(inbound.wanted, inbound.at); len(found) > 0 {
			m.relay(found, inbound.peer)
		}
	}
	m.relay(relayed, "")
}

func (m *Members) logChange(a sidecar.Announcement) {
	m.config.Log.Info().Str("address", a.Address).Str("service", string(a.Service)).
		Str("state", a.State.String()).Msg("sidecar state changed")
}

func (m *Members) storeEntries(directory *entry.Directory) {
	list := directory.List()
	m.entries.Store(&list)
}

func (m *Members) storeView(next *sidecar.View) {
	if next == m.View() {
		return
	}
	m.view.Store(next)
	m.config.Metrics.setKnown(len(next.Members()))
	m.config.OnChange()
}
