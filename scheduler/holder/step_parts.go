package holder

import (
	"github.com/carobkeel/carobkeel/internal/clock"
)

// stepPart is a part of a step of the event loop.
type stepPart int

const (
	// partEvents handles the events that have arrived.
	partEvents stepPart = iota
	// partDecisions makes the decisions that follow from them.
	partDecisions
	// partOrders hands the decisions over: orders, lines, states and views.
	partOrders
	// partRecords takes the records that are to be stored.
	partRecords
	stepParts
)

var stepPartNames = [stepParts]string{"events", "decisions", "orders", "records"}

// endPart records the time that a part of the present step has taken. The next part begins.
func (l *loop) endPart(part stepPart) {
	now := clock.Boottime()
	took := now - l.partBegan
	l.partBegan = now
	if l.core == nil {
		return
	}
	l.parts[part] = took
	l.node.metrics.stepTime[part].RecordDuration(took)
}
