package members

import (
	"time"

	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/operator"
)

// readStops merges the stops last read from the table service and, if any of them
// changed, sends the stops to the other entries.
func (m *Members) readStops(stopBoard *entry.StopSet, now time.Time) {
	stopBoard.Expire(now)
	if m.config.Stops != nil && stopBoard.Merge(m.config.Stops(), now) {
		m.logStops(stopBoard.Stops())
		m.sendStops(stopBoard, "")
	}
}

// mergeStops merges the stops received from other entries. If that changed anything
// here, other entries may lack the change too, so the stops are sent on. Stops that
// are already known are not.
func (m *Members) mergeStops(stopBoard *entry.StopSet, batch []inboundMessage) {
	changed := false
	for _, inbound := range batch {
		changed = stopBoard.Merge(inbound.stops, inbound.at) || changed
	}
	if changed {
		m.logStops(stopBoard.Stops())
		m.sendStops(stopBoard, "")
	}
}

// sendStops sends the known stops to one entry, or to all if to is empty.
func (m *Members) sendStops(stopBoard *entry.StopSet, to string) {
	stops := stopBoard.Stops()
	if len(stops) == 0 {
		return
	}
	payload, err := wire.EncodeStops(stops)
	m.publish(wire.TopicStops, payload, err, to)
}

func (m *Members) logStops(stops []operator.Stop) {
	for _, stop := range stops {
		m.config.Log.Info().Str("stop", string(stop.ID)).Str("target", stop.Target.String()).
			Str("state", string(stop.State)).Msg("planned stop updated")
	}
}
