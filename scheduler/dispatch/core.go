package dispatch

import (
	"math"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/interference"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Config holds the limits that a Core's decisions depend on.
type Config struct {
	// Epoch fences the orders of this holder.
	Epoch carobkeel.Epoch
	// WorkerLease is the duration of a worker's lease, counted from the
	// sidecar's ping.
	WorkerLease time.Duration
	// MaxLease is the longest lease that a worker accepts, from whatever call.
	MaxLease time.Duration
	// InheritedLease bounds how long, from now on, runs that earlier holders may
	// have started can continue on unreachable workers.
	InheritedLease time.Duration
	// Policy switches the decisions that a deployment asks for.
	Policy Policy
}

// clockDrift bounds how much slower than this process's clock a worker's clock
// may run: 2%.
const clockDrift = 0.02

// expirySlack covers the time between the expiry of a lease and the end of the
// runs that the expiry kills.
const expirySlack = 150 * time.Millisecond

// maxLeaseDuration returns the time after which a lease of duration d has
// certainly expired, and its runs have ended.
func maxLeaseDuration(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDrift) + expirySlack
}

// Now is the time of an event.
type Now struct {
	// Monotonic is the monotonic time. It also advances while the host is
	// suspended.
	Monotonic time.Duration
	// Held is the last monotonic time at which this holder certainly held the shard,
	// so that no later holder had extended a lease, and up to which the core knows all
	// pings of sidecars that were answered.
	Held time.Duration
	// Wall is the time of day.
	Wall time.Time
}

// OrderKind is the action that an order requests.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
	OrderAcknowledge
)

var orderNames = [...]string{"start", "stop", "pace", "acknowledge"}

// String returns the name of the kind.
func (k OrderKind) String() string {
	if int(k) >= len(orderNames) {
		return "unknown"
	}
	return orderNames[k]
}

// Order is an order for the worker of one host.
type Order struct {
	Host        string
	Incarnation runs.Incarnation
	// Link is the link on which the order was decided. It must not be sent on another
	// one, whose reports the decision did not know.
	Link LinkID
	Kind OrderKind
	// Task and Run name the run that the order is for. OrderAcknowledge does
	// not use them.
	Task carobkeel.TaskName
	Run  int
	// Payload, Checkpoint and Ticket are set for OrderStart only.
	Payload, Checkpoint, Ticket string
	// Ping is the number of the sidecar's last ping when the start was decided. The
	// sidecar does not send the start later than one worker lease after that ping.
	Ping uint64
	// Percent is the pace that OrderPace sets.
	Percent int
	// Acknowledged is used by OrderAcknowledge: the incarnation is recorded, and the effects of
	// all ends up to this number are stored. It is zero where there are none yet.
	Acknowledged uint64
}

// Core is the scheduling state of a shard.
type Core struct {
	config Config
	now    Now
	// inheritedExpiry is the time from which no run of the previous holder can
	// still be running on a worker that has not reported to this one.
	inheritedExpiry time.Duration
	queues          *carobkeel.QueueConfig
	// queueByName indexes the queues of the current configuration.
	queueByName map[carobkeel.QueueName]*carobkeel.Queue
	jobs        map[carobkeel.JobID]*job
	workers     map[string]*workerState
	// unreportedWorkers holds the worker incarnations that the previous holder
	// used, and that have not yet listed their runs to this holder.
	unreportedWorkers map[runs.Incarnation]unreportedWorker
	// partlyListed holds the hosts whose workers may have runs of an earlier holder that
	// they have not listed yet, although they have listed others, and how long they have to
	// list them.
	partlyListed map[string]time.Duration
	// lateStarts holds the tasks that workers which don't answer may run by late starts.
	lateStarts map[carobkeel.TaskName]lateStart
	// recordedIncarnations maps the worker incarnations that have a record in the
	// store to their hosts.
	recordedIncarnations map[runs.Incarnation]string
	// footprint is the sum of the jobs' footprints.
	footprint int64
	// active lists the jobs that have not ended, in the order of acceptance.
	active []*job
	// ended lists the jobs that have ended, in the order of their end.
	ended                []*job
	orders               []Order
	decisions            []Decision
	views                []StateChange
	dirty                map[carobkeel.JobID]*job
	workersToRecord      []WorkerRecord
	incarnationsToForget []runs.Incarnation
	// recordsToEnd are those of incarnations that are to be rewritten as ended.
	recordsToEnd []WorkerRecord
	// recordedWorkers are the orders that tell sidecars of new records.
	recordedWorkers []Order
	// endedWorkers are the incarnations whose records are kept after their runs have ended.
	endedWorkers map[runs.Incarnation]endedWorker
	wake         time.Duration
	// confirmHold reports that Now.Held is too old to take a lease as expired.
	confirmHold bool
	// adviceStep is the step of the outstanding advice question, nil if there
	// is none. adviceQuestion is the question that has not been sent yet.
	adviceStep     *stepState
	adviceQuestion *AdviceQuestion
	// workerChanges counts the changes of workers that may allow a task to
	// start.
	workerChanges uint64
	interference  *interference.Model
	// refusalRound is the last round of starts that were refused or not answered.
	refusalRound refusalRound
	// localityRule decides how long a task waits for near room at most, and durations has what is
	// known of the durations of completed runs, by queue.
	localityRule func(localityInputs) time.Duration
	durations    map[carobkeel.QueueName]durationRatios
	// contention is the share of the last steps for each rack that found no room there.
	contention map[string]float64
	// queueWork is the work of the jobs of each queue.
	queueWork map[carobkeel.QueueName]queueWork
	// overload is the load of the shard, if the policy has overload control.
	overload overload
	// marks are the cancellations of unknown jobs.
	marks cancelMarks
	// waitReportedAt is when waiting tasks were last reported, and
	// heldBackReportedAt when jobs that wait for unreported workers were.
	waitReportedAt, heldBackReportedAt time.Duration
	// learnedStoredAt is when the model's records were last handed over to be
	// stored.
	learnedStoredAt time.Duration
	// begunAt is when this holder began to schedule the shard.
	begunAt time.Duration
	// estimateRatio scales the estimated work of the backlog in views for admission.
	estimateRatio estimateRatio
	// histories are the loads of the services with tasks that wait for room, as of the last view.
	histories map[carobkeel.Service]poolHistory
}

