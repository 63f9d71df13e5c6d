package table

// SettlementEvent is the result of a step of a settlement.
type SettlementEvent uint8

const (
	// CommitNotSent means that the transaction was not sent.
	CommitNotSent SettlementEvent = iota
	// CommitLost means that the transaction may have been sent, and that no
	// answer will arrive. It may take effect at any later time.
	CommitLost
	// CommitApplied means that the service answered that it took effect.
	CommitApplied
	// CommitRefused means that conditions failed that may hold later.
	CommitRefused
	// CommitRefusedPermanently means that a condition failed that can't hold later.
	CommitRefusedPermanently
	// FenceFailed means that the fence has not been answered.
	FenceFailed
	// FenceApplied means that the service answered the fence.
	FenceApplied
	// ReadFailed means that the fence row could not be read.
	ReadFailed
	// FenceRowFound means that the fence row exists.
	FenceRowFound
	// FenceRowAbsent means that the fence row does not exist.
	FenceRowAbsent
	// DeadlinePassed means that the deadline of the call has passed.
	DeadlinePassed
)

// SettlementAction is the next action of the client.
type SettlementAction uint8

const (
	// SendCommit sends the transaction, with the same id in every attempt.
	SendCommit SettlementAction = iota
	// SendFence sends the fence of the transaction.
	SendFence
	// ReadFenceRow reads the row that the fence writes.
	ReadFenceRow
	// ReportApplied reports that the transaction took effect.
	ReportApplied
	// ReportRefused reports that it did not take effect and never will.
	ReportRefused
	// ReportFenced is ReportRefused with a fence row that is to be deleted.
	ReportFenced
	// ReportUnavailable reports that nothing was sent.
	ReportUnavailable
	// ReportUnsettled reports that the effect is not known.
	ReportUnsettled
)

// IsReport reports whether the action ends the settlement.
func (a SettlementAction) IsReport() bool { return a >= ReportApplied }

// Settlement determines the outcome of one transaction. It is a state machine
// without I/O: the client executes each action and passes in the resulting event.
//
// A retry with the same id is safe, because the service applies an id once. A
// refusal after a lost answer is not final: the earlier request may still be in
// the network and may be applied later, when its conditions hold. If the failed
// conditions can hold again, the client sends a fence: a transaction with the
// same id and without conditions that writes only a row of its own. The service
// applies whichever of the two arrives first and ignores the other. The fence
// row then shows which one was applied.
//
// The zero value is the initial state. If a settlement ended with
// ReportUnsettled and the caller repeats the transaction, it must resume from
// its last state: the initial state does not record that a request of an earlier
// call may still take effect, or that a fence may have used the id.
type Settlement struct {
	// uncertain reports that a request was lost and may still take effect.
	uncertain bool
	// fencing reports that a fence may have been sent, so that an answer for
	// the id no longer shows whether the transaction itself took effect.
	fencing bool
}

// Start returns the first action.
func (s Settlement) Start() SettlementAction {
	if s.fencing {
		return SendFence
	}
	return SendCommit
}

// Next returns the state and the action that follow an event.
func (s Settlement) Next(event SettlementEvent) (Settlement, SettlementAction) {
	switch event {
	case CommitLost:
		s.uncertain = true
		return s, SendCommit
	case CommitApplied:
		return s, ReportApplied
	case CommitRefused:
		return s.afterRefusal()
	case CommitRefusedPermanently:
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

func (s Settlement) afterRefusal() (Settlement, SettlementAction) {
	if !s.uncertain {
		return s, ReportRefused
	}
	s.fencing = true
	return s, SendFence
}

func (s Settlement) atDeadline() SettlementAction {
	if s.uncertain {
		return ReportUnsettled
	}
	return ReportUnavailable
}

// IsPermanentRefusal reports whether a refused transaction can never take effect.
// A version of a row is never used twice, so a condition on an earlier version
// can't hold again; a condition on absence can.
func IsPermanentRefusal(txn Transaction, outcome Outcome) bool {
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
