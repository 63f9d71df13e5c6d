package members

import (
	"time"

	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/operator"
)

// readStops takes the stops that were read from the table service and tells the
// other entries what is new.
func (m *Members) readStops(board *entry.StopBoard, now time.Time) {
	board.Expire(now)
	if m.config.Stops != nil && board.Merge(m.config.Stops(), now) {
		m.logStops(board.Stops())
		m.tellStops(board, "")
	}
}

// mergeStops takes the stops that other entries told of. What was news here may
// be so elsewhere and is told on; what is known is not.
func (m *Members) mergeStops(board *entry.StopBoard, batch []arrival) {
	news := false
	for _, a := range batch {
		news = board.Merge(a.stops, a.at) || news
	}
	if news {
		m.logStops(board.Stops())
		m.tellStops(board, "")
	}
}

// tellStops sends another entry, or all of them, the stops that are known.
func (m *Members) tellStops(board *entry.StopBoard, to string) {
	stops := board.Stops()
	if len(stops) == 0 {
		return
	}
	payload, err := wire.EncodeStops(stops)
	m.publish(wire.TopicStops, payload, err, to)
}

func (m *Members) logStops(stops []operator.Stop) {
	for _, stop := range stops {
		m.config.Log.Info().Str("stop", string(stop.ID)).Str("target", stop.Target.String()).
			Str("state", string(stop.State)).Msg("planned stop")
	}
}
