// Package holder runs the scheduler of a shard. Every entry has a Node. One of
// them holds the shard, by a row in the table service whose epoch fences its
// orders and its writes. The others monitor the holder, take over when it
// fails, and forward queries to it.
package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/mailbox"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

// Tables of a shard. In each of them, the shard is the part.
const (
	TableHolders      = "holders"
	TableJobs         = "jobs"
	TableProgress     = "progress"
	TableWorkers      = "workers"
	TableInterference = "learned"
	TableAuthority    = "authority"
)

// holderKey is the key of the row that names the holder.
const holderKey = "holder"

// epochKey is the key of the row in the jobs table that is written together
// with the holder row. Job IDs do not begin with a dash.
const epochKey = "-epoch"

// interferenceKey is the key of the row with the interference model of images.
const interferenceKey = "images"

// CancelSuffix marks the row of a cancellation. The rest of its key is the
// job's ID.
const CancelSuffix = ".cancel"

// Config holds the settings of a node.
type Config struct {
	Host        string
	Incarnation carobkeel.Incarnation
	// Address is where other processes dial this node's links.
	Address string
	// Shard is the part of the tables that the node schedules.
	Shard string
	// WorkerLease is the duration of a worker's lease, counted from a ping.
	WorkerLease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// RowBytes bounds the value of a row. Zero means defaultRowBytes.
	RowBytes int
	// Capacity ranks this host among those that may take over.
	Capacity Capacity
	// Advisor is asked which workers may run the steps of queues that need
	// advice. Without it, these steps do not start.
	Advisor Advisor
	// MemoryBytes is the memory of this process, zero if it is not known.
	MemoryBytes int64
	// Policy switches the scheduling decisions that the deployment asks for.
	Policy dispatch.Policy
}

// defaultRowBytes bounds the value of a row where the settings have no bound.
const defaultRowBytes = 64 << 10

// valueBytes returns the size up to which rows are filled. It keeps a fourth free, so that
// a bound on the encoded text, which is a third longer, is kept too.
func (c *Config) valueBytes() int {
	limit := c.RowBytes
	if limit == 0 {
		limit = defaultRowBytes
	}
	return limit - limit/4
}

// HolderState is this process's knowledge of who holds the shard.
type HolderState struct {
	Row     wire.HolderRow
	Version table.Version
	// Since is when this process learned of the row.
	Since time.Duration
	// Leading reports that this process holds the shard and sends orders.
	Leading bool
	// Unreadable reports that the row names no holder. Row then has the last known
	// epoch only.
	Unreadable bool
}

// event changes the state of the node's event loop.
type event func(*loop)

// Node is the scheduling part of an entry. Create it with New, then call Run.
type Node struct {
	config  Config
	rows    table.Rows
	log     *log.Logger
	metrics *Metrics
	events  *mailbox.Mailbox[event]

	// Snapshots that are read on the path of a request.
	holderState  atomic.Pointer[HolderState]
	queues       atomic.Pointer[carobkeel.QueueConfig]
	waiting      atomic.Pointer[map[carobkeel.QueueName]int]
	linkToHolder atomic.Pointer[holderLink]
	// ownView is the newest view of the shard's load while this node is the holder, nil while
	// it knows too little.
	ownView atomic.Pointer[admissionView]
	// states maps the ID of each job to its state while this node is the
	// holder.
	states sync.Map

	// storeAnswered is when the table service last answered, and storeFailed
	// when a request to it last failed.
	storeAnswered, storeFailed atomic.Int64
	// holderRefuses reports that the holder's address refuses connections.
	holderRefuses atomic.Bool
	// takingOver reports that an attempt to take over is in progress.
	takingOver atomic.Bool
	resigned   atomic.Bool
	sidecars   sync.Map
	// lastProcesses maps each host to the hostProcess that was linked last.
	lastProcesses sync.Map
	// holdRead is when the last read was requested that showed that this node holds the
	// shard.
	holdRead atomic.Int64
	// decidedAt is when the event loop last ended a step.
	decidedAt atomic.Int64
	// jobBytes is the footprint of the jobs of the shard, as of the event loop's last step.
	jobBytes atomic.Int64
	// promisedUntil is when this node lets no lease be extended any more by the promise that is
	// stored, zero if it has made none.
	promisedUntil atomic.Int64
	// acceptedLinks is the number of links that other processes have opened.
	acceptedLinks atomic.Uint64
}

