package wire

//go:generate go tool msgp -file propagation.go -o propagation_gen.go -tests=false

// No array or map has more elements than a frame has bytes.
//
//msgp:limit arrays:262144 maps:262144

// CatalogueState identifies the state of the catalogue in a process.
type CatalogueState struct {
	Revision uint64 `msg:"r"`
	Digest   uint64 `msg:"d"`
	Format   int    `msg:"f"`
	// Snapshot requests a full snapshot, in a message of TopicWant.
	Snapshot bool `msg:"w,omitempty"`
}

// Changes contains changes of the catalogue in the order of their revisions.
type Changes struct {
	Format  int      `msg:"f"`
	Changes []Change `msg:"c"`
}

// Change is one change and the digest of the catalogue after it. The author and
// time of the change are stored only in the table service.
type Change struct {
	Revision uint64       `msg:"r"`
	Digest   uint64       `msg:"d"`
	Items    []ChangeItem `msg:"i"`
}

// ChangeItem is an entry or an owner's quota after a change. If both fields are
// nil, the change removed it.
type ChangeItem struct {
	Kind  string          `msg:"k"`
	Name  string          `msg:"n"`
	Entry *CatalogueEntry `msg:"e"`
	Quota *Quota          `msg:"q"`
}

// SnapshotPiece is a part of a full snapshot of the catalogue.
type SnapshotPiece struct {
	Revision uint64           `msg:"r"`
	Digest   uint64           `msg:"d"`
	Format   int              `msg:"f"`
	Index    int              `msg:"i"`
	Count    int              `msg:"c"`
	Entries  []CatalogueEntry `msg:"e"`
	Quotas   []Quota          `msg:"q"`
}

// CatalogueEntry is an entry of the catalogue: a service or a batch task, with its
// owner, its limits and its demand. The catalogue lists all of them, and the owners'
// quotas.
type CatalogueEntry struct {
	Name                 string    `msg:"n"`
	Owner                string    `msg:"o"`
	Class                uint8     `msg:"c"`
	Revision             uint64    `msg:"r"`
	TimeoutNanos         int64     `msg:"t,omitempty"`
	Concurrency          int       `msg:"lc,omitempty"`
	Queue                int       `msg:"lq,omitempty"`
	GuaranteedShare      float64   `msg:"lf"`
	BodyBytes            int64     `msg:"lb,omitempty"`
	Demand               Resources `msg:"d"`
	Instances            int       `msg:"i,omitempty"`
	IdempotentMethods    []string  `msg:"im,omitempty"`
	NonIdempotentMethods []string  `msg:"nm,omitempty"`
	RunTimeNanos         int64     `msg:"rt,omitempty"`
}

// Quota is what an owner may use of the fleet before it borrows. Weight is the
// owner's share of what is left over, relative to other owners.
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
