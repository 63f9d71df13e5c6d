package scheduler

// actions lists what can happen next.
func (w *world) actions(broken rules) []action {
	var list []action
	for i := range w.actors {
		list = append(list, w.schedulerActions(i, broken)...)
		list = append(list, w.storeActions(i, broken)...)
		for k := range explorerWorkers {
			list = append(list, w.linkActions(i, (i+k)%len(explorerWorkers), broken)...)
		}
	}
	if w.faults > 0 {
		for j := range explorerWorkers {
			list = append(list, action{label{"restart worker %d", [2]int{j}, 1}, channelFault, func(w *world) { w.faults--; w.restart(j) }})
		}
	}
	if w.now < explorerHorizon {
		list = append(list, action{label{format: "tick"}, channelClock, func(w *world) { w.now++ }})
	}
	return list
}

func (w *world) restart(j int) {
	old := w.agents[j]
	w.agents[j] = NewAgent(old.id, old.incarnation+1, old.capacity, old.timing)
}

func (w *world) schedulerActions(i int, broken rules) []action {
	var list []action
	a := &w.actors[i]
	if a.call != nil {
		return nil
	}
	if !a.lease.held && a.lease.pending == nil && (!a.lease.seen || a.lease.rows != w.rows) {
		list = append(list, action{label{"%d reads", [2]int{i}, 1}, channelScheduler + channel(i), func(w *world) {
			w.actors[i].lease.Observe(w.clock(i), w.rows)
			w.actors[i].dropLost()
		}})
	}
	if probe := *a.lease; probe.Next(w.clock(i)).Step != LeaseNone {
		list = append(list, action{label{"%d sends lease write", [2]int{i}, 1}, channelLease + channel(i), func(w *world) {
			a := &w.actors[i]
			a.call = &storeCall{lease: a.lease.Next(w.clock(i))}
		}})
	}
	if a.shard == nil || a.shard.superseded {
		return list
	}
	if !w.released && a.lease.pending == nil {
		list = append(list, action{label{"%d releases", [2]int{i}, 1}, channelScheduler + channel(i), func(w *world) {
			a := &w.actors[i]
			w.released = true
			write := a.lease.Release(w.clock(i))
			if broken.releaseForgets {
				write.Next.GrantsFor = 0
				a.lease.pending.Next.GrantsFor = 0
			}
			a.call, a.shard = &storeCall{lease: write}, nil
		}})
	}
	if len(a.shard.urgent) > 0 {
		list = append(list, action{label{"%d sends batch", [2]int{i}, 1}, channelScheduler + channel(i), func(w *world) {
			a := &w.actors[i]
			batch := a.shard.NextBatch(8, false)
			if broken.startBeforeDurable {
				a.shard.Committed(batch)
			}
			a.call = &storeCall{batch: batch, fence: a.lease.EpochVersion()}
		}})
	}
	if a.shard.queue.length > 0 && w.clock(i) < a.lease.LapsesAt() {
		for k := range explorerWorkers {
			// Each scheduler tries the worker with its own number first.
			j := (i + k) % len(explorerWorkers)
			id := explorerWorkers[j]
			if v, ok := a.shard.workers[id]; ok && v.claimed && a.shard.isFresh(w.clock(i), v) {
				list = append(list, action{label{"%d places on %d", [2]int{i, j}, 2}, channelScheduler + channel(i), func(w *world) {
					shard := w.actors[i].shard
					for _, job := range shard.Waiting(1) {
						if shard.Place(w.clock(i), job.ID, id, "") != nil {
							shard.Defer(job.ID)
						}
					}
				}})
			}
		}
	}
	return list
}

func (a *actor) dropLost() {
	if !a.lease.IsHeld() {
		a.shard = nil
	}
}

func (w *world) storeActions(i int, broken rules) []action {
	a := &w.actors[i]
	if a.call == nil {
		return nil
	}
	if !a.call.done {
		return []action{{label{"store takes write of %d", [2]int{i}, 1}, channelStore + channel(i), func(w *world) { w.takeEffect(w.actors[i].call, broken) }}}
	}
	return []action{{label{"%d gets answer", [2]int{i}, 1}, channelAnswer + channel(i), func(w *world) { w.answer(i, broken) }}}
}

func (w *world) takeEffect(call *storeCall, broken rules) {
	call.done = true
	w.version++
	switch call.lease.Step {
	case LeaseNone:
		call.applied = call.fence == w.rows.EpochVersion || broken.unfencedWrites
		if call.applied {
			for _, job := range call.batch.Jobs {
				w.job = job
			}
		}
		return
	case LeaseRenew, LeaseRelease:
		call.applied = call.lease.Rows.EpochVersion == w.rows.EpochVersion
	case LeaseAcquire:
		call.applied = call.lease.Rows.EpochVersion == w.rows.EpochVersion &&
			call.lease.Rows.RenewalVersion == w.rows.RenewalVersion
	}
	if !call.applied {
		return
	}
	if call.lease.Step != LeaseRenew {
		w.rows.Epoch, w.rows.EpochVersion = call.lease.Next, w.version
	}
	w.rows.RenewalVersion = w.version
	call.versions = w.rows
}

