package wire

import (
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/sidecar"
)

// TypeEvent is the type of a frame that contains an Event.
const TypeEvent = frame.FirstProtocolType

// EncodeEvent encodes an event as a frame.
func EncodeEvent(e *Event) (frame.Frame, error) {
	payload, err := e.MarshalMsg(nil)
	if err != nil {
		return frame.Frame{}, errors.Wrap(err, "encode event")
	}
	return frame.Frame{Type: TypeEvent, Payload: payload}, nil
}

// DecodeEvent decodes an event from its frame.
func DecodeEvent(f frame.Frame) (*Event, error) {
	if f.Type != TypeEvent {
		return nil, errors.Errorf("frame type %d is not an event", f.Type)
	}
	var e Event
	rest, err := e.UnmarshalMsg(f.Payload)
	if err != nil {
		return nil, errors.Wrap(err, "decode event")
	}
	if len(rest) > 0 {
		return nil, errors.Errorf("decode event: %d bytes left over", len(rest))
	}
	return &e, nil
}

// EncodeAnnouncement encodes an announcement as a payload.
func EncodeAnnouncement(a sidecar.Announcement) ([]byte, error) {
	message := announcementMessage(a)
	payload, err := message.MarshalMsg(nil)
	return payload, errors.Wrap(err, "encode announcement")
}

func announcementMessage(a sidecar.Announcement) Announcement {
	return Announcement{
		Incarnation:   uint64(a.Incarnation),
		Sequence:      a.Sequence,
		StartedMicros: a.Started.UnixMicro(),
		Address:       a.Address,
		Service:       string(a.Service),
		DataCentre:    string(a.Location.DataCentre),
		Rack:          a.Location.Rack,
		Host:          a.Location.Host,
		State:         uint8(a.State),
		Slots:         a.Slots,
		Running:       a.Running,
		Queued:        a.Queued,
		UrgentQueued:  a.UrgentQueued,
	}
}

// DecodeAnnouncement decodes an announcement from its payload.
func DecodeAnnouncement(payload []byte) (sidecar.Announcement, error) {
	var m Announcement
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return sidecar.Announcement{}, errors.Wrap(err, "decode announcement")
	}
	return announcementOf(m), nil
}

func announcementOf(m Announcement) sidecar.Announcement {
	return sidecar.Announcement{
		Incarnation: carobkeel.Incarnation(m.Incarnation),
		Sequence:    m.Sequence,
		Started:     time.UnixMicro(m.StartedMicros),
		Address:     m.Address,
		Service:     carobkeel.Service(m.Service),
		Location: carobkeel.Location{
			DataCentre: carobkeel.DataCentre(m.DataCentre),
			Rack:       m.Rack,
			Host:       m.Host,
		},
		State:   sidecar.State(m.State),
		Slots:   m.Slots,
		Running: m.Running,
		Queued:  m.Queued,
		// Queued includes the urgent requests.
		UrgentQueued: m.UrgentQueued,
	}
}
