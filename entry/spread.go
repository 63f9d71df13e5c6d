package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// SpreadConfig is how a process takes part in the spread of the catalogue.
type SpreadConfig struct {
	// Peers is the number of processes that it should be linked to. It waits
	// for their word before it serves.
	Peers int
	// Store says that it reads the table service, and waits for that as well.
	Store bool
	// Leaf keeps it from telling its peers at once of what it has just taken.
	// A leaf tells a peer that is behind at the next digest.
	Leaf bool
	// JoinTimeout is how long it waits for those before it serves what it has.
	JoinTimeout time.Duration
	// DigestInterval is the mean time between two digests to all peers.
	DigestInterval time.Duration
	// WantTimeout is how long it waits for a peer's answer before it asks
	// another one.
	WantTimeout time.Duration
	// LoggedChanges is how many changes it keeps for peers that missed some.
	LoggedChanges int
	// BatchChanges is how many changes go in one message.
	BatchChanges int
	// SnapshotInterval is the least time between two snapshots that it sends.
	SnapshotInterval time.Duration
}

// DefaultSpreadConfig returns the settings of an entry without peers.
func DefaultSpreadConfig() SpreadConfig {
	return SpreadConfig{
		JoinTimeout:      2 * time.Second,
		DigestInterval:   5 * time.Second,
		WantTimeout:      500 * time.Millisecond,
		LoggedChanges:    1000,
		BatchChanges:     32,
		SnapshotInterval: 50 * time.Millisecond,
	}
}

// Spread decides for one process how the catalogue is spread: what it takes,
// what it refuses and what it sends to whom. Each process tells its peers the
// stamp of what it holds; a peer that has less asks for the rest, so that a
// change crosses to each process once. A Spread belongs to one goroutine.
type Spread struct {
	config    SpreadConfig
	random    *rand.Rand
	catalogue *carobkeel.Catalogue
	stamp     Stamp
	// log holds the last changes, which lead from logBase to stamp.
	log     []StampedChange
	logBase Stamp
	peers   map[PeerID]*spreadPeer
	want    want
	// wantWhole says that changes could not be applied, so that the next
	// request is for a snapshot.
	wantWhole bool
	// heard is the highest revision that anyone told of.
	heard         carobkeel.Revision
	started       time.Time
	storeAnswered bool
	serving       bool
	nextDigest    time.Time
	nextSnapshot  time.Time
	actions       []SpreadAction
}

// spreadPeer is what is known of a linked peer.
type spreadPeer struct {
	// stamp is what it last said that it holds.
	stamp   Stamp
	dialled bool
	spoke   bool
	// conflict is the last conflict with it that was reported.
	conflict Stamp
}

// want is a request to a peer that is not answered yet.
type want struct {
	peer  PeerID
	until time.Time
}

// NewSpread returns the decisions of a process that starts now and holds
// nothing.
func NewSpread(config SpreadConfig, random *rand.Rand, now time.Time) *Spread {
	s := &Spread{
		config:  config,
		random:  random,
		peers:   make(map[PeerID]*spreadPeer),
		started: now,
	}
	s.nextDigest = now.Add(s.jitter(config.DigestInterval))
	return s
}

// Stamp returns the stamp of the catalogue that is in force.
func (s *Spread) Stamp() Stamp { return s.stamp }

// Catalogue returns the catalogue that is in force, nil before the first.
func (s *Spread) Catalogue() *carobkeel.Catalogue { return s.catalogue }

// Heard returns the highest revision that the process has heard of.
func (s *Spread) Heard() carobkeel.Revision { return s.heard }

// Serving reports whether the process may serve.
func (s *Spread) Serving() bool { return s.serving }

// Step takes an event and returns what is to be done, in order.
func (s *Spread) Step(event SpreadEvent, now time.Time) []SpreadAction {
	s.actions = nil
	switch e := event.(type) {
	case LinkUpEvent:
		s.linkUp(e)
	case LinkDownEvent:
		s.linkDown(e.Peer)
	case HaveEvent:
		s.have(e)
	case WantEvent:
		s.answer(e, now)
	case ChangesEvent:
		s.takeChanges(e)
	case SnapshotEvent:
		s.takeSnapshot(e)
	case SnapshotPieceEvent:
		s.extend(e.Peer, now)
	case StoreChangesEvent:
		s.takeStoreChanges(e)
	case StoreCatalogueEvent:
		s.takeStoreCatalogue(e)
	case AcceptedEvent:
		s.takeAccepted(e.Catalogue)
	case StoreBehindEvent:
		s.storeAnswered = true
		s.do(StoreBehindAction{Held: s.stamp.Revision, Store: e.Revision})
	}
	s.ask(now)
	s.sendDigest(now)
	s.join(now)
	return s.actions
}

func (s *Spread) do(action SpreadAction) { s.actions = append(s.actions, action) }

// jitter returns a random time of half to one and a half of the interval.
func (s *Spread) jitter(interval time.Duration) time.Duration {
	return interval/2 + time.Duration(s.random.Int64N(int64(interval)+1))
}

// peer returns what is known of a peer. A word of it may come before the event
// of its link.
func (s *Spread) peer(id PeerID) *spreadPeer {
	peer, ok := s.peers[id]
	if !ok {
		peer = &spreadPeer{}
		s.peers[id] = peer
	}
	return peer
}

func (s *Spread) linkUp(e LinkUpEvent) {
	s.peer(e.Peer).dialled = e.Dialled
	s.do(HaveAction{To: []PeerID{e.Peer}, Stamp: s.stamp})
}

func (s *Spread) linkDown(peer PeerID) {
	delete(s.peers, peer)
	if s.want.peer == peer {
		s.want = want{}
	}
}

