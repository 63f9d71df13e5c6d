package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// PropagationConfig holds the settings of a process for the propagation of the
// catalogue.
type PropagationConfig struct {
	// Peers is the number of processes that the process dials. It waits for
	// the state of each of them before it serves.
	Peers int
	// ReadsStore reports that the process reads the table service. It then waits
	// for the table service's answer as well before it serves.
	ReadsStore bool
	// Leaf disables the notification of peers right after a new state is
	// installed. A leaf notifies the peers that are behind with the next
	// digest.
	Leaf bool
	// ServeTimeout is how long the process waits for its peers and the table
	// service before it serves the state that it has.
	ServeTimeout time.Duration
	// DigestInterval is the mean time between two digests to all peers.
	DigestInterval time.Duration
	// RequestTimeout is how long the process waits for a peer's answer before it
	// asks another peer.
	RequestTimeout time.Duration
	// LoggedChanges is how many changes are kept for peers that are behind.
	LoggedChanges int
	// BatchChanges is the maximum number of changes in one message.
	BatchChanges int
	// SnapshotInterval is the minimum time between two snapshots that are sent.
	SnapshotInterval time.Duration
}

// DefaultPropagationConfig returns the settings of an entry without peers.
func DefaultPropagationConfig() PropagationConfig {
	return PropagationConfig{
		ServeTimeout:     2 * time.Second,
		DigestInterval:   5 * time.Second,
		RequestTimeout:   500 * time.Millisecond,
		LoggedChanges:    1000,
		BatchChanges:     32,
		SnapshotInterval: 50 * time.Millisecond,
	}
}

// Propagation decides for one process how the catalogue is propagated: which states it
// installs, which it rejects, and what it sends to which peer. Each process sends
// its peers the stamp of its state; a peer that is behind asks for what it lacks,
// so that a change is sent to each process once. A Propagation is not safe for
// concurrent use.
type Propagation struct {
	config    PropagationConfig
	random    *rand.Rand
	catalogue *carobkeel.Catalogue
	stamp     Stamp
	// log holds the latest changes, which lead from logBase to stamp.
	log     []StampedChange
	logBase Stamp
	peers   map[PeerID]*peerState
	pending pendingRequest
	// wantSnapshot reports that changes led to a state other than the peer's, so
	// that the next request is for a snapshot.
	wantSnapshot bool
	// highestRevision is the highest revision that a peer or the table service
	// reported, or that is installed here.
	highestRevision carobkeel.Revision
	started         time.Time
	storeAnswered   bool
	serving         bool
	nextDigest      time.Time
	nextSnapshot    time.Time
	actions         []PropagationAction
}

// peerState is the state of a linked peer.
type peerState struct {
	// stamp is the newest state that the peer reported.
	stamp   Stamp
	dialled bool
	// reported is true after the peer has reported its state.
	reported bool
	// reportedConflict is the peer's stamp in the last conflict with it for
	// which an action was emitted.
	reportedConflict Stamp
}

// pendingRequest is a request to a peer that has not been answered yet.
type pendingRequest struct {
	peer     PeerID
	deadline time.Time
}

// NewPropagation returns a Propagation for a process that starts now without a
// catalogue.
func NewPropagation(config PropagationConfig, random *rand.Rand, now time.Time) *Propagation {
	s := &Propagation{
		config:  config,
		random:  random,
		peers:   make(map[PeerID]*peerState),
		started: now,
	}
	s.nextDigest = now.Add(s.jitter(config.DigestInterval))
	return s
}

// Stamp returns the stamp of the catalogue in force.
func (s *Propagation) Stamp() Stamp { return s.stamp }

// Catalogue returns the catalogue in force, nil before the first.
func (s *Propagation) Catalogue() *carobkeel.Catalogue { return s.catalogue }

// HighestRevision returns the highest revision that the process knows of, installed or
// reported by a peer or the table service.
func (s *Propagation) HighestRevision() carobkeel.Revision { return s.highestRevision }

