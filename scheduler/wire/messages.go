package wire

//go:generate go tool msgp -file messages.go -o messages_gen.go -tests=false -io=false

// No list, map or byte string is longer than a frame.
//
//msgp:limit arrays:65536 maps:65536
//msgp:tuple Hello Ping Pong TakingOver WorkerIncarnation Description ListedStep Running End Listing Answer WorkerUnreachable WorkerShutDown Order Query Reply BacklogBand WaitingDemand QueueLoad PoolLoad AdmissionView

// Roles of the peer that dials.
const (
	RoleSidecar = 1
	RoleEntry   = 2
)

// Hello is the first message on a link.
type Hello struct {
	Role int
	Host string
	// Incarnation is the incarnation of the sender's process.
	Incarnation uint64
	// Link numbers the links that a sidecar's process has opened, from one. An earlier
	// link may be accepted after a later one.
	Link uint64
}

// Ping is sent periodically by the peer that dialled the link.
type Ping struct {
	Sequence uint64
	// HolderAge is the time since the sender last received a message from the
	// shard's holder, in milliseconds. It is negative if there was none.
	HolderAge int64
	// Epoch is the highest epoch known to the sender.
	Epoch uint64
}

// Pong answers a Ping.
type Pong struct {
	Sequence uint64
	// IsHolder reports that the sender holds the shard.
	IsHolder bool
	Epoch    uint64
	// StoreAge is the time since the holder last reached the table service, in
	// milliseconds.
	StoreAge int64
	// Incarnation is the incarnation of the sender's process.
	Incarnation uint64
	// ExtendsLease reports that the sidecar may extend the worker's lease, counted from
	// the Ping.
	ExtendsLease bool
	// Process is the number of the sidecar's process among those of its host under the epoch,
	// zero if the sender doesn't hold the shard or has given no number.
	Process uint32
	// DecisionAge is the time since the holder's event loop last made decisions, in milliseconds. It is
	// zero if the sender doesn't hold the shard.
	DecisionAge int64
	// JobBytes bounds the memory that the jobs of the shard take in the holder, and MaxJobBytes is up to
	// where it takes more, zero for no limit. Both are zero if the sender doesn't hold the shard.
	JobBytes, MaxJobBytes int64
}

// TakingOver precedes a Pong of an entry that is about to hold the shard: it writes
// the holder row or reads the shard.
type TakingOver struct {
	// Sequence is that of the Pong.
	Sequence uint64
}

// WorkerIncarnation is the encoding of a runs.Incarnation.
type WorkerIncarnation struct {
	ID          string
	StartedAtMs int64
}

// Description is the encoding of a runs.Description.
type Description struct {
	Incarnation WorkerIncarnation
	Service     string
	DataCentre  string
	MilliCPU    int64
	Memory      int64
	GPUs        int64
	Labels      []string
	Rack        string
	Draining    bool
	// Remaining is the least time until a draining worker ends, in milliseconds.
	Remaining int64
	Sequence  uint64
}

// ListedStep is a step of one occurrence of a job.
type ListedStep struct {
	Job              string
	Occurrence, Step int
}

// Running is the encoding of a runs.Running. Step is the index of the task's step in the
// listing's Steps.
type Running struct {
	Step, Index int
	Run         int
	Checkpoint  string
	Percent     int
	LoadMetric  int
}

// End is the encoding of a runs.End. Step is as in Running.
type End struct {
	Number      uint64
	Step, Index int
	Run         int
	Outcome     uint8
	Checkpoint  string
}

// Listing is the encoding of a dispatch.WorkerListing.
type Listing struct {
	Incarnation WorkerIncarnation
	Number      uint64
	Epoch       uint64
	Full        bool
	// Steps are those of the tasks below. Each is named once, as listings are most of what
	// a holder receives.
	Steps     []ListedStep
	Running   []Running
	Ends      []End
	Requested uint64
	Partial   bool
	// LateLease is the longest time for which a lease that late calls may have given the
	// incarnation may still be valid, in milliseconds, rounded up. LateUnanswered reports that
	// the sender has sent such a call.
	LateLease      int64
	LateUnanswered bool
}

// Answer is the encoding of a dispatch.OrderAnswer.
type Answer struct {
	Incarnation WorkerIncarnation
	Kind        uint8
	Task        string
	Run         int
	Result      uint8
	Listing     uint64
	Epoch       uint64
}

// WorkerUnreachable reports that the sidecar can't reach its worker.
type WorkerUnreachable struct {
	// Remaining is the time until the worker's lease expires, in milliseconds. It
	// is negative if the sidecar does not know it.
	Remaining int64
	// LateStarts names the tasks of which the worker may have carried out a late start.
	LateStarts []string
}

// WorkerShutDown reports that a worker has shut down in an orderly way.
type WorkerShutDown struct {
	Incarnation WorkerIncarnation
}

// Order is the encoding of a dispatch.Order.
type Order struct {
	Incarnation  WorkerIncarnation
	Kind         uint8
	Task         string
	Run          int
	Payload      string
	Checkpoint   string
	Ticket       string
	Percent      int
	Acknowledged uint64
	Ping         uint64
}

// Orders is a list of orders under one epoch.
type Orders struct {
	Epoch  uint64  `msg:"e"`
	Orders []Order `msg:"o"`
}

// Kinds of a Query.
const (
	// QueryState requests the state of a job.
	QueryState = 1
	// QueryWaiting requests the number of jobs of a queue that have not started.
	QueryWaiting = 2
	// QueryCancel notifies the holder of a stored cancellation and requests the
	// state of the job.
	QueryCancel = 3
)

// Query is a request of an entry to the holder.
type Query struct {
	Number uint64
	Kind   uint8
	Job    string
	Queue  string
}

// Reply answers a Query.
type Reply struct {
	Number uint64
	// IsHolder reports that the sender holds the shard. If it is false, the fields
	// below are empty.
	IsHolder bool
	Known    bool
	State    uint8
	Waiting  int
}

// BacklogBand is the encoding of a dispatch.BacklogBand.
type BacklogBand struct {
	Priority, ValueExponent int
	// Work is in thousandths of a core-second.
	Work int64
}

// WaitingDemand is the encoding of a dispatch.WaitingDemand.
type WaitingDemand struct {
	Priority         int
	BestEffort       bool
	MilliCPU, Memory int64
}

// QueueLoad is the encoding of a dispatch.QueueLoad.
type QueueLoad struct {
	Name string
	// MeanWork is in thousandths of a core-second.
	MeanWork int64
}

// PoolLoad is the encoding of a dispatch.PoolLoad.
type PoolLoad struct {
	Service string
	// Rate is in thousandths of a core-second a second.
	Rate int64
	// DurationPermille is the ratio of durations, in thousandths.
	DurationPermille int64
	// StandingWait is in milliseconds.
	StandingWait int64
	Waiting      []WaitingDemand
	Backlog      []BacklogBand
	Queues       []QueueLoad
}

// AdmissionView is the encoding of a dispatch.AdmissionView. It is sent to entries.
type AdmissionView struct {
	// Age is the time since the view was made, in milliseconds. It is negative if there is
	// none.
	Age   int64
	Pools []PoolLoad
}
