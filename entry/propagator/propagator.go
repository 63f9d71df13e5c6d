// Package propagator propagates the catalogue for one process: it passes the
// messages of the peers and the reads of the table service to entry.Propagation, which
// decides, and carries out the resulting actions over the event links.
package propagator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/internal/mailbox"
)

// Topics is the topic that a propagator must be subscribed to, at each of its ends
// of event links.
var Topics = eventlink.Topics(eventlink.TopicLink, wire.TopicHave, wire.TopicWant, wire.TopicChanges, wire.TopicSnapshot)

// Config holds the settings and dependencies of a Propagator.
type Config struct {
	Propagation entry.PropagationConfig
	// Publishers are the process's ends of event links. Each ignores the
	// recipients that are links of another end.
	Publishers []message.Publisher
	// Random draws the jitter; nil selects a randomly seeded source.
	Random *rand.Rand
	// Metrics must not be nil.
	Metrics *Metrics
	Log     *log.Logger
	// Install puts a catalogue in force.
	Install func(*carobkeel.Catalogue)
	// Serve is called when the process may serve.
	Serve func(confirmed bool)
}

// Propagator propagates the catalogue. Reading the catalogue in force takes one
// atomic load.
type Propagator struct {
	config         Config
	events         *mailbox.Mailbox[entry.PropagationEvent]
	current        atomic.Pointer[carobkeel.Catalogue]
	assemblers     map[entry.PeerID]*wire.SnapshotAssembler
	lastSnapshot   encodedSnapshot
	behindLogLimit logging.RateLimit
}

// encodedSnapshot caches the payloads of the last snapshot that was sent, for
// other peers that need the same state.
type encodedSnapshot struct {
	stamp    entry.Stamp
	payloads [][]byte
}

// New returns a propagator. Call Run, and pass the messages of Topics to Handle.
func New(c Config) *Propagator {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Propagator{
		config:     c,
		events:     mailbox.New[entry.PropagationEvent](),
		assemblers: make(map[entry.PeerID]*wire.SnapshotAssembler),
	}
}

// Catalogue returns the catalogue in force, nil before the first.
func (s *Propagator) Catalogue() *carobkeel.Catalogue { return s.current.Load() }

// Revision returns the revision in force.
func (s *Propagator) Revision() carobkeel.Revision {
	if c := s.current.Load(); c != nil {
		return c.Revision
	}
	return 0
}

// Handle handles one message of Topics. It is a watermill handler.
func (s *Propagator) Handle(m *message.Message) error {
	event, err := decode(m)
	if err != nil {
		s.config.Log.Warn().Err(err).Msg("dropping invalid message")
		return nil
	}
	s.events.Push(event)
	return nil
}

// pieceEvent is a received piece of a snapshot, with its payload.
type pieceEvent struct {
	entry.SnapshotPieceEvent
	payload []byte
}

func decode(m *message.Message) (entry.PropagationEvent, error) {
	peer := entry.PeerID(m.Metadata.Get(eventlink.MetadataPeer))
	switch topic := m.Metadata.Get(eventlink.MetadataTopic); topic {
	case eventlink.TopicLink:
		if m.Metadata.Get(eventlink.MetadataState) == eventlink.StateUp {
			return entry.LinkUpEvent{Peer: peer, Dialled: eventlink.IsDialled(string(peer))}, nil
		}
		return entry.LinkDownEvent{Peer: peer}, nil
	case wire.TopicHave:
		stamp, _, err := wire.DecodeCatalogueState(m.Payload)
		return entry.PeerStampEvent{Peer: peer, Stamp: stamp}, err
	case wire.TopicWant:
		stamp, wantSnapshot, err := wire.DecodeCatalogueState(m.Payload)
		return entry.PeerRequestEvent{Peer: peer, Stamp: stamp, Snapshot: wantSnapshot}, err
	case wire.TopicChanges:
		changes, err := wire.DecodeChanges(m.Payload)
		return entry.ChangesEvent{Peer: peer, Changes: changes}, err
	case wire.TopicSnapshot:
		return pieceEvent{SnapshotPieceEvent: entry.SnapshotPieceEvent{Peer: peer}, payload: m.Payload}, nil
	default:
		return nil, errors.Errorf("topic %q does not belong to the catalogue propagation", topic)
	}
}

// Run handles events until ctx ends.
func (s *Propagator) Run(ctx context.Context) {
	propagation := entry.NewPropagation(s.config.Propagation, s.config.Random, time.Now())
	timer := time.NewTimer(time.Until(propagation.NextTick()))
	defer timer.Stop()
	var batch []entry.PropagationEvent
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.events.Signal():
			batch = s.events.TryTake(batch[:0])
			for _, event := range batch {
				s.step(propagation, event)
			}
			clear(batch)
		case <-timer.C:
			s.step(propagation, entry.TickEvent{})
		}
		timer.Reset(time.Until(propagation.NextTick()))
	}
}

func (s *Propagator) step(propagation *entry.Propagation, event entry.PropagationEvent) {
	for _, action := range propagation.Step(s.assemble(event), time.Now()) {
		s.execute(action)
	}
	s.config.Metrics.highestRevision.Update(float64(propagation.HighestRevision()))
	s.config.Metrics.peers.Update(float64(propagation.Peers()))
}

// assemble assembles snapshots from their pieces. It replaces the event of the
// last piece by one with the full snapshot.
func (s *Propagator) assemble(event entry.PropagationEvent) entry.PropagationEvent {
	switch e := event.(type) {
	case entry.LinkDownEvent:
		delete(s.assemblers, e.Peer)
	case pieceEvent:
		assembler, ok := s.assemblers[e.Peer]
		if !ok {
			assembler = &wire.SnapshotAssembler{}
			s.assemblers[e.Peer] = assembler
		}
		catalogue, stamp, err := assembler.Add(e.payload)
		if err != nil {
			s.config.Log.Warn().Err(err).Msg("dropping invalid snapshot")
		}
		if catalogue == nil {
			return e.SnapshotPieceEvent
		}
		delete(s.assemblers, e.Peer)
		return entry.SnapshotEvent{Peer: e.Peer, Catalogue: catalogue, Stamp: stamp}
	}
	return event
}
