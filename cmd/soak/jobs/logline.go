package jobs

import (
	"strings"
	"time"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// orderMessage is the message of a sidecar's line on an order that it has carried out.
const orderMessage = "order"

// logLine is what is read of a line of a log.
type logLine struct {
	Time    time.Time             `json:"time"`
	Part    string                `json:"part"`
	Message dispatch.DecisionKind `json:"message"`
	Detail  string                `json:"detail"`
	Job     string                `json:"job"`
	Task    string                `json:"task"`
	Run     int                   `json:"run"`
	Host    string                `json:"host"`
	Epoch   uint64                `json:"epoch"`
	// Order and Result are those of a sidecar's order.
	Order  string `json:"order"`
	Result string `json:"result"`
	// Worker and WorkerStarted name an incarnation, which numbers its ends.
	Worker        string `json:"worker"`
	WorkerStarted int64  `json:"worker_started"`
	Listing       uint64 `json:"listing"`
	End           uint64 `json:"end"`
	Revision      uint64 `json:"revision"`
	Late          bool   `json:"late"`
}

// isAboutHost reports whether the line is a decision about a host's worker that bears on the
// runs there.
func (l *logLine) isAboutHost() bool {
	switch l.Message {
	case dispatch.DecidedEndsAcknowledged, dispatch.DecidedEndsMissed, dispatch.DecidedInheritedWorkerListed,
		dispatch.DecidedInheritedLeaseExpired, dispatch.DecidedLateLease, dispatch.DecidedLateLeaseRuledOut,
		dispatch.DecidedLateStart,
		dispatch.DecidedLeaseExpired, dispatch.DecidedLinkLost,
		dispatch.DecidedOtherIncarnation, dispatch.DecidedWorkerRestarted, dispatch.DecidedWorkerShutDown,
		dispatch.DecidedWorkerUnreachable:
		return l.Host != ""
	}
	return false
}

// isAboutHolder reports whether the line is about a change of the holder.
func (l *logLine) isAboutHolder() bool {
	switch l.Message {
	case "taking over", "shard taken over", "stepped down as holder of the shard", dispatch.DecidedPredecessorEnded:
		return true
	}
	return false
}

// isAcknowledgement reports whether the line is about the acknowledgement of ends.
func (l *logLine) isAcknowledgement() bool { return l.Message == dispatch.DecidedEndsAcknowledged }

// covers reports whether a line on stored progress or an acknowledgement covers the end in
// another line.
func (l *logLine) covers(end *logLine) bool {
	switch l.Message {
	case dispatch.DecidedProgressStored:
		return strings.HasPrefix(end.Task, l.Job+".") && l.Epoch == end.Epoch && l.Revision >= end.Revision
	case dispatch.DecidedEndsAcknowledged:
		sameWorker := l.Host == end.Host && l.Worker == end.Worker && l.WorkerStarted == end.WorkerStarted
		return sameWorker && l.Epoch == end.Epoch && l.End >= end.End
	}
	return false
}