// Serving reports whether the process may serve.
func (s *Propagation) Serving() bool { return s.serving }

// Step handles an event and returns the actions to carry out, in order.
func (s *Propagation) Step(event PropagationEvent, now time.Time) []PropagationAction {
	s.actions = nil
	switch e := event.(type) {
	case LinkUpEvent:
		s.linkUp(e)
	case LinkDownEvent:
		s.linkDown(e.Peer)
	case PeerStampEvent:
		s.handleHave(e)
	case PeerRequestEvent:
		s.handleWant(e, now)
	case ChangesEvent:
		s.applyChanges(e)
	case SnapshotEvent:
		s.applySnapshot(e)
	case SnapshotPieceEvent:
		s.extendDeadline(e.Peer, now)
	case StoreChangesEvent:
		s.applyStoreChanges(e)
	case StoreCatalogueEvent:
		s.applyStoreCatalogue(e)
	case AcceptedEvent:
		s.applyAccepted(e.Catalogue)
	case StoreBehindEvent:
		s.storeAnswered = true
		s.emit(StoreBehindAction{Held: s.stamp.Revision, Store: e.Revision})
	}
	s.requestMissing(now)
	s.sendDigest(now)
	s.checkServing(now)
	return s.actions
}

func (s *Propagation) emit(action PropagationAction) { s.actions = append(s.actions, action) }

// jitter returns a random time of half to one and a half of the interval.
func (s *Propagation) jitter(interval time.Duration) time.Duration {
	return interval/2 + time.Duration(s.random.Int64N(int64(interval)+1))
}

// peer returns the state of a peer. It adds one for an unknown peer, as a message
// of a peer may arrive before its LinkUpEvent.
func (s *Propagation) peer(id PeerID) *peerState {
	peer, ok := s.peers[id]
	if !ok {
		peer = &peerState{}
		s.peers[id] = peer
	}
	return peer
}

func (s *Propagation) linkUp(e LinkUpEvent) {
	s.peer(e.Peer).dialled = e.Dialled
	s.emit(SendStampAction{To: []PeerID{e.Peer}, Stamp: s.stamp})
}

func (s *Propagation) linkDown(peer PeerID) {
	delete(s.peers, peer)
	if s.pending.peer == peer {
		s.pending = pendingRequest{}
	}
}

// recordStamp records the state that a peer reported. A peer's revision never
// decreases, so a delayed report of an older revision is dropped.
func (s *Propagation) recordStamp(id PeerID, stamp Stamp) {
	peer := s.peer(id)
	peer.reported = true
	s.highestRevision = max(s.highestRevision, stamp.Revision)
	if stamp.Revision >= peer.stamp.Revision {
		peer.stamp = stamp
	}
}

func (s *Propagation) handleHave(e PeerStampEvent) {
	s.recordStamp(e.Peer, e.Stamp)
	switch {
	case e.Stamp.Conflicts(s.stamp):
		s.reportConflict(e.Peer, e.Stamp)
	case e.Stamp.Revision < s.stamp.Revision:
		s.emit(SendStampAction{To: []PeerID{e.Peer}, Stamp: s.stamp})
	}
}

// reportConflict reports a conflict. The same conflict with a peer is reported
// once.
func (s *Propagation) reportConflict(peer PeerID, theirs Stamp) {
	if peer != "" {
		if s.peer(peer).reportedConflict == theirs {
			return
		}
		s.peer(peer).reportedConflict = theirs
	}
	s.emit(ConflictAction{Peer: peer, Held: s.stamp, Theirs: theirs})
}

