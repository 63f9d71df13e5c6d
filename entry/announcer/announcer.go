// Package announcer tells the entries of a sidecar and its upstream: at each
// change of the upstream's health and at each heartbeat.
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
	// HeartbeatInterval is the time between two announcements where nothing
	// changes.
	HeartbeatInterval = 2 * time.Second
	probeInterval     = 250 * time.Millisecond
	probeTimeout      = time.Second
)

// Prober asks the upstream for its health.
type Prober interface {
	Probe(ctx context.Context) upstream.Probe
}

// Loads tells the requests that run and wait at the sidecar.
type Loads interface {
	Load() sidecar.Load
}

// Announcer announces one sidecar.
type Announcer struct {
	base      sidecar.Announcement
	publisher message.Publisher
	prober    Prober
	loads     Loads
	log       *log.Logger
	state     atomic.Uint32
	leaving   atomic.Bool
	sequence  atomic.Uint64
	poke      chan struct{}
}

// New returns an announcer. base holds what does not change; its state, sequence
// and load are filled in.
func New(base sidecar.Announcement, publisher message.Publisher, prober Prober, loads Loads, logger *log.Logger) *Announcer {
	a := &Announcer{
		base:      base,
		publisher: publisher,
		prober:    prober,
		loads:     loads,
		log:       logger,
		poke:      make(chan struct{}, 1),
	}
	a.state.Store(uint32(sidecar.StateStopped))
	return a
}

// State returns the state that is announced.
func (a *Announcer) State() sidecar.State { return sidecar.State(a.state.Load()) }

// Poke asks for an announcement soon, for a link that has just come up.
func (a *Announcer) Poke() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}

// Leave announces that the sidecar takes no new work, whatever its upstream's
// health is from then on.
func (a *Announcer) Leave() {
	a.leaving.Store(true)
	a.state.Store(uint32(sidecar.StateDraining))
	a.announce()
}

// Stop announces that the sidecar has ended.
func (a *Announcer) Stop() {
	a.leaving.Store(true)
	a.state.Store(uint32(sidecar.StateStopped))
	a.announce()
}

// Run probes the upstream and announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	var monitor upstream.Monitor
	a.observe(ctx, &monitor)
	for {
		select {
		case <-ctx.Done():
			return
		case <-probe.C:
			a.observe(ctx, &monitor)
		case <-heartbeat.C:
			a.announce()
		case <-a.poke:
			a.announce()
		}
	}
}

func (a *Announcer) observe(ctx context.Context, monitor *upstream.Monitor) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, changed := monitor.Observe(a.prober.Probe(ctx))
	if !changed || a.leaving.Load() {
		return
	}
	a.log.Info().Str("health", health.String()).Msg("upstream changed")
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
		a.log.Error().Err(err).Msg("announcement not encoded")
		return
	}
	event := message.NewMessage("", payload)
	if err := a.publisher.Publish(wire.TopicAnnouncement, event); err != nil {
		a.log.Debug().Err(err).Msg("announcement not sent")
	}
}
