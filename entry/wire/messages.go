// Package wire is the encoding of the events between an entry and the sidecars
// and other entries: msgpack payloads in frames. The generated code is
// committed.
package wire

//go:generate go tool msgp -file messages.go -o messages_gen.go -tests=false

// No list, map or string of bytes is longer than a frame.
//
//msgp:limit arrays:262144 maps:262144

// Topics of events.
const (
	// TopicAnnouncement carries an Announcement.
	TopicAnnouncement = "announcement"
	// TopicRelay carries Announcements from one entry to another.
	TopicRelay = "relay"
	// TopicPresence carries the Presences of the sidecars that an entry hears.
	TopicPresence = "presence"
	// TopicWanted carries a Wanted, which is answered by a TopicRelay.
	TopicWanted = "wanted"
	// TopicAll asks an entry for its Presences and Stops at once. It is empty.
	TopicAll = "all"
	// TopicStops carries the Stops that an entry knows of.
	TopicStops = "stops"
	// TopicHave carries a Have: what a process holds of the catalogue.
	TopicHave = "have"
	// TopicWant carries a Have as a request for what follows on it.
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

// Announcement is what a sidecar tells of itself.
type Announcement struct {
	Incarnation uint64 `msg:"i"`
	Sequence    uint64 `msg:"q"`
	// StartedMicros is when the incarnation began, in microseconds of Unix
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