func (w *world) answer(i int, broken rules) {
	a := &w.actors[i]
	call := a.call
	a.call = nil
	if call.lease.Step == LeaseNone {
		if call.applied && a.shard != nil {
			a.shard.Committed(call.batch)
		} else if !call.applied {
			a.shard = nil
			a.lease.Refuse()
		}
		return
	}
	if !call.applied {
		a.lease.Refuse()
		a.shard = nil
		return
	}
	a.lease.Settle(w.clock(i), call.versions)
	if broken.countFromAnswer {
		a.lease.renewedAt = w.clock(i)
	}
	if call.lease.Step == LeaseAcquire {
		until := a.lease.InheritedUntil()
		if broken.skipInheritedWait {
			until = w.clock(i)
		}
		a.shard = NewShard("s", a.lease.Epoch(), until, explorerTiming, []Job{w.job})
	}
}

func (w *world) linkActions(i, j int, broken rules) []action {
	if w.cut && i == 1 && j == 0 {
		return nil
	}
	a := &w.actors[i]
	l := &a.links[j]
	var list []action
	if a.shard != nil && !a.shard.superseded && l.commands == nil && l.report == nil &&
		(l.sentAt != w.now || l.sent < exchangesPerTick) {
		list = append(list, action{label{"%d sends to worker %d", [2]int{i, j}, 2}, channelLink + channel(2*i+j), func(w *world) {
			a := &w.actors[i]
			a.shard.Tick(w.clock(i))
			commands := a.shard.Commands(w.clock(i), explorerWorkers[j], a.lease.KeepUntil())
			if broken.grantFromSending {
				for k := range commands {
					commands[k].Until += 2 * Instant(explorerTiming.Grant)
				}
			}
			l := &a.links[j]
			l.commands = append([]Command{}, commands...)
			if l.sentAt != w.now {
				l.sentAt, l.sent = w.now, 0
			}
			l.sent++
		}})
	}
	if l.commands != nil {
		list = append(list, action{label{"worker %d takes commands of %d", [2]int{j, i}, 2}, channelDelivery + channel(2*i+j), func(w *world) {
			l := &w.actors[i].links[j]
			l.report = w.deliver(j, l.commands, broken)
			l.commands = nil
		}})
		if w.faults > 0 && l.duplicate == nil && len(l.commands) > 0 {
			list = append(list, action{label{"network repeats commands of %d to %d", [2]int{i, j}, 2}, channelFault, func(w *world) {
				w.faults--
				l := &w.actors[i].links[j]
				l.duplicate = l.commands
			}})
		}
	}
	if l.duplicate != nil {
		list = append(list, action{label{"worker %d takes repeated commands of %d", [2]int{j, i}, 2}, channelDelivery + channel(2*i+j), func(w *world) {
			l := &w.actors[i].links[j]
			l.repeated = w.deliver(j, l.duplicate, broken)
			l.duplicate = nil
		}})
	}
	if l.report != nil {
		list = append(list, action{label{"%d gets report of worker %d", [2]int{i, j}, 2}, channelLink + channel(2*i+j), func(w *world) {
			a := &w.actors[i]
			a.report(w.clock(i), a.links[j].report)
			a.links[j].report = nil
		}})
		if w.faults > 0 {
			list = append(list, action{label{"network loses report of %d to %d", [2]int{j, i}, 2}, channelFault, func(w *world) {
				w.faults--
				w.actors[i].links[j].report = nil
			}})
		}
	}
	if l.repeated != nil {
		list = append(list, action{label{"%d gets repeated report of worker %d", [2]int{i, j}, 2}, channelLink + channel(2*i+j), func(w *world) {
			a := &w.actors[i]
			a.report(w.clock(i), a.links[j].repeated)
			a.links[j].repeated = nil
		}})
	}
	return list
}

func (a *actor) report(now Instant, r *Report) {
	if a.shard != nil {
		a.shard.Report(now, *r)
	}
}

func (w *world) deliver(j int, commands []Command, broken rules) *Report {
	agent := w.agents[j]
	for _, c := range commands {
		if broken.workerIgnoresEpoch {
			agent.epoch = 0
		}
		agent.Handle(w.clock(2+j), c)
	}
	report := agent.Report(w.clock(2 + j))
	return &report
}
