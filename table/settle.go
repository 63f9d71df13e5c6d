package table

// SettleEvent is what became of a step of a settlement.
type SettleEvent uint8

const (
	// CommitNotSent says that the transaction did not leave the process.
	CommitNotSent SettleEvent = iota
	// CommitLost says that the transaction may have been sent and that its
	// answer will not come. It may take effect at any later time.
	CommitLost
	// CommitApplied says that the service answered that it took effect.
	CommitApplied
	// CommitRefused says that conditions failed that may hold later.
	CommitRefused
	// CommitRefusedForGood says that a condition failed that can't hold later.
	CommitRefusedForGood
	// FenceFailed says that the fence has no answer yet.
	FenceFailed
	// FenceApplied says that the service answered the fence.
	FenceApplied
	// ReadFailed says that the fence row could not be read.
	ReadFailed
	// FenceRowFound says that the fence row is there.
	FenceRowFound
	// FenceRowAbsent says that the fence row is not there.
	FenceRowAbsent
	// DeadlinePassed says that no time is left.
	DeadlinePassed
)

// SettleAction is what the client does next.
type SettleAction uint8

const (
	// SendCommit sends the transaction, with its own id every time.
	SendCommit SettleAction = iota
	// SendFence sends the fence of the transaction.
	SendFence
	// ReadFenceRow reads the row that the fence writes.
	ReadFenceRow
	// ReportApplied tells the caller that the transaction took effect.
	ReportApplied
	// ReportRefused tells the caller that it did not and never will.
	ReportRefused
	// ReportFenced is ReportRefused where a fence row is left to be deleted.
	ReportFenced
	// ReportUnavailable tells the caller that nothing was sent.
	ReportUnavailable
	// ReportUnsettled tells the caller that the effect is not known.
	ReportUnsettled
)

// IsReport says whether the action ends the settlement.
func (a SettleAction) IsReport() bool { return a >= ReportApplied }

// Settlement finds out what became of one transaction. It is a state machine
// without I/O: the client carries out an action and tells the event.
//
// A repeat with the same id is safe, because the service applies an id once. A
// refusal after a lost answer is not the end: the lost request may still be on
// its way and find its conditions met later. Where the failed conditions can
// hold again, the client sends a fence: a transaction with the same id, without
// conditions, that writes only a row of its own. Whichever of the two arrives
// first uses up the id. The fence row then tells which one it was.
//
// The zero value is a settlement that begins. One that ended with
// ReportUnsettled goes on from the state that it ended in when the caller
// repeats the transaction: a new one would not know that a request of an
// earlier call may still take effect, or that a fence may have used up the id.
type Settlement struct {
	// uncertain says that a request was lost and may take effect.
	uncertain bool
	// fencing says that a fence may have been sent, so that an answer to the
	// id no longer tells whether the transaction itself took effect.
	fencing bool
}

// Start returns the first action.
func (s Settlement) Start() SettleAction {
	if s.fencing {
		return SendFence
	}
	return SendCommit
}

// Next returns the state and the action that follow an event.
func (s Settlement) Next(event SettleEvent) (Settlement, SettleAction) {
	switch event {
	case CommitLost:
		s.uncertain = true
		return s, SendCommit
	case CommitApplied:
		return s, ReportApplied
	case CommitRefused:
		return s.afterRefusal()
	case CommitRefusedForGood:
		return s, ReportRefused
	case FenceFailed:
		return s, SendFence
	case FenceApplied, ReadFailed:
		return s, ReadFenceRow
	case FenceRowFound:
		return s, ReportFenced
	case FenceRowAbsent:
		return s, ReportApplied
	case DeadlinePassed:
		return s, s.atDeadline()
	}
	return s, SendCommit
}

func (s Settlement) afterRefusal() (Settlement, SettleAction) {
	if !s.uncertain {
		return s, ReportRefused
	}
	s.fencing = true
	return s, SendFence
}

func (s Settlement) atDeadline() SettleAction {
	if s.uncertain {
		return ReportUnsettled
	}
	return ReportUnavailable
}

// IsRefusedForGood says whether a refused transaction can never take effect. A
// row's version is never used twice, so a condition on a version that the row
// has left can't hold again; one on absence can.
func IsRefusedForGood(txn Transaction, outcome Outcome) bool {
	conflicts := make(map[string]bool, len(outcome.Conflicts))
	for _, row := range outcome.Conflicts {
		conflicts[row.Key] = true
	}
	for _, condition := range txn.Conditions {
		if condition.Version != 0 && conflicts[condition.Key] {
			return true
		}
	}
	return false
}
