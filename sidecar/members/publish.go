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

// answerNewLinks requests a full snapshot on each link that came up, so that an entry
// that has just started need not wait for the next presences, and sends one to each
// entry that requested it.
func (m *Members) answerNewLinks(membership *sidecar.Membership, stopBoard *entry.StopSet, batch []inboundMessage) {
	for _, inbound := range batch {
		if inbound.linkUp {
			m.publish(wire.TopicSync, nil, nil, inbound.peer)
		}
		if inbound.snapshotRequested {
			m.sendPresences(membership.Presences(inbound.at), inbound.peer)
			m.sendStops(stopBoard, inbound.peer)
		}
	}
}

// sendPresences sends this entry's report and its presences to one entry, or to all if
// to is empty.
func (m *Members) sendPresences(presences []sidecar.Presence, to string) {
	report := m.config.Report()
	parts := slices.Collect(slices.Chunk(presences, maxItemsPerMessage))
	if len(parts) == 0 {
		parts = [][]sidecar.Presence{nil}
	}
	for _, part := range parts {
		payload, err := wire.EncodePresences(report, part)
		m.publish(wire.TopicPresence, payload, err, to)
	}
}

// relay sends announcements to one entry, or to all if to is empty.
func (m *Members) relay(list []sidecar.Announcement, to string) {
	for part := range slices.Chunk(list, maxItemsPerMessage) {
		payload, err := wire.EncodeAnnouncements(part)
		m.publish(wire.TopicRelay, payload, err, to)
		m.config.Metrics.relayed.Inc(int64(len(part)))
	}
}

// requestAnnouncements requests the announcements of the missing incarnations.
func (m *Members) requestAnnouncements(peer string, missing []carobkeel.Incarnation) {
	for part := range slices.Chunk(missing, maxItemsPerMessage) {
		payload, err := wire.EncodeAnnouncementRequest(part)
		m.publish(wire.TopicAnnouncementRequest, payload, err, peer)
	}
}

// publish sends a message on the link named to, or on all links that this entry
// opened to others if to is empty. err is the error of encoding the payload.
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
		m.config.Log.Warn().Err(err).Str("topic", topic).Msg("failed to send message")
	}
}
