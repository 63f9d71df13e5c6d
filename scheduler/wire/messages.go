package wire

//go:generate go tool msgp -file messages.go -o messages_gen.go -tests=false -io=false

// No list, map or string of bytes is longer than a frame.
//
//msgp:limit arrays:65536 maps:65536
//msgp:tuple Hello Ping Pong Life Description Running End Listing Answer Silent Left Order Query Reply

// Roles of the peer that dials.
const (
	RoleSidecar = 1
	RoleEntry   = 2
)

// Hello begins a link.
type Hello struct {
	Role int
	Host string
	// Incarnation differs between two starts of a process.
	Incarnation uint64
}

// Ping is sent by the peer that dialled.
type Ping struct {
	Sequence uint64
	// HolderAge is how long ago the sender heard the shard's holder, in
	// milliseconds. It is negative where it never did.
	HolderAge int64
	// Epoch is the highest epoch that the sender knows.
	Epoch uint64
}

// Pong answers a Ping.
type Pong struct {
	Sequence uint64
	// Leads says that the sender holds the shard.
	Leads bool
	Epoch uint64
	// StoreAge is how long ago the holder last reached the table service, in
	// milliseconds.
	StoreAge int64
	// Incarnation is the start of the sender's process.
	Incarnation uint64
}

// Life is a runs.Life.
type Life struct {
	ID   string
	Born int64
}

// Description is a runs.Description.
type Description struct {
	Life       Life
	Service    string
	DataCentre string
	MilliCPU   int64
	Memory     int64
	GPUs       int64
	Labels     []string
	Rack       string
	Draining   bool
	// Remaining is in milliseconds.
	Remaining int64
	Sequence  uint64
}

// Running is a runs.Running.
type Running struct {
	Task    string
	Run     int
	Saved   string
	Percent int
	Figure  int
}

// End is a runs.End.
type End struct {
	Number  uint64
	Task    string
	Run     int
	Outcome uint8
	Saved   string
}

// Listing is a dispatch.WorkerListing.
type Listing struct {
	Life    Life
	Number  uint64
	Epoch   uint64
	Whole   bool
	Running []Running
	Ends    []End
}

// Answer is a dispatch.Answered.
type Answer struct {
	Life    Life
	Kind    uint8
	Task    string
	Run     int
	Result  uint8
	Listing uint64
	Epoch   uint64
}

// Silent says that the sidecar does not reach its worker.
type Silent struct {
	// Remaining is how long the worker's lease still runs, in milliseconds. It is
	// negative where the sidecar does not know.
	Remaining int64
}

// Left says that a worker has ended in an orderly way.
type Left struct {
	Life Life
}

// Order is a dispatch.Order.
type Order struct {
	Life         Life
	Kind         uint8
	Task         string
	Run          int
	Payload      string
	Saved        string
	Ticket       string
	Percent      int
	Acknowledged uint64
}

// Orders are orders under one epoch.
type Orders struct {
	Epoch  uint64  `msg:"e"`
	Orders []Order `msg:"o"`
}

// Kinds of a Query.
const (
	// QueryState asks for the state of a job.
	QueryState = 1
	// QueryWaiting asks how many jobs of a queue have not begun.
	QueryWaiting = 2
	// QueryCancel tells of a cancellation that is stored, and asks for the state.
	QueryCancel = 3
)

// Query asks the holder something.
type Query struct {
	Number uint64
	Kind   uint8
	Job    string
	Queue  string
}

// Reply answers a Query.
type Reply struct {
	Number uint64
	// Leads says that the sender holds the shard. If not, the rest is empty.
	Leads   bool
	Known   bool
	State   uint8
	Waiting int
}
