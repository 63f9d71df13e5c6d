package scheduler

import (
	"sort"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// Commands returns the commands to send to a worker now. They depend only on the
// holder's state and the worker's last report, so a command whose answer was
// lost is issued again until a report shows its effect. No grant ends after
// grantsEnd.
//
// The result is empty for a worker without a recent report, because a grant is
// computed from the timestamp of a report.
func (s *Shard) Commands(now Instant, id worker.ID, grantsEnd Instant) []Command {
	v, ok := s.workers[id]
	if !ok || !s.isFresh(now, v) || s.superseded {
		return nil
	}
	length := min(s.timing.Grant, grantsEnd.Sub(v.reportedAt))
	b := commandBuilder{shard: s, view: v, workerUntil: v.stamp.Add(length), holderUntil: v.reportedAt.Add(s.timing.WithDrift(length))}
	b.mayGrant = grantsEnd.Sub(now) > 0 && v.reportedAt.Add(length) > now
	if !v.epochConfirmed {
		b.add(Command{Kind: CommandClaim})
		return b.commands
	}
	for _, taskID := range sortedTasks(v.tasks) {
		b.addTask(v.tasks[taskID])
	}
	for _, ref := range v.orphans {
		b.add(Command{Kind: CommandStop, Ref: ref})
	}
	for _, ref := range v.ended {
		if t, ok := s.tasks[ref.Task]; !ok || t.isEndDurable(ref.Run) {
			b.add(Command{Kind: CommandForget, Ref: ref})
		}
	}
	return b.commands
}

// isFresh reports whether the worker's last report is recent enough: at least
// half of a grant that starts at its timestamp remains.
func (s *Shard) isFresh(now Instant, v *workerView) bool {
	return v.hasReported && now.Sub(v.reportedAt) < s.timing.Grant/2
}

// commandBuilder collects the commands of one message.
type commandBuilder struct {
	shard *Shard
	view  *workerView
	// workerUntil is the end of the grants by the worker's clock. holderUntil is
	// a time by the holder's clock at which they have certainly ended.
	workerUntil, holderUntil Instant
	mayGrant                 bool
	commands                 []Command
}

func (b *commandBuilder) addTask(t *task) {
	if t.stopping {
		b.add(Command{Kind: CommandStop, Ref: t.Ref()})
		return
	}
	if !b.mayGrant {
		return
	}
	if !t.reported {
		if t.isClaimDurable() && !t.inherited {
			b.addGrant(t, Command{
				Kind: CommandStart, Entry: t.Entry, Demand: t.Demand, Class: t.Class, Checkpoint: t.Checkpoint,
			})
		}
		return
	}
	b.addGrant(t, Command{Kind: CommandRenew})
	if t.reportedPace != t.pacePercent {
		b.add(Command{Kind: CommandThrottle, Ref: t.Ref(), PacePercent: t.pacePercent})
	}
	if t.State == StateCheckpointing && t.reportedCheckpoint < t.wantedCheckpoint() {
		b.add(Command{Kind: CommandCheckpoint, Ref: t.Ref(), CheckpointSequence: t.wantedCheckpoint()})
	}
}

// addGrant adds a command that grants a run until workerUntil.
func (b *commandBuilder) addGrant(t *task, c Command) {
	c.Ref, c.GrantUntil = t.Ref(), b.workerUntil
	t.grantedUntil = max(t.grantedUntil, b.holderUntil)
	b.add(c)
}

func (b *commandBuilder) add(c Command) {
	b.shard.sequence++
	c.ID = CommandID{Epoch: b.shard.epoch, Sequence: b.shard.sequence}
	c.Worker, c.Incarnation = b.view.id, b.view.incarnation
	b.commands = append(b.commands, c)
}

func sortedTasks(tasks map[carobkeel.TaskID]*task) []carobkeel.TaskID {
	ids := make([]carobkeel.TaskID, 0, len(tasks))
	for id := range tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
