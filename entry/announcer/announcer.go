// Package announcer announces a sidecar and the state of its upstream to the
// entries: at each change of the upstream's health and at each heartbeat.
package announcer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/upstream"
)

const (
	// HeartbeatInterval is the time between two periodic announcements.
	HeartbeatInterval = 2 * time.Second
	probeInterval     = 250 * time.Millisecond
	probeTimeout      = time.Second
)

// Prober probes the health of the upstream.
type Prober interface {
	Probe(ctx context.Context) upstream.ProbeResult
}

// LoadSource reports the running and waiting requests of the sidecar.
type LoadSource interface {
	Load() sidecar.Load
}

// Announcer announces one sidecar.
type Announcer struct {
	base      sidecar.Announcement
	publisher message.Publisher
	prober    Prober
	loads     LoadSource
	log       *log.Logger
	state     atomic.Uint32
	leaving   atomic.Bool
	sequence  atomic.Uint64
	wake      chan struct{}
}

// New returns an announcer. base holds the constant fields of the announcements;
// the state, the sequence number and the load are set for each one.
func New(base sidecar.Announcement, publisher message.Publisher, prober Prober, loads LoadSource, logger *log.Logger) *Announcer {
	a := &Announcer{
		base:      base,
		publisher: publisher,
		prober:    prober,
		loads:     loads,
		log:       logger,
		wake:      make(chan struct{}, 1),
	}
	a.state.Store(uint32(sidecar.StateStopped))
	return a
}

// State returns the state that is currently announced.
func (a *Announcer) State() sidecar.State { return sidecar.State(a.state.Load()) }

// RequestAnnouncement requests an announcement without waiting for the next
// heartbeat, for example after a link has come up.
func (a *Announcer) RequestAnnouncement() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// AnnounceDraining announces that the sidecar is draining. From then on changes of the
// upstream's health are no longer announced.
func (a *Announcer) AnnounceDraining() {
	a.leaving.Store(true)
	a.state.Store(uint32(sidecar.StateDraining))
	a.announce()
}

// AnnounceStopped announces that the sidecar has stopped.
func (a *Announcer) AnnounceStopped() {
	a.leaving.Store(true)
	a.state.Store(uint32(sidecar.StateStopped))
	a.announce()
}

// Run probes the upstream and sends announcements until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	var monitor upstream.Monitor
	a.probeUpstream(ctx, &monitor)
	for {
		select {
		case <-ctx.Done():
			return
		case <-probe.C:
			a.probeUpstream(ctx, &monitor)
		case <-heartbeat.C:
			a.announce()
		case <-a.wake:
			a.announce()
		}
	}
}

func (a *Announcer) probeUpstream(ctx context.Context, monitor *upstream.Monitor) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, changed := monitor.Observe(a.prober.Probe(ctx))
	if !changed || a.leaving.Load() {
		return
	}
	a.log.Info().Str("health", health.String()).Msg("upstream health changed")
	a.state.Store(uint32(stateOf(health)))
	a.announce()
}

// stateOf returns the state to announce for an upstream's health.
func stateOf(health upstream.Health) sidecar.State {
	switch health {
	case upstream.HealthServing:
		return sidecar.StateServing
	case upstream.HealthDraining:
		return sidecar.StateDraining
	}
	return sidecar.StateStopped
}

func (a *Announcer) announce() {
	announcement := a.base
	announcement.Sequence = a.sequence.Add(1)
	announcement.State = a.State()
	load := a.loads.Load()
	announcement.Running = load.Running
	announcement.Queued = load.Queued
	announcement.UrgentQueued = load.UrgentQueued
	payload, err := wire.EncodeAnnouncement(announcement)
	if err != nil {
		a.log.Error().Err(err).Msg("failed to encode announcement")
		return
	}
	event := message.NewMessage("", payload)
	if err := a.publisher.Publish(wire.TopicAnnouncement, event); err != nil {
		a.log.Debug().Err(err).Msg("failed to send announcement")
	}
}
