package holder

import (
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// logDecisions counts and logs the decisions of a step.
func (l *loop) logDecisions(decisions []dispatch.Decision) {
	epoch := l.node.holderState.Load().Row.Epoch
	for i := range decisions {
		l.node.metrics.recordDecision(&decisions[i])
		logDecision(l.node.log, epoch, &decisions[i])
	}
}

// levels has the levels of decisions that are not logged at info. What takes a run from a
// worker without a listed end is a warning. Paces are set all the time, so that their lines
// would crowd out those of starts and ends; so would a second line for each start.
var levels = map[dispatch.DecisionKind]log.Level{
	dispatch.DecidedRunGivenUp:            log.WarnLevel,
	dispatch.DecidedGivenUpRunEnded:       log.WarnLevel,
	dispatch.DecidedWorkerRestarted:       log.WarnLevel,
	dispatch.DecidedOtherIncarnation:      log.WarnLevel,
	dispatch.DecidedWorkerUnreachable:     log.WarnLevel,
	dispatch.DecidedLeaseExpired:          log.WarnLevel,
	dispatch.DecidedInheritedLeaseExpired: log.WarnLevel,
	dispatch.DecidedEndsMissed:            log.WarnLevel,
	dispatch.DecidedLateLease:             log.WarnLevel,
	dispatch.DecidedLateStart:             log.WarnLevel,
	dispatch.DecidedStopOverdue:           log.WarnLevel,
	dispatch.DecidedPaceSet:               log.DebugLevel,
	dispatch.DecidedMoveWithheld:          log.DebugLevel,
	dispatch.DecidedCopyWithheld:          log.DebugLevel,
	dispatch.DecidedRunConfirmed:          log.DebugLevel,
}

func levelOf(kind dispatch.DecisionKind) log.Level {
	if level, listed := levels[kind]; listed {
		return level
	}
	return log.InfoLevel
}

// logDecision writes the line of a decision: its reason stands first and what it is about
// second, since readers may cut lines off. The name of a task contains that of its job.
func logDecision(logger *log.Logger, epoch uint64, d *dispatch.Decision) {
	line := logger.WithLevel(levelOf(d.Kind))
	if d.Detail != "" {
		line = line.Str("detail", d.Detail)
	}
	if d.Task.Job != "" {
		line = line.Stringer("task", d.Task)
	} else if d.Job != "" {
		line = line.Str("job", string(d.Job))
	}
	if d.Run != 0 {
		line = line.Int("run", d.Run)
	}
	if d.Host != "" {
		line = line.Str("host", d.Host)
	}
	line = line.Uint64("epoch", epoch)
	if d.Queue != "" {
		line = line.Str("queue", string(d.Queue))
	}
	if d.Waited != 0 {
		line = line.Int64("ms", d.Waited.Milliseconds())
	}
	logVersions(line, d).Msg(string(d.Kind))
}

// logVersions adds the versions of what a decision is based on.
func logVersions(line *log.Entry, d *dispatch.Decision) *log.Entry {
	if d.Incarnation.ID != "" {
		line = line.Str("worker", d.Incarnation.ID).Int64("worker_started", d.Incarnation.StartedAtMs)
	}
	if d.Listing != 0 {
		line = line.Uint64("listing", d.Listing)
	}
	if d.End != 0 {
		line = line.Uint64("end", d.End)
	}
	if d.Revision != 0 {
		line = line.Uint64("revision", d.Revision)
	}
	return line
}
