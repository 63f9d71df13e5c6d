package wire

//go:generate go tool msgp -file membership.go -o membership_gen.go -tests=false

// No list, map or string of bytes is longer than a frame.
//
//msgp:limit arrays:262144 maps:262144

// Announcements are announcements that an entry passes on to others.
type Announcements struct {
	Announcements []Announcement `msg:"a"`
}

// Presences are an entry's word on the sidecars that it hears.
type Presences struct {
	// Sender, DataCentre and Revision are the entry's report of itself.
	Sender     uint64     `msg:"s"`
	DataCentre string     `msg:"dc"`
	Revision   uint64     `msg:"r"`
	Presences  []Presence `msg:"p"`
}

//msgp:tuple Presence

// Presence is an entry's word on one sidecar.
type Presence struct {
	Incarnation  uint64
	Sequence     uint64
	Changed      uint64
	Running      int
	Queued       int
	UrgentQueued int
}

// Wanted names sidecars whose announcements an entry lacks.
type Wanted struct {
	Incarnations []uint64 `msg:"i"`
}
