// Package spreader carries out the spread of the catalogue for one process: it
// gives the decisions of package entry the words of the peers and the reads of
// the table service, and sends what they decide over the event links.
package spreader

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

// Topics is what a spreader has to be subscribed to, on each of its ends of
// event links.
var Topics = eventlink.Topics(eventlink.TopicLink, wire.TopicHave, wire.TopicWant, wire.TopicChanges, wire.TopicSnapshot)

// Config is what a Spreader needs.
type Config struct {
	Spread entry.SpreadConfig
	// Publishers are the process's ends of event links. Each passes over
	// messages to links of the others.
	Publishers []message.Publisher
	// Random draws the jitter; nil draws from the system's seed.
	Random *rand.Rand
	// Metrics may not be nil.
	Metrics *Metrics
	Log     *log.Logger
	// Install puts a catalogue in force.
	Install func(*carobkeel.Catalogue)
	// Serve says that the process may serve.
	Serve func(confirmed bool)
}

// Spreader takes part in the spread of the catalogue. Reading what is in force
// takes one atomic load.
type Spreader struct {
	config   Config
	events   *mailbox.Mailbox[entry.SpreadEvent]
	current  atomic.Pointer[carobkeel.Catalogue]
	pieces   map[entry.PeerID]*wire.Assembler
	snapshot encodedSnapshot
	behind   logging.RepeatLimit
}

// encodedSnapshot is the last snapshot that was sent, for peers that need the
// same.
type encodedSnapshot struct {
	stamp    entry.Stamp
	payloads [][]byte
}

// New returns a spreader. Run it, and give it the messages of Topics.
func New(c Config) *Spreader {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Spreader{
		config: c,
		events: mailbox.New[entry.SpreadEvent](),
		pieces: make(map[entry.PeerID]*wire.Assembler),
	}
}

// Catalogue returns the catalogue in force, nil before the first.
func (s *Spreader) Catalogue() *carobkeel.Catalogue { return s.current.Load() }

// Revision returns the revision in force.
func (s *Spreader) Revision() carobkeel.Revision {
	if c := s.current.Load(); c != nil {
		return c.Revision
	}
	return 0
}

// Handle takes one message of Topics. It is a watermill handler.
func (s *Spreader) Handle(m *message.Message) error {
	event, err := decode(m)
	if err != nil {
		s.config.Log.Warn().Err(err).Msg("message dropped")
		return nil
	}
	s.events.Push(event)
	return nil
}

// pieceEvent is a piece of a snapshot before it is put together.
type pieceEvent struct {
	entry.SnapshotPieceEvent
	payload []byte
}

func decode(m *message.Message) (entry.SpreadEvent, error) {
	peer := entry.PeerID(m.Metadata.Get(eventlink.MetadataPeer))
	switch topic := m.Metadata.Get(eventlink.MetadataTopic); topic {
	case eventlink.TopicLink:
		if m.Metadata.Get(eventlink.MetadataState) == eventlink.StateUp {
			return entry.LinkUpEvent{Peer: peer, Dialled: eventlink.IsDialled(string(peer))}, nil
		}
		return entry.LinkDownEvent{Peer: peer}, nil
	case wire.TopicHave:
		stamp, _, err := wire.DecodeHave(m.Payload)
		return entry.HaveEvent{Peer: peer, Stamp: stamp}, err
	case wire.TopicWant:
		stamp, whole, err := wire.DecodeHave(m.Payload)
		return entry.WantEvent{Peer: peer, Stamp: stamp, Whole: whole}, err
	case wire.TopicChanges:
		changes, err := wire.DecodeChanges(m.Payload)
		return entry.ChangesEvent{Peer: peer, Changes: changes}, err
	case wire.TopicSnapshot:
		return pieceEvent{SnapshotPieceEvent: entry.SnapshotPieceEvent{Peer: peer}, payload: m.Payload}, nil
	default:
		return nil, errors.Errorf("topic %q is not of the spread", topic)
	}
}

// Run takes events until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	spread := entry.NewSpread(s.config.Spread, s.config.Random, time.Now())
	timer := time.NewTimer(time.Until(spread.Next()))
	defer timer.Stop()
	var batch []entry.SpreadEvent
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.events.Signal():
			batch = s.events.TryTake(batch[:0])
			for _, event := range batch {
				s.step(spread, event)
			}
			clear(batch)
		case <-timer.C:
			s.step(spread, entry.TickEvent{})
		}
		timer.Reset(time.Until(spread.Next()))
	}
}

func (s *Spreader) step(spread *entry.Spread, event entry.SpreadEvent) {
	for _, action := range spread.Step(s.assemble(event), time.Now()) {
		s.carryOut(action)
	}
	s.config.Metrics.heard.Update(float64(spread.Heard()))
	s.config.Metrics.peers.Update(float64(spread.Peers()))
}

// assemble puts snapshots together. A last piece becomes the snapshot.
func (s *Spreader) assemble(event entry.SpreadEvent) entry.SpreadEvent {
	switch e := event.(type) {
	case entry.LinkDownEvent:
		delete(s.pieces, e.Peer)
	case pieceEvent:
		assembler, ok := s.pieces[e.Peer]
		if !ok {
			assembler = &wire.Assembler{}
			s.pieces[e.Peer] = assembler
		}
		catalogue, stamp, err := assembler.Add(e.payload)
		if err != nil {
			s.config.Log.Warn().Err(err).Msg("snapshot dropped")
		}
		if catalogue == nil {
			return e.SnapshotPieceEvent
		}
		delete(s.pieces, e.Peer)
		return entry.SnapshotEvent{Peer: e.Peer, Catalogue: catalogue, Stamp: stamp}
	}
	return event
}
