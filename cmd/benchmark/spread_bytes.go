package main

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/sidecar"
)

// messageFigures tells the bytes of each message on an event link, with its
// frame.
func messageFigures() ([]figure, error) {
	catalogue := spreadCatalogueOf(spreadCatalogue)
	stamp := entry.StampOf(catalogue)
	change := operator.Change{Revision: stamp.Revision}
	for name, e := range catalogue.Entries {
		change.Items = []operator.ChangeItem{{Kind: operator.KindEntry, Name: name, EntryAfter: e}}
	}
	have, err := wire.EncodeCatalogueState(stamp, false)
	if err != nil {
		return nil, err
	}
	changes, err := wire.EncodeChanges([]entry.StampedChange{{Change: change, Digest: stamp.Digest}})
	if err != nil {
		return nil, err
	}
	pieces, err := wire.EncodeSnapshot(catalogue, stamp)
	if err != nil {
		return nil, err
	}
	announcement, err := wire.EncodeAnnouncement(sampleAnnouncement(1, 1))
	if err != nil {
		return nil, err
	}
	relay, err := wire.EncodeAnnouncements([]sidecar.Announcement{sampleAnnouncement(1, 1)})
	if err != nil {
		return nil, err
	}
	var figures []figure
	for _, m := range []struct {
		name, topic string
		payload     []byte
	}{
		{"have", wire.TopicHave, have},
		{"want", wire.TopicWant, have},
		{"change", wire.TopicChanges, changes},
		{"announcement", wire.TopicAnnouncement, announcement},
		{"relay", wire.TopicRelay, relay},
	} {
		size, err := eventBytes(m.topic, m.payload)
		if err != nil {
			return nil, err
		}
		figures = append(figures, measured("message-"+m.name, size, "B"))
	}
	return append(figures, measured("snapshot-per-entry", float64(len(pieces[0]))/spreadCatalogue, "B")), nil
}

func eventBytes(topic string, payload []byte) (float64, error) {
	f, err := wire.EncodeEvent(&wire.Event{Topic: topic, Payload: payload})
	if err != nil {
		return 0, err
	}
	bytes, err := new(frame.Writer).Append(nil, f)
	return float64(len(bytes)), err
}

// spreadCatalogueOf returns a catalogue like the one that the suite spreads.
func spreadCatalogueOf(entries int) *carobkeel.Catalogue {
	c := &carobkeel.Catalogue{Revision: 34_000, Entries: make(map[string]*carobkeel.Entry)}
	for _, item := range spreadEdit(1, entries).Items {
		if item.Entry != nil {
			item.Entry.Revision = c.Revision
			c.Entries[item.Name] = item.Entry
		}
	}
	return c
}
