// Package wire encodes the events between an entry, its sidecars and the other
// entries as msgpack payloads in frames. The generated code is committed.
package wire

//go:generate go tool msgp -file messages.go -o messages_gen.go -tests=false

// No array or map has more elements than a frame has bytes.
//
//msgp:limit arrays:262144 maps:262144

// Topics of events.
const (
	// TopicAnnouncement carries an Announcement.
	TopicAnnouncement = "announcement"
	// TopicRelay carries Announcements from one entry to another.
	TopicRelay = "relay"
	// TopicPresence carries an entry's Presences.
	TopicPresence = "presence"
	// TopicAnnouncementRequest carries an AnnouncementRequest, which is answered
	// by a TopicRelay.
	TopicAnnouncementRequest = "wanted"
	// TopicSync requests an entry's Presences and Stops at once. Its payload is
	// empty.
	TopicSync = "all"
	// TopicStops carries an entry's Stops.
	TopicStops = "stops"
	// TopicHave carries a CatalogueState: the state of the catalogue in a process.
	TopicHave = "have"
	// TopicWant carries a CatalogueState as a request for what follows that state.
	TopicWant = "want"
	// TopicChanges carries a Changes.
	TopicChanges = "changes"
	// TopicSnapshot carries a SnapshotPiece.
	TopicSnapshot = "snapshot"
)

// Event is one message of a topic.
type Event struct {
	Topic    string            `msg:"t"`
	UUID     string            `msg:"u,omitempty"`
	Metadata map[string]string `msg:"m,omitempty"`
	Payload  []byte            `msg:"p"`
}

// Announcement is a sidecar's report about itself and its upstream.
type Announcement struct {
	Incarnation uint64 `msg:"i"`
	Sequence    uint64 `msg:"q"`
	// StartedMicros is when the incarnation started, in microseconds of Unix
	// time.
	StartedMicros int64  `msg:"st"`
	Address       string `msg:"a"`
	Service       string `msg:"sv"`
	DataCentre    string `msg:"dc"`
	Rack          string `msg:"rk,omitempty"`
	Host          string `msg:"h,omitempty"`
	State         uint8  `msg:"s"`
	Slots         int    `msg:"sl"`
	Running       int    `msg:"r,omitempty"`
	Queued        int    `msg:"qd,omitempty"`
	UrgentQueued  int    `msg:"uq,omitempty"`
}
