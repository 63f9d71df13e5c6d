package wire

//go:generate go tool msgp -file spread.go -o spread_gen.go -tests=false

// No list, map or string of bytes is longer than a frame.
//
//msgp:limit arrays:262144 maps:262144

// Have is what a process holds of the catalogue.
type Have struct {
	Revision uint64 `msg:"r"`
	Digest   uint64 `msg:"d"`
	Format   int    `msg:"f"`
	// Whole asks for a snapshot where the message is a request.
	Whole bool `msg:"w,omitempty"`
}

// Changes are changes of the catalogue in the order of their revisions.
type Changes struct {
	Format  int      `msg:"f"`
	Changes []Change `msg:"c"`
}

// Change is one change and the digest of the catalogue after it. Who made it
// and when is in the table service alone.
type Change struct {
	Revision uint64       `msg:"r"`
	Digest   uint64       `msg:"d"`
	Items    []ChangeItem `msg:"i"`
}

// ChangeItem is an entry or owner after a change. One without either is removed.
type ChangeItem struct {
	Kind  string          `msg:"k"`
	Name  string          `msg:"n"`
	Entry *CatalogueEntry `msg:"e"`
	Quota *Quota          `msg:"q"`
}

// SnapshotPiece is a part of a whole catalogue.
type SnapshotPiece struct {
	Revision uint64           `msg:"r"`
	Digest   uint64           `msg:"d"`
	Format   int              `msg:"f"`
	Index    int              `msg:"i"`
	Count    int              `msg:"c"`
	Entries  []CatalogueEntry `msg:"e"`
	Quotas   []Quota          `msg:"q"`
}

// CatalogueEntry is an entry of the catalogue.
type CatalogueEntry struct {
	Name                 string    `msg:"n"`
	Owner                string    `msg:"o"`
	Class                uint8     `msg:"c"`
	Revision             uint64    `msg:"r"`
	TimeoutNanos         int64     `msg:"t,omitempty"`
	Concurrency          int       `msg:"lc,omitempty"`
	Queue                int       `msg:"lq,omitempty"`
	Floor                float64   `msg:"lf"`
	BodyBytes            int64     `msg:"lb,omitempty"`
	Demand               Resources `msg:"d"`
	Instances            int       `msg:"i,omitempty"`
	IdempotentMethods    []string  `msg:"im,omitempty"`
	NonIdempotentMethods []string  `msg:"nm,omitempty"`
	RunTimeNanos         int64     `msg:"rt,omitempty"`
}

// Quota is an owner's quota.
type Quota struct {
	Owner      string    `msg:"o"`
	Revision   uint64    `msg:"r"`
	Guaranteed Resources `msg:"g"`
	Weight     float64   `msg:"w"`
}

// Resources is an amount of a host's capacity.
type Resources struct {
	MilliCPU     int64 `msg:"c,omitempty"`
	MemoryBytes  int64 `msg:"m,omitempty"`
	Accelerators int64 `msg:"a,omitempty"`
}