// handleWant handles a peer's request: it sends changes, or a full snapshot if the
// peer asks for one or the log does not reach back far enough. Within
// SnapshotInterval of the last snapshot none is sent; the peer asks again after
// its timeout.
func (s *Propagation) handleWant(e PeerRequestEvent, now time.Time) {
	s.recordStamp(e.Peer, e.Stamp)
	if e.Stamp.Revision >= s.stamp.Revision {
		s.emit(SendStampAction{To: []PeerID{e.Peer}, Stamp: s.stamp})
		return
	}
	if changes := s.changesAfter(e.Stamp); len(changes) > 0 && !e.Snapshot {
		s.emit(ChangesAction{To: e.Peer, Changes: changes})
		return
	}
	if now.Before(s.nextSnapshot) {
		return
	}
	s.nextSnapshot = now.Add(s.config.SnapshotInterval)
	s.emit(SnapshotAction{To: e.Peer, Catalogue: s.catalogue, Stamp: s.stamp})
}

// changesAfter returns the logged changes that follow the given state, at most
// BatchChanges of them. It returns none if the log does not reach back to that
// state.
func (s *Propagation) changesAfter(stamp Stamp) []StampedChange {
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

// requestMissing requests what this process lacks from a peer that is ahead,
// unless a request is pending. After a timeout it asks another peer, if another
// one is ahead.
func (s *Propagation) requestMissing(now time.Time) {
	if s.pending.peer != "" && now.Before(s.pending.deadline) {
		return
	}
	last := s.pending.peer
	s.pending = pendingRequest{}
	var ahead []PeerID
	for peer, state := range s.peers {
		if state.stamp.Revision > s.stamp.Revision {
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
	s.pending = pendingRequest{peer: peer, deadline: now.Add(s.jitter(s.config.RequestTimeout))}
	s.emit(RequestAction{To: peer, Stamp: s.stamp, Snapshot: s.wantSnapshot})
}

func (s *Propagation) extendDeadline(peer PeerID, now time.Time) {
	if s.pending.peer == peer {
		s.pending.deadline = now.Add(s.config.RequestTimeout)
	}
}

// sendDigest periodically sends this process's stamp to its peers. A leaf sends
// it only to peers that are behind.
func (s *Propagation) sendDigest(now time.Time) {
	if now.Before(s.nextDigest) {
		return
	}
	s.nextDigest = now.Add(s.jitter(s.config.DigestInterval))
	s.sendStamp(s.config.Leaf)
}

// sendStamp sends the stamp to all peers, or only to those that are behind
// according to their last report.
func (s *Propagation) sendStamp(behindOnly bool) {
	var to []PeerID
	for peer, state := range s.peers {
		if !behindOnly || state.stamp.Revision < s.stamp.Revision {
			to = append(to, peer)
		}
	}
	if len(to) == 0 {
		return
	}
	slices.Sort(to)
	s.emit(SendStampAction{To: to, Stamp: s.stamp})
}

// NextTick returns when the next TickEvent is due.
func (s *Propagation) NextTick() time.Time {
	next := s.nextDigest
	if s.pending.peer != "" && s.pending.deadline.Before(next) {
		next = s.pending.deadline
	}
	if deadline := s.started.Add(s.config.ServeTimeout); !s.serving && s.catalogue != nil && deadline.Before(next) {
		next = deadline
	}
	return next
}

// checkServing allows the process to serve once it holds the newest known
// revision, and its peers and the table service have answered. After ServeTimeout
// it may serve with any catalogue.
func (s *Propagation) checkServing(now time.Time) {
	if s.serving || s.catalogue == nil {
		return
	}
	confirmed := s.stamp.Revision >= s.highestRevision &&
		s.reportedPeers() >= s.config.Peers && (s.storeAnswered || !s.config.ReadsStore)
	if !confirmed && now.Before(s.started.Add(s.config.ServeTimeout)) {
		return
	}
	s.serving = true
	s.emit(ServeAction{Confirmed: confirmed})
}

// reportedPeers counts the dialled peers that have reported their state.
func (s *Propagation) reportedPeers() int {
	count := 0
	for _, peer := range s.peers {
		if peer.dialled && peer.reported {
			count++
		}
	}
	return count
}

// Peers returns the number of linked peers.
func (s *Propagation) Peers() int { return len(s.peers) }
