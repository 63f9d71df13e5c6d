package propagator

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/wire"
)

// execute carries out an action of entry.Propagation.
func (s *Propagator) execute(action entry.PropagationAction) {
	switch a := action.(type) {
	case entry.SendStampAction:
		payload, err := wire.EncodeCatalogueState(a.Stamp, false)
		s.send(wire.TopicHave, payload, err, a.To...)
	case entry.RequestAction:
		payload, err := wire.EncodeCatalogueState(a.Stamp, a.Snapshot)
		s.send(wire.TopicWant, payload, err, a.To)
	case entry.ChangesAction:
		payload, err := wire.EncodeChanges(a.Changes)
		s.send(wire.TopicChanges, payload, err, a.To)
		s.config.Metrics.changesSent.Inc(int64(len(a.Changes)))
	case entry.SnapshotAction:
		s.sendSnapshot(a)
	case entry.InstallAction:
		s.install(a)
	case entry.ServeAction:
		s.config.Log.Info().Bool("confirmed", a.Confirmed).Uint64("revision", uint64(s.Revision())).Msg("catalogue ready")
		s.config.Serve(a.Confirmed)
	case entry.ConflictAction:
		s.config.Metrics.conflicts.Inc(1)
		s.config.Log.Error().Str("peer", string(a.Peer)).Uint64("held", uint64(a.Held.Revision)).
			Uint64("theirs", uint64(a.Theirs.Revision)).Msg("peer has a different catalogue for the same revision")
	case entry.StoreBehindAction:
		s.reportBehind(a)
	}
}

func (s *Propagator) install(a entry.InstallAction) {
	s.current.Store(a.Catalogue)
	s.config.Metrics.revision.Update(float64(a.Stamp.Revision))
	s.config.Install(a.Catalogue)
}

func (s *Propagator) reportBehind(a entry.StoreBehindAction) {
	s.config.Metrics.storeBehind.Inc(1)
	if skipped, ok := s.behindLogLimit.Allow(time.Now()); ok {
		s.config.Log.Error().Uint64("held", uint64(a.Held)).Uint64("store", uint64(a.Store)).Int64("skipped", skipped).
			Msg("table service has an older revision than the catalogue in force")
	}
}

func (s *Propagator) sendSnapshot(a entry.SnapshotAction) {
	if s.lastSnapshot.payloads == nil || s.lastSnapshot.stamp != a.Stamp {
		payloads, err := wire.EncodeSnapshot(a.Catalogue, a.Stamp)
		if err != nil {
			s.config.Log.Error().Err(err).Msg("failed to encode snapshot")
			return
		}
		s.lastSnapshot = encodedSnapshot{stamp: a.Stamp, payloads: payloads}
	}
	s.config.Metrics.snapshotsSent.Inc(1)
	for _, payload := range s.lastSnapshot.payloads {
		s.send(wire.TopicSnapshot, payload, nil, a.To)
	}
}

func (s *Propagator) send(topic string, payload []byte, err error, to ...entry.PeerID) {
	if err != nil {
		s.config.Log.Error().Err(err).Str("topic", topic).Msg("failed to encode message")
		return
	}
	peers := make([]string, 0, len(to))
	for _, peer := range to {
		peers = append(peers, string(peer))
	}
	m := message.NewMessage("", payload)
	m.Metadata.Set(eventlink.MetadataTo, eventlink.Recipients(peers...))
	for _, publisher := range s.config.Publishers {
		if err := publisher.Publish(topic, m); err != nil {
			s.config.Log.Debug().Err(err).Str("topic", topic).Msg("failed to send message")
		}
	}
}