// hear notes what a peer holds. A peer's revision does not fall, so an older
// word that comes late is dropped.
func (s *Spread) hear(id PeerID, stamp Stamp) {
	peer := s.peer(id)
	peer.spoke = true
	s.heard = max(s.heard, stamp.Revision)
	if stamp.Revision >= peer.stamp.Revision {
		peer.stamp = stamp
	}
}

func (s *Spread) have(e HaveEvent) {
	s.hear(e.Peer, e.Stamp)
	switch {
	case e.Stamp.Conflicts(s.stamp):
		s.reportConflict(e.Peer, e.Stamp)
	case e.Stamp.Revision < s.stamp.Revision:
		s.do(HaveAction{To: []PeerID{e.Peer}, Stamp: s.stamp})
	}
}

// reportConflict reports one conflict with a peer once.
func (s *Spread) reportConflict(peer PeerID, theirs Stamp) {
	if peer != "" {
		if s.peer(peer).conflict == theirs {
			return
		}
		s.peer(peer).conflict = theirs
	}
	s.do(ConflictAction{Peer: peer, Held: s.stamp, Theirs: theirs})
}

// answer sends a peer what it lacks.
func (s *Spread) answer(e WantEvent, now time.Time) {
	s.hear(e.Peer, e.Stamp)
	if e.Stamp.Revision >= s.stamp.Revision {
		s.do(HaveAction{To: []PeerID{e.Peer}, Stamp: s.stamp})
		return
	}
	if changes := s.changesAfter(e.Stamp); len(changes) > 0 && !e.Whole {
		s.do(ChangesAction{To: e.Peer, Changes: changes})
		return
	}
	if now.Before(s.nextSnapshot) {
		return
	}
	s.nextSnapshot = now.Add(s.config.SnapshotInterval)
	s.do(SnapshotAction{To: e.Peer, Catalogue: s.catalogue, Stamp: s.stamp})
}

// changesAfter returns logged changes that follow on the given state, none where
// the log does not reach back to it.
func (s *Spread) changesAfter(stamp Stamp) []StampedChange {
	if stamp.Revision < s.logBase.Revision || stamp.Revision >= s.stamp.Revision {
		return nil
	}
	first := int(stamp.Revision - s.logBase.Revision)
	base := s.logBase
	if first > 0 {
		base = Stamp{Revision: stamp.Revision, Digest: s.log[first-1].Digest}
	}
	if base.Conflicts(stamp) {
		return nil
	}
	last := min(first+s.config.BatchChanges, len(s.log))
	return slices.Clone(s.log[first:last])
}

// ask asks a peer that is ahead for what this process lacks, unless an answer is
// still to come.
func (s *Spread) ask(now time.Time) {
	if s.want.peer != "" && now.Before(s.want.until) {
		return
	}
	last := s.want.peer
	s.want = want{}
	var ahead []PeerID
	for peer, known := range s.peers {
		if known.stamp.Revision > s.stamp.Revision {
			ahead = append(ahead, peer)
		}
	}
	if len(ahead) == 0 {
		return
	}
	slices.Sort(ahead)
	if len(ahead) > 1 {
		ahead = slices.DeleteFunc(ahead, func(peer PeerID) bool { return peer == last })
	}
	peer := ahead[s.random.IntN(len(ahead))]
	s.want = want{peer: peer, until: now.Add(s.jitter(s.config.WantTimeout))}
	s.do(WantAction{To: peer, Stamp: s.stamp, Whole: s.wantWhole})
}

func (s *Spread) extend(peer PeerID, now time.Time) {
	if s.want.peer == peer {
		s.want.until = now.Add(s.config.WantTimeout)
	}
}

// sendDigest tells the peers from time to time what this process holds. A leaf
// tells only those that are not known to hold as much.
func (s *Spread) sendDigest(now time.Time) {
	if now.Before(s.nextDigest) {
		return
	}
	s.nextDigest = now.Add(s.jitter(s.config.DigestInterval))
	s.tell(s.config.Leaf)
}

// tell sends the stamp to all peers, or to those known to be behind alone.
func (s *Spread) tell(behindOnly bool) {
	var to []PeerID
	for peer, known := range s.peers {
		if !behindOnly || known.stamp.Revision < s.stamp.Revision {
			to = append(to, peer)
		}
	}
	if len(to) == 0 {
		return
	}
	slices.Sort(to)
	s.do(HaveAction{To: to, Stamp: s.stamp})
}

// Next returns when the next TickEvent is due.
func (s *Spread) Next() time.Time {
	next := s.nextDigest
	if s.want.peer != "" && s.want.until.Before(next) {
		next = s.want.until
	}
	if deadline := s.started.Add(s.config.JoinTimeout); !s.serving && s.catalogue != nil && deadline.Before(next) {
		next = deadline
	}
	return next
}

// join lets the process serve once it holds the newest that anyone told of, or
// once the time to join is over and it holds anything.
func (s *Spread) join(now time.Time) {
	if s.serving || s.catalogue == nil {
		return
	}
	confirmed := s.stamp.Revision >= s.heard &&
		s.spoken() >= s.config.Peers && (s.storeAnswered || !s.config.Store)
	if !confirmed && now.Before(s.started.Add(s.config.JoinTimeout)) {
		return
	}
	s.serving = true
	s.do(ServeAction{Confirmed: confirmed})
}

// spoken counts the dialled peers that have said what they hold.
func (s *Spread) spoken() int {
	count := 0
	for _, peer := range s.peers {
		if peer.dialled && peer.spoke {
			count++
		}
	}
	return count
}

// Peers returns the number of linked peers.
func (s *Spread) Peers() int { return len(s.peers) }