// New returns a node that does not hold the shard.
func New(config Config, rows table.Rows, metrics *Metrics, logger *log.Logger) *Node {
	n := &Node{
		config:  config,
		metrics: metrics,
		log:     logger,
		events:  mailbox.New[event](),
	}
	n.rows = &trackedRows{rows: rows, node: n}
	n.queues.Store(&carobkeel.QueueConfig{})
	n.waiting.Store(&map[carobkeel.QueueName]int{})
	return n
}

// Rows returns the table service as this node uses it: what it answers there counts for
// StoreAge.
func (n *Node) Rows() table.Rows { return n.rows }

// Run takes part in the election and in scheduling until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.followHolder(ctx)
	go n.keepHolderLink(ctx)
	newLoop(n).run(ctx)
}

// SetQueues applies a version of the operator's configuration. Versions that
// are not newer than the current one are ignored.
func (n *Node) SetQueues(queues *carobkeel.QueueConfig) {
	for {
		old := n.queues.Load()
		if queues.Version <= old.Version {
			return
		}
		if n.queues.CompareAndSwap(old, queues) {
			break
		}
	}
	n.events.Push(func(l *loop) {
		if l.core != nil {
			l.core.SetQueues(queues)
		}
	})
}

// Queues returns the current configuration. Its version is zero until the first
// one is set.
func (n *Node) Queues() *carobkeel.QueueConfig { return n.queues.Load() }

// Leading reports whether this node holds the shard.
func (n *Node) Leading() bool {
	s := n.holderState.Load()
	return s != nil && s.Leading
}

// StoreAge returns how long ago the table service last answered.
func (n *Node) StoreAge() time.Duration {
	return clock.Boottime() - time.Duration(n.storeAnswered.Load())
}

// minStoreLead is how much later than this node the holder must have heard of the table service
// for the service to be taken as reachable. Each of them hears of it every second.
const minStoreLead = 1200 * time.Millisecond

// LostStoreAlone reports that the holder has heard of the table service later than this node, or
// that the holder isn't reached either. It is false if nothing tells that others fare better.
func (n *Node) LostStoreAlone() bool {
	if n.Leading() {
		return false
	}
	h := n.linkToHolder.Load()
	if h == nil {
		return true
	}
	sincePong := clock.Boottime() - time.Duration(h.lastPong.Load())
	holderAge := time.Duration(h.storeAge.Load())*time.Millisecond + sincePong
	return sincePong > linkSilenceTimeout || n.StoreAge()-holderAge > minStoreLead
}

// Resign makes this node step down, and keeps it from taking over again.
func (n *Node) Resign() {
	n.resigned.Store(true)
	n.events.Push(func(l *loop) {
		if l.core != nil {
			l.stepDown("process is shutting down")
		}
		if n.takingOver.Load() {
			l.endTakeover()
		}
	})
}

// trackedRows records when the table service answers and when it fails.
type trackedRows struct {
	rows table.Rows
	node *Node
}

func (t *trackedRows) recordAnswer(err error) {
	now := int64(clock.Boottime())
	if err == nil || errors.Is(err, table.ErrHistoryLost) {
		t.node.storeAnswered.Store(now)
		return
	}
	t.node.storeFailed.Store(now)
}

func (t *trackedRows) Get(ctx context.Context, id table.RowID) (table.VersionedRow, bool, error) {
	row, ok, err := t.rows.Get(ctx, id)
	t.recordAnswer(err)
	return row, ok, err
}

func (t *trackedRows) Scan(ctx context.Context, tableName, part, from string) (table.RowScan, error) {
	scan, err := t.rows.Scan(ctx, tableName, part, from)
	t.recordAnswer(err)
	return scan, err
}

func (t *trackedRows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	outcome, err := t.rows.Transact(ctx, txn)
	t.recordAnswer(err)
	return outcome, err
}

func (t *trackedRows) Follow(ctx context.Context, tableName string, after table.Version, wait time.Duration) (table.RowChanges, error) {
	changes, err := t.rows.Follow(ctx, tableName, after, wait)
	t.recordAnswer(err)
	return changes, err
}
