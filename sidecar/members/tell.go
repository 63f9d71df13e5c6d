package members

import (
	"slices"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/sidecar"
)

// introduce asks each entry that a link came up to for all that it knows, so
// that an entry that has just started need not wait for its next word, and tells
// those that ask.
func (m *Members) introduce(known *sidecar.Membership, board *entry.StopBoard, batch []arrival) {
	for _, a := range batch {
		if a.linked {
			m.publish(wire.TopicAll, nil, nil, a.peer)
		}
		if a.asked {
			m.tell(known.Presences(a.at), a.peer)
			m.tellStops(board, a.peer)
		}
	}
}

// tell sends another entry, or all of them, what this one reports of itself and
// which sidecars it hears.
func (m *Members) tell(present []sidecar.Presence, to string) {
	report := m.config.Report()
	parts := slices.Collect(slices.Chunk(present, relayedAtOnce))
	if len(parts) == 0 {
		parts = [][]sidecar.Presence{nil}
	}
	for _, part := range parts {
		payload, err := wire.EncodePresences(report, part)
		m.publish(wire.TopicPresence, payload, err, to)
	}
}

// relay passes announcements on to another entry, or to all of them.
func (m *Members) relay(list []sidecar.Announcement, to string) {
	for part := range slices.Chunk(list, relayedAtOnce) {
		payload, err := wire.EncodeAnnouncements(part)
		m.publish(wire.TopicRelay, payload, err, to)
		m.config.Metrics.relayed.Inc(int64(len(part)))
	}
}

// ask asks another entry for announcements.
func (m *Members) ask(peer string, missing []carobkeel.Incarnation) {
	for part := range slices.Chunk(missing, relayedAtOnce) {
		payload, err := wire.EncodeWanted(part)
		m.publish(wire.TopicWanted, payload, err, peer)
	}
}

// publish sends a message on the named link, or on all links that this entry
// opened to others where none is named.
func (m *Members) publish(topic string, payload []byte, err error, to string) {
	end := m.config.Dialled
	if to != "" && !eventlink.IsDialled(to) {
		end = m.config.Accepted
	}
	if end == nil {
		return
	}
	event := message.NewMessage("", payload)
	event.Metadata.Set(eventlink.MetadataTo, to)
	if err == nil {
		err = end.Publish(topic, event)
	}
	if err != nil {
		m.config.Log.Warn().Err(err).Str("topic", topic).Msg("message not sent")
	}
}