// StateChange is a change of a job's state that callers may see.
type StateChange struct {
	Job   carobkeel.JobID
	Queue carobkeel.QueueName
	State carobkeel.JobState
	// Removed reports that the records of the job have been removed.
	Removed bool
}

// New returns the core of a shard without jobs. Workers lists the worker
// incarnations that the previous holder sent orders to.
func New(config Config, now Now, workers []WorkerRecord) *Core {
	c := &Core{
		config:               config,
		now:                  now,
		inheritedExpiry:      now.Monotonic + maxLeaseDuration(config.InheritedLease),
		queues:               &carobkeel.QueueConfig{},
		jobs:                 make(map[carobkeel.JobID]*job),
		workers:              make(map[string]*workerState),
		unreportedWorkers:    make(map[runs.Incarnation]unreportedWorker),
		endedWorkers:         make(map[runs.Incarnation]endedWorker),
		lateStarts:           make(map[carobkeel.TaskName]lateStart),
		partlyListed:         make(map[string]time.Duration),
		recordedIncarnations: make(map[runs.Incarnation]string),
		dirty:                make(map[carobkeel.JobID]*job),
		interference:         interference.New(),
		localityRule:         waitThatPays,
		durations:            make(map[carobkeel.QueueName]durationRatios),
		contention:           make(map[string]float64),
		begunAt:              now.Monotonic,
		queueWork:            make(map[carobkeel.QueueName]queueWork),
	}
	for _, w := range workers {
		c.worker(w.Host).hadOtherProcess = true // it may have had one under an earlier holder
		if w.Ended {
			c.keepEnded(w.Incarnation, w.Host)
			continue
		}
		u := unreportedWorker{host: w.Host, goneFrom: math.MaxInt64}
		if w.LateLease {
			u.lateExpiry = now.Monotonic + maxLeaseDuration(config.MaxLease)
		}
		c.unreportedWorkers[w.Incarnation] = u
		c.recordedIncarnations[w.Incarnation] = w.Host
	}
	return c
}

// SetQueues applies a version of the operator's configuration. Versions older
// than the current one are ignored.
func (c *Core) SetQueues(queues *carobkeel.QueueConfig) {
	if queues.Version < c.queues.Version {
		return
	}
	c.queues = queues
	c.queueByName = make(map[carobkeel.QueueName]*carobkeel.Queue, len(queues.Queues))
	for i := range queues.Queues {
		c.queueByName[queues.Queues[i].Name] = &queues.Queues[i]
	}
	for _, w := range c.workers {
		c.markChanged(w)
	}
}

// queueOf returns the current settings of a job's queue. If the queue has been removed, or
// the job was accepted by a newer configuration than the core has, it returns the
// settings from the job's acceptance.
func (c *Core) queueOf(j *job) *carobkeel.Queue {
	q := c.queueByName[j.spec.Queue.Name]
	if q == nil || c.queues.Version < j.spec.ConfigVersion {
		return &j.spec.Queue
	}
	return q
}

// Advance sets the time and handles leases that have expired by then.
func (c *Core) Advance(now Now) {
	c.now = now
	c.expireLeases()
	c.expireInherited()
	c.expireLateStarts()
	c.forgetOldEnded()
}

