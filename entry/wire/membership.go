package wire

//go:generate go tool msgp -file membership.go -o membership_gen.go -tests=false

// No array or map has more elements than a frame has bytes.
//
//msgp:limit arrays:262144 maps:262144

// Announcements contains announcements that an entry forwards to others.
type Announcements struct {
	Announcements []Announcement `msg:"a"`
}

// Presences is an entry's report of the sidecars whose announcements it receives.
type Presences struct {
	// Sender, DataCentre and Revision are the entry's report about itself, as
	// in entry.Report.
	Sender     uint64     `msg:"s"`
	DataCentre string     `msg:"dc"`
	Revision   uint64     `msg:"r"`
	Presences  []Presence `msg:"p"`
}

//msgp:tuple Presence

// Presence is an entry's report of one sidecar.
type Presence struct {
	Incarnation  uint64
	Sequence     uint64
	Changed      uint64
	Running      int
	Queued       int
	UrgentQueued int
}

// AnnouncementRequest is a request for the announcements of sidecars that an entry
// lacks.
type AnnouncementRequest struct {
	Incarnations []uint64 `msg:"i"`
}
