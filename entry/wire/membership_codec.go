package wire

import (
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/sidecar"
)

// EncodeAnnouncements encodes forwarded announcements as a payload.
func EncodeAnnouncements(list []sidecar.Announcement) ([]byte, error) {
	var m Announcements
	for _, a := range list {
		m.Announcements = append(m.Announcements, announcementMessage(a))
	}
	payload, err := m.MarshalMsg(nil)
	return payload, errors.Wrap(err, "encode announcements")
}

// DecodeAnnouncements decodes a payload of EncodeAnnouncements.
func DecodeAnnouncements(payload []byte) ([]sidecar.Announcement, error) {
	var m Announcements
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, errors.Wrap(err, "decode announcements")
	}
	list := make([]sidecar.Announcement, 0, len(m.Announcements))
	for _, message := range m.Announcements {
		list = append(list, announcementOf(message))
	}
	return list, nil
}

// EncodePresences encodes an entry's report and presences as a payload.
func EncodePresences(report entry.Report, list []sidecar.Presence) ([]byte, error) {
	m := Presences{
		Sender:     uint64(report.Incarnation),
		DataCentre: string(report.DataCentre),
		Revision:   uint64(report.Revision),
	}
	for _, p := range list {
		m.Presences = append(m.Presences, Presence{
			Incarnation:  uint64(p.Incarnation),
			Sequence:     p.Sequence,
			Changed:      p.ChangeSequence,
			Running:      p.Running,
			Queued:       p.Queued,
			UrgentQueued: p.UrgentQueued,
		})
	}
	payload, err := m.MarshalMsg(nil)
	return payload, errors.Wrap(err, "encode presences")
}

// DecodePresences decodes a payload of EncodePresences.
func DecodePresences(payload []byte) (entry.Report, []sidecar.Presence, error) {
	var m Presences
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return entry.Report{}, nil, errors.Wrap(err, "decode presences")
	}
	list := make([]sidecar.Presence, 0, len(m.Presences))
	for _, p := range m.Presences {
		list = append(list, sidecar.Presence{
			Incarnation:    carobkeel.Incarnation(p.Incarnation),
			Sequence:       p.Sequence,
			ChangeSequence: p.Changed,
			Running:        p.Running,
			Queued:         p.Queued,
			UrgentQueued:   p.UrgentQueued,
		})
	}
	report := entry.Report{
		Incarnation: carobkeel.Incarnation(m.Sender),
		DataCentre:  carobkeel.DataCentre(m.DataCentre),
		Revision:    carobkeel.Revision(m.Revision),
	}
	return report, list, nil
}

// EncodeAnnouncementRequest encodes a request for announcements as a payload.
func EncodeAnnouncementRequest(list []carobkeel.Incarnation) ([]byte, error) {
	var m AnnouncementRequest
	for _, incarnation := range list {
		m.Incarnations = append(m.Incarnations, uint64(incarnation))
	}
	payload, err := m.MarshalMsg(nil)
	return payload, errors.Wrap(err, "encode wanted")
}

// DecodeAnnouncementRequest decodes a payload of EncodeAnnouncementRequest.
func DecodeAnnouncementRequest(payload []byte) ([]carobkeel.Incarnation, error) {
	var m AnnouncementRequest
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, errors.Wrap(err, "decode wanted")
	}
	list := make([]carobkeel.Incarnation, 0, len(m.Incarnations))
	for _, incarnation := range m.Incarnations {
		list = append(list, carobkeel.Incarnation(incarnation))
	}
	return list, nil
}
