package members

import (
	"slices"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/sidecar"
)

// tell sends the other entries what this one reports of itself and which
// sidecars it hears.
func (m *Members) tell(present []sidecar.Presence) {
	report := m.config.Report()
	parts := slices.Collect(slices.Chunk(present, relayedAtOnce))
	if len(parts) == 0 {
		parts = [][]sidecar.Presence{nil}
	}
	for _, part := range parts {
		payload, err := wire.EncodePresences(report, part)
		m.publish(m.config.Dialled, wire.TopicPresence, payload, err, "")
	}
}

// relay passes announcements on to one of the entries that this one linked to,
// or to all of them.
func (m *Members) relay(list []sidecar.Announcement, to string) {
	for part := range slices.Chunk(list, relayedAtOnce) {
		payload, err := wire.EncodeAnnouncements(part)
		m.publish(m.config.Dialled, wire.TopicRelay, payload, err, to)
		m.config.Metrics.relayed.Inc(int64(len(part)))
	}
}

// ask asks the entry that linked to this one for announcements.
func (m *Members) ask(peer string, missing []carobkeel.Incarnation) {
	for part := range slices.Chunk(missing, relayedAtOnce) {
		payload, err := wire.EncodeWanted(part)
		m.publish(m.config.Accepted, wire.TopicWanted, payload, err, peer)
	}
}

func (m *Members) publish(end message.Publisher, topic string, payload []byte, err error, to string) {
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