// Output holds the actions to carry out after a batch of events.
type Output struct {
	Orders []Order
	// RecordedWorkers tell sidecars that the incarnations of their workers are recorded. They are
	// orders that acknowledge what has been acknowledged before.
	RecordedWorkers []Order

	Decisions []Decision
	// StateChanges are the states that callers may see from now on.
	StateChanges []StateChange
	// AdviceQuestion is for the advice service, nil if there is none.
	AdviceQuestion *AdviceQuestion
	// Wake is when Advance must be called next at the latest, zero if it need
	// not be.
	Wake time.Duration
	// ConfirmHold requests a call of Advance with a newer Now.Held.
	ConfirmHold bool
}

// Finish makes the decisions that follow from the events since the last call,
// and returns the actions to carry out.
func (c *Core) Finish() Output {
	c.wake, c.confirmHold = 0, false
	c.moveSlowRuns()
	c.schedule()
	c.controlInterference()
	c.acknowledgeEnds()
	c.scheduleWake()
	out := Output{
		Orders: c.orders, RecordedWorkers: c.recordedWorkers, Decisions: c.decisions, StateChanges: c.TakeStateChanges(),
		AdviceQuestion: c.adviceQuestion, Wake: c.wake, ConfirmHold: c.confirmHold,
	}
	c.orders, c.recordedWorkers, c.decisions, c.adviceQuestion = nil, nil, nil, nil
	return out
}

// TakeStateChanges returns the state changes since the last call of Finish, which returns only
// later ones.
func (c *Core) TakeStateChanges() []StateChange {
	views := c.views
	c.views = nil
	return views
}

// wakeAt requests a call of Advance at t or earlier.
func (c *Core) wakeAt(t time.Duration) {
	if c.wake == 0 || t < c.wake {
		c.wake = t
	}
}

func (c *Core) scheduleWake() {
	for _, w := range c.workers {
		if _, partly := c.partlyListed[w.host]; !w.reachable && (partly || len(w.runs) > 0) {
			c.awaitExpiry(w.expiry())
		}
		if w.unresponsive && w.follows && c.mayHaveInheritedRuns(w) {
			c.awaitExpiry(c.inheritedExpiryOn(w))
		}
		if w.recordedLate && w.hasListed {
			c.awaitExpiry(w.lateExpiry)
		}
	}
	for incarnation, u := range c.unreportedWorkers {
		c.awaitExpiry(c.expiryOf(incarnation, u))
	}
	for _, e := range c.endedWorkers {
		c.wakeAt(e.keptUntil)
	}
	for _, s := range c.lateStarts {
		c.wakeAt(s.until)
	}
	for _, j := range c.dirty {
		if j.storeBy > c.now.Monotonic {
			c.wakeAt(j.storeBy)
		}
	}
	c.wakeForMarks()
	if len(c.ended) > 0 {
		c.wakeAt(max(c.ended[0].endedAt+retention, c.now.Monotonic+expireInterval))
	}
}

// awaitExpiry requests what is needed to take a lease as expired from t on.
func (c *Core) awaitExpiry(t time.Duration) {
	switch {
	case c.now.Monotonic < t:
		c.wakeAt(t)
	case c.now.Held < t:
		c.confirmHold = true
	}
}

// LimitInheritedLease records that leases that earlier holders extended can run for
// at most d from now on, because these holders have ended or stepped down.
func (c *Core) LimitInheritedLease(d time.Duration) {
	c.inheritedExpiry = min(c.inheritedExpiry, c.now.Monotonic+maxLeaseDuration(d))
	c.recordDecision(Decision{Kind: DecidedPredecessorEnded, Waited: c.inheritedExpiry - c.now.Monotonic})
}

func (c *Core) expireInherited() {
	for incarnation, u := range c.unreportedWorkers {
		if c.now.Held < c.expiryOf(incarnation, u) {
			continue
		}
		c.recordDecision(Decision{Kind: DecidedInheritedLeaseExpired, Host: u.host, Detail: c.describeInherited(incarnation, u.host)})
		c.endUnreported(incarnation, u.host)
	}
}

// expiryOf returns the time from which no run of an unreported worker can go on: its last lease
// has expired, whichever holder let it be extended, or it is gone.
func (c *Core) expiryOf(incarnation runs.Incarnation, u unreportedWorker) time.Duration {
	return min(u.goneFrom, max(c.inheritedExpiry, u.lateExpiry, c.extendedUntil(incarnation, u.host)))
}

// extendedUntil returns when the lease has expired that this holder has let a host's sidecar
// extend for an incarnation that has not listed. It is zero if another one has listed there.
func (c *Core) extendedUntil(incarnation runs.Incarnation, host string) time.Duration {
	w := c.workers[host]
	switch {
	case w == nil:
		return 0
	case !w.hasListed:
		return w.expiry()
	case w.candidate != nil && w.candidate.Incarnation == incarnation:
		return w.expiry()
	}
	return 0
}
