package scheduler

import (
	"sort"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// Commands returns what a worker has to be told now. The list follows from the
// holder's state and the worker's last report alone, so a command whose answer
// was lost is given again until a report shows its effect. KeepUntil is the end
// of every grant that the holder may give.
//
// There is none for a worker that has not reported lately: a grant is reckoned
// from the stamp of a report.
func (s *Shard) Commands(now Instant, id worker.ID, keepUntil Instant) []Command {
	v, ok := s.workers[id]
	if !ok || !s.isFresh(now, v) || s.superseded {
		return nil
	}
	length := min(s.timing.Grant, keepUntil.Sub(v.at))
	o := orders{shard: s, view: v, until: v.stamp.Add(length), aliveUntil: v.at.Add(s.timing.WithDrift(length))}
	o.mayGrant = keepUntil.Sub(now) > 0 && v.at.Add(length) > now
	if !v.claimed {
		o.add(Command{Kind: CommandClaim})
		return o.commands
	}
	for _, taskID := range sortedTasks(v.tasks) {
		o.task(v.tasks[taskID])
	}
	for _, ref := range v.strays {
		o.add(Command{Kind: CommandStop, Ref: ref})
	}
	for _, ref := range v.ended {
		if t, ok := s.tasks[ref.Task]; !ok || t.isEndDurable(ref.Generation) {
			o.add(Command{Kind: CommandForget, Ref: ref})
		}
	}
	return o.commands
}

// isFresh reports whether the worker's last report leaves a useful part of a
// grant that is reckoned from it.
func (s *Shard) isFresh(now Instant, v *workerView) bool {
	return v.known && now.Sub(v.at) < s.timing.Grant/2
}

// orders collects the commands of one message.
type orders struct {
	shard *Shard
	view  *workerView
	// until ends the grants, by the worker's clock; aliveUntil is when they
	// have surely ended, by the holder's.
	until, aliveUntil Instant
	mayGrant          bool
	commands          []Command
}

func (o *orders) task(t *task) {
	if t.stopping {
		o.add(Command{Kind: CommandStop, Ref: t.Ref()})
		return
	}
	if !o.mayGrant {
		return
	}
	if !t.reported {
		if t.isClaimDurable() && !t.inherited {
			o.grant(t, Command{
				Kind: CommandStart, Entry: t.Entry, Demand: t.Demand, Class: t.Class, Checkpoint: t.Checkpoint,
			})
		}
		return
	}
	o.grant(t, Command{Kind: CommandRenew})
	if t.reportedPercent != t.sharePercent {
		o.add(Command{Kind: CommandThrottle, Ref: t.Ref(), SharePercent: t.sharePercent})
	}
	if t.State == StateCheckpointing && t.reportedCheckpoint < t.wantedCheckpoint() {
		o.add(Command{Kind: CommandCheckpoint, Ref: t.Ref(), CheckpointSequence: t.wantedCheckpoint()})
	}
}

// grant adds a command that lets a copy live until the end of the grant.
func (o *orders) grant(t *task, c Command) {
	c.Ref, c.Until = t.Ref(), o.until
	t.aliveUntil = max(t.aliveUntil, o.aliveUntil)
	o.add(c)
}

func (o *orders) add(c Command) {
	o.shard.sequence++
	c.ID = CommandID{Epoch: o.shard.epoch, Sequence: o.shard.sequence}
	c.Worker, c.Incarnation = o.view.id, o.view.incarnation
	o.commands = append(o.commands, c)
}

func sortedTasks(tasks map[carobkeel.TaskID]*task) []carobkeel.TaskID {
	ids := make([]carobkeel.TaskID, 0, len(tasks))
	for id := range tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
