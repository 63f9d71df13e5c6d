// Package runs defines the protocol for runs on a worker: the orders that a worker
// carries out, its listings of running and ended runs, and its description of
// itself.
//
// The package does no I/O. The client that connects to a worker implements Client.
package runs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
)

// Incarnation identifies one incarnation of a worker. A worker may restart under
// the same ID; it then has no state of earlier runs.
type Incarnation struct {
	ID string
	// StartedAtMs is when the worker started, in Unix milliseconds.
	StartedAtMs int64
}

// Description is a worker's description of itself.
type Description struct {
	Incarnation
	// Address is where the worker says that it answers, empty if it doesn't say.
	Address    string
	Service    carobkeel.Service
	DataCentre carobkeel.DataCentre
	Capacity   carobkeel.Resources
	// Labels are matched against the labels that steps require.
	Labels []string
	Rack   string
	// Draining reports whether the worker is draining: it takes no new tasks, and
	// exits after Remaining or later.
	Draining  bool
	Remaining time.Duration
	// Sequence increases with each description within one incarnation.
	Sequence uint64
}

// HasLabel reports whether the worker has the label.
func (d *Description) HasLabel(label string) bool {
	for _, l := range d.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeDone runs completed the task's work.
	OutcomeDone Outcome = iota
	// OutcomeFailed runs failed, whether the cause was the task or the worker.
	OutcomeFailed
	// OutcomeStopped runs were stopped by an order.
	OutcomeStopped
	// OutcomeExpired runs were ended when the worker's lease expired.
	OutcomeExpired
	// OutcomeGangEnded runs were ended because another member of their gang ended.
	OutcomeGangEnded
	// OutcomeGangTimeout runs were ended because the other members of their gang did
	// not start in time.
	OutcomeGangTimeout
	// OutcomeUnknown runs ended in a way that the listing does not state.
	OutcomeUnknown
)

var outcomeNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "unknown"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Running is one running run in a listing.
type Running struct {
	Task carobkeel.TaskName
	Run  int
	// Checkpoint is the latest checkpoint, empty if there is none.
	Checkpoint string
	// Percent is the progress of a task with an end, and the share of full speed at
	// which a long-running task works.
	Percent int
	// LoadMetric is the tail latency in milliseconds of a latency-critical task,
	// and the CPU usage in thousandths of a core of other tasks.
	LoadMetric int
}

// End is the end of a run. A worker lists it until it is acknowledged.
type End struct {
	// Number is the sequence number of the end within the worker's incarnation,
	// from 1.
	Number     uint64
	Task       carobkeel.TaskName
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// MaxListedEnds is how many ends a worker lists at a time. It may have more.
const MaxListedEnds = 500

// Listing is what a worker reports as running and ended at one time.
type Listing struct {
	StartedAtMs int64
	Running     []Running
	Ends        []End
	// LeftOut is the number of rows that could not be decoded.
	LeftOut int
	// Partial reports that a run that is in neither list may still run, or may have
	// ended: the worker has more ends than it lists at a time, or a row of Running
	// could not be decoded.
	Partial bool
}

// Start is an order to begin a run.
type Start struct {
	Task    carobkeel.TaskName
	Run     int
	Payload string
	// Checkpoint is the checkpoint to resume from, empty to start from the beginning.
	Checkpoint string
	// Ticket is the permit of the advice service, empty if the queue needs none.
	Ticket string
}

// Stop is an order to end a run. The worker remembers it even if the run has not
// started there, and then refuses to start it.
type Stop struct {
	Task carobkeel.TaskName
	Run  int
}

// Pace is an order to set the pace of a run, its CPU cap in percent.
type Pace struct {
	Task    carobkeel.TaskName
	Run     int
	Percent int
}

// Result is a worker's answer to an order.
type Result uint8

// Results of an order.
const (
	// ResultOK means that the order was carried out, now or earlier.
	ResultOK Result = iota
	// ResultStaleEpoch means that the worker has received a higher fence.
	ResultStaleEpoch
	// ResultOldRun means that this run, or a later one of the task, has ended or
	// was stopped on the worker.
	ResultOldRun
	// ResultLate means that the order's deadline has passed.
	ResultLate
	// ResultNoRoom means that the worker does not have enough free resources.
	ResultNoRoom
	// ResultNoTicket means that the ticket is missing or not valid.
	ResultNoTicket
	// ResultInvalid means that the worker can't decode the order.
	ResultInvalid
	// ResultUnhealthy means that the worker is unhealthy and refused the order.
	ResultUnhealthy
	// ResultOtherIncarnation means that another incarnation of the worker answered.
	ResultOtherIncarnation
	// ResultUnknown means that no answer was received: the order may have been
	// carried out, or may be carried out later.
	ResultUnknown
	// ResultDraining means that the worker is draining and takes no new tasks.
	ResultDraining
	// ResultWithdrawn means that a start was not sent because the run was stopped
	// first.
	ResultWithdrawn
	// ResultExpired means that a start was not sent because its validity had ended.
	ResultExpired
	// ResultUnconfirmed means that a start was not sent because the worker may have
	// restarted since it last listed its runs, or has no lease yet since it answers again.
	ResultUnconfirmed
)

var resultNames = [...]string{
	"ok", "stale epoch", "old run", "late", "no room", "no ticket", "invalid",
	"unhealthy", "other life", "unknown", "draining", "withdrawn", "expired", "unconfirmed",
}

// String returns the result's name.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		return "unlisted"
	}
	return resultNames[r]
}

// Answer is a worker's answer to an order. Clock is the time of the worker's clock,
// zero if the answer had none.
type Answer struct {
	Result Result
	Clock  time.Duration
}

// Envelope holds the fields that are common to all orders.
type Envelope struct {
	// Incarnation is the incarnation that the order is addressed to. A worker checks its
	// ID only, so the fence keeps calls off that were sent to an earlier incarnation. Without
	// an ID, any worker carries the order out.
	Incarnation Incarnation
	Fence       Fence
	// Deadline is the end of the worker's lease, on the worker's clock. Zero leaves
	// the lease unchanged.
	Deadline time.Duration
}

// ErrNotListening means that nothing listens at the worker's address: the worker has ended, or
// has not begun yet.
var ErrNotListening = errors.New("nothing listens at the worker's address")

// ErrNotConnected means that no connection to the worker was established in time.
var ErrNotConnected = errors.New("no connection to the worker")

// ErrBroken means that the worker's side has ended the connection before it answered: its process may
// have ended.
var ErrBroken = errors.New("connection ended by the worker")

// MayHaveEnded reports whether an error of a client means that the worker's process may have ended.
// A call that is not answered in time says nothing of that.
func MayHaveEnded(err error) bool {
	return errors.Is(err, ErrNotListening) || errors.Is(err, ErrBroken)
}

// IsUnsent reports whether an error of a client means that the call was not sent.
func IsUnsent(err error) bool {
	return errors.Is(err, ErrNotListening) || errors.Is(err, ErrNotConnected)
}

// Client sends orders to the worker on this host. An error means that no answer was
// received. It wraps ErrNotListening or ErrNotConnected where it is known that nothing was sent, and
// ErrBroken where the worker's side has ended the connection.
type Client interface {
	Start(ctx context.Context, e Envelope, order Start) (Answer, error)
	Stop(ctx context.Context, e Envelope, order Stop) (Answer, error)
	Pace(ctx context.Context, e Envelope, order Pace) (Answer, error)
	// List extends the lease, drops the ends up to acknowledged, and waits for at
	// most wait until a run ends.
	List(ctx context.Context, e Envelope, acknowledged uint64, wait time.Duration) (Listing, Answer, error)
}
