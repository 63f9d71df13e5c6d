package main

import (
	"context"
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/sidecar"
)

const (
	// instancesPerService is the number of instances of a sample service.
	instancesPerService = 10
	// announceRounds is the number of announcements that a cost is taken from.
	announceRounds = 2_000
	// joinRounds is the same for announcements of new sidecars.
	joinRounds = 50
	// nodeBytesPerSecond is what a node may send and receive for control.
	nodeBytesPerSecond = 2 << 10
)

// sidecarsSuite measures what an entry spends on the sidecars that it knows.
func sidecarsSuite() suite {
	return suite{name: "sidecars", run: func(context.Context, options) ([]figure, error) {
		size, err := announcementBytes()
		if err != nil {
			return nil, err
		}
		figures := []figure{
			targeted("announcement-size", size, "bytes", atMost, nodeBytesPerSecond),
		}
		for _, count := range []int{100, 1_000, 10_000} {
			more, err := sidecarFigures(count)
			if err != nil {
				return figures, err
			}
			figures = append(figures, more...)
		}
		return figures, nil
	}}
}

func sidecarFigures(count int) ([]figure, error) {
	before := liveHeapBytes()
	view := sampleView(count)
	kb := float64(liveHeapBytes()-before) / 1024
	heartbeat, err := heartbeatCost(view, count)
	if err != nil {
		return nil, err
	}
	join := joinCost(view, count)
	return []figure{
		targeted(fmt.Sprintf("memory-%d-sidecars", count), kb, "KB", atMost, nodeMemoryKB),
		measured(fmt.Sprintf("heartbeat-%d-sidecars", count), heartbeat, "us"),
		measured(fmt.Sprintf("join-%d-sidecars", count), join, "us"),
		measured(fmt.Sprintf("expiry-check-%d-sidecars", count), expiryCost(view), "us"),
	}, nil
}

// sampleAnnouncement returns what the numbered sidecar announces.
func sampleAnnouncement(number int, sequence uint64) sidecar.Announcement {
	return sidecar.Announcement{
		Incarnation: carobkeel.Incarnation(0xfedcba9876543210 + uint64(number)),
		Sequence:    sequence,
		Started:     time.Unix(1_700_000_000, 0),
		Address:     fmt.Sprintf("10.%d.%d.%d:9000", number>>16, number>>8&0xff, number&0xff),
		Service:     carobkeel.Service(fmt.Sprintf("service-%d", number/instancesPerService)),
		Location: carobkeel.Location{
			DataCentre: "dar-es-salaam-1", Rack: "rack-12", Host: fmt.Sprintf("host-%d", number),
		},
		Slots: 8, Running: 5, Queued: 1,
	}
}

// announcementBytes returns the bytes on a link of one announcement.
func announcementBytes() (float64, error) {
	payload, err := wire.EncodeAnnouncement(sampleAnnouncement(12_345, 100_000))
	if err != nil {
		return 0, err
	}
	event, err := wire.EncodeEvent(&wire.Event{
		Topic: wire.TopicAnnouncement, UUID: "01234567-89ab-cdef-0123-456789abcdef", Payload: payload,
	})
	if err != nil {
		return 0, err
	}
	bytes, err := new(frame.Writer).Append(nil, event)
	return float64(len(bytes)), err
}

// sampleView returns a view of count sidecars.
func sampleView(count int) *sidecar.View {
	view := sidecar.NewView()
	for i := range count {
		view, _ = view.ApplyAnnouncement(sampleAnnouncement(i, 1), time.Unix(1_700_000_001, 0))
	}
	return view
}

// heartbeatCost returns the microseconds that decoding and noting a heartbeat
// takes where nothing but the load changed.
func heartbeatCost(view *sidecar.View, count int) (float64, error) {
	payloads := make([][]byte, announceRounds)
	for i := range payloads {
		payload, err := wire.EncodeAnnouncement(sampleAnnouncement(i%count, uint64(2+i/count)))
		if err != nil {
			return 0, err
		}
		payloads[i] = payload
	}
	start := time.Now()
	for _, payload := range payloads {
		announcement, err := wire.DecodeAnnouncement(payload)
		if err != nil {
			return 0, err
		}
		view, _ = view.ApplyAnnouncement(announcement, start)
	}
	return float64(time.Since(start).Nanoseconds()) / 1e3 / announceRounds, nil
}

// joinCost returns the microseconds that the announcement of a new sidecar
// takes.
func joinCost(view *sidecar.View, count int) float64 {
	start := time.Now()
	for i := range joinRounds {
		view, _ = view.ApplyAnnouncement(sampleAnnouncement(count+i, 1), start)
	}
	return float64(time.Since(start).Nanoseconds()) / 1e3 / joinRounds
}

// expiryCost returns the microseconds that a look for silent sidecars takes
// where there is none.
func expiryCost(view *sidecar.View) float64 {
	start := time.Now()
	for range joinRounds {
		view.Expire(time.Unix(0, 0))
	}
	return float64(time.Since(start).Nanoseconds()) / 1e3 / joinRounds
}
