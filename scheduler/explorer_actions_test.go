package scheduler

// actions returns the actions that are possible in the current state.
func (m *model) actions(mutant mutation) []action {
	var list []action
	for i := range m.schedulers {
		list = append(list, m.schedulerActions(i, mutant)...)
		list = append(list, m.storeActions(i, mutant)...)
		for k := range explorerWorkers {
			list = append(list, m.linkActions(i, (i+k)%len(explorerWorkers), mutant)...)
		}
	}
	if m.faults > 0 {
		for j := range explorerWorkers {
			list = append(list, action{label{"restart worker %d", [2]int{j}, 1}, channelFault, func(m *model) { m.faults--; m.restart(j) }})
		}
	}
	if m.now < explorerHorizon {
		list = append(list, action{label{format: "tick"}, channelClock, func(m *model) { m.now++ }})
	}
	return list
}

func (m *model) restart(j int) {
	old := m.agents[j]
	m.agents[j] = NewAgent(old.id, old.incarnation+1, old.capacity, old.timing)
}

func (m *model) schedulerActions(i int, mutant mutation) []action {
	var list []action
	n := &m.schedulers[i]
	if n.call != nil {
		return nil
	}
	if !n.lease.held && n.lease.pending == nil && (!n.lease.observed || n.lease.rows != m.rows) {
		list = append(list, action{label{"%d reads", [2]int{i}, 1}, channelScheduler + channel(i), func(m *model) {
			m.schedulers[i].lease.Observe(m.clock(i), m.rows)
			m.schedulers[i].dropShardIfNotHeld()
		}})
	}
	if probe := *n.lease; probe.Next(m.clock(i)).Kind != LeaseNone {
		list = append(list, action{label{"%d sends lease write", [2]int{i}, 1}, channelLease + channel(i), func(m *model) {
			n := &m.schedulers[i]
			n.call = &storeCall{lease: n.lease.Next(m.clock(i))}
		}})
	}
	if n.shard == nil || n.shard.superseded {
		return list
	}
	if !m.released && n.lease.pending == nil {
		list = append(list, action{label{"%d releases", [2]int{i}, 1}, channelScheduler + channel(i), func(m *model) {
			n := &m.schedulers[i]
			m.released = true
			write := n.lease.Release(m.clock(i))
			if mutant.releaseForgetsGrants {
				write.Next.GrantsRemaining = 0
				n.lease.pending.Next.GrantsRemaining = 0
			}
			n.call, n.shard = &storeCall{lease: write}, nil
		}})
	}
	if len(n.shard.urgent) > 0 {
		list = append(list, action{label{"%d sends batch", [2]int{i}, 1}, channelScheduler + channel(i), func(m *model) {
			n := &m.schedulers[i]
			batch := n.shard.NextBatch(8, false)
			if mutant.startBeforeDurable {
				n.shard.Committed(batch)
			}
			n.call = &storeCall{batch: batch, fence: n.lease.EpochVersion()}
		}})
	}
	if n.shard.queue.length > 0 && m.clock(i) < n.lease.ExpiresAt() {
		for k := range explorerWorkers {
			// Each scheduler tries the worker with its own index first.
			j := (i + k) % len(explorerWorkers)
			id := explorerWorkers[j]
			if v, ok := n.shard.workers[id]; ok && v.epochConfirmed && n.shard.isFresh(m.clock(i), v) {
				list = append(list, action{label{"%d places on %d", [2]int{i, j}, 2}, channelScheduler + channel(i), func(m *model) {
					shard := m.schedulers[i].shard
					for _, job := range shard.Waiting(1) {
						if shard.Place(m.clock(i), job.ID, id, "") != nil {
							shard.Defer(job.ID)
						}
					}
				}})
			}
		}
	}
	return list
}

func (n *schedulerNode) dropShardIfNotHeld() {
	if !n.lease.IsHeld() {
		n.shard = nil
	}
}

func (m *model) storeActions(i int, mutant mutation) []action {
	n := &m.schedulers[i]
	if n.call == nil {
		return nil
	}
	if !n.call.done {
		return []action{{label{"store takes write of %d", [2]int{i}, 1}, channelStore + channel(i), func(m *model) { m.applyCall(m.schedulers[i].call, mutant) }}}
	}
	return []action{{label{"%d gets answer", [2]int{i}, 1}, channelAnswer + channel(i), func(m *model) { m.answer(i, mutant) }}}
}

func (m *model) applyCall(call *storeCall, mutant mutation) {
	call.done = true
	m.version++
	switch call.lease.Kind {
	case LeaseNone:
		call.applied = call.fence == m.rows.EpochVersion || mutant.unfencedWrites
		if call.applied {
			for _, job := range call.batch.Jobs {
				m.job = job
			}
		}
		return
	case LeaseRenew, LeaseRelease:
		call.applied = call.lease.Rows.EpochVersion == m.rows.EpochVersion
	case LeaseAcquire:
		call.applied = call.lease.Rows.EpochVersion == m.rows.EpochVersion &&
			call.lease.Rows.RenewalVersion == m.rows.RenewalVersion
	}
	if !call.applied {
		return
	}
	if call.lease.Kind != LeaseRenew {
		m.rows.Epoch, m.rows.EpochVersion = call.lease.Next, m.version
	}
	m.rows.RenewalVersion = m.version
	call.versions = m.rows
}

func (m *model) answer(i int, mutant mutation) {
	n := &m.schedulers[i]
	call := n.call
	n.call = nil
	if call.lease.Kind == LeaseNone {
		if call.applied && n.shard != nil {
			n.shard.Committed(call.batch)
		} else if !call.applied {
			n.shard = nil
			n.lease.Refused()
		}
		return
	}
	if !call.applied {
		n.lease.Refused()
		n.shard = nil
		return
	}
	n.lease.Applied(m.clock(i), call.versions)
	if mutant.countFromAnswer {
		n.lease.renewedAt = m.clock(i)
	}
	if call.lease.Kind == LeaseAcquire {
		until := n.lease.InheritedGrantsEnd()
		if mutant.skipInheritedWait {
			until = m.clock(i)
		}
		n.shard = NewShard("s", n.lease.Epoch(), until, explorerTiming, []Job{m.job})
	}
}

func (m *model) linkActions(i, j int, mutant mutation) []action {
	if m.partitioned && i == 1 && j == 0 {
		return nil
	}
	n := &m.schedulers[i]
	l := &n.links[j]
	var list []action
	if n.shard != nil && !n.shard.superseded && l.commands == nil && l.report == nil &&
		(l.sentAt != m.now || l.sent < exchangesPerTick) {
		list = append(list, action{label{"%d sends to worker %d", [2]int{i, j}, 2}, channelLink + channel(2*i+j), func(m *model) {
			n := &m.schedulers[i]
			n.shard.Tick(m.clock(i))
			commands := n.shard.Commands(m.clock(i), explorerWorkers[j], n.lease.GrantsEnd())
			if mutant.grantTooLong {
				for k := range commands {
					commands[k].GrantUntil += 2 * Instant(explorerTiming.Grant)
				}
			}
			l := &n.links[j]
			l.commands = append([]Command{}, commands...)
			if l.sentAt != m.now {
				l.sentAt, l.sent = m.now, 0
			}
			l.sent++
		}})
	}
	if l.commands != nil {
		list = append(list, action{label{"worker %d takes commands of %d", [2]int{j, i}, 2}, channelDelivery + channel(2*i+j), func(m *model) {
			l := &m.schedulers[i].links[j]
			l.report = m.deliver(j, l.commands, mutant)
			l.commands = nil
		}})
		if m.faults > 0 && l.duplicate == nil && len(l.commands) > 0 {
			list = append(list, action{label{"network repeats commands of %d to %d", [2]int{i, j}, 2}, channelFault, func(m *model) {
				m.faults--
				l := &m.schedulers[i].links[j]
				l.duplicate = l.commands
			}})
		}
	}
	if l.duplicate != nil {
		list = append(list, action{label{"worker %d takes repeated commands of %d", [2]int{j, i}, 2}, channelDelivery + channel(2*i+j), func(m *model) {
			l := &m.schedulers[i].links[j]
			l.repeated = m.deliver(j, l.duplicate, mutant)
			l.duplicate = nil
		}})
	}
	if l.report != nil {
		list = append(list, action{label{"%d gets report of worker %d", [2]int{i, j}, 2}, channelLink + channel(2*i+j), func(m *model) {
			n := &m.schedulers[i]
			n.report(m.clock(i), n.links[j].report)
			n.links[j].report = nil
		}})
		if m.faults > 0 {
			list = append(list, action{label{"network loses report of %d to %d", [2]int{j, i}, 2}, channelFault, func(m *model) {
				m.faults--
				m.schedulers[i].links[j].report = nil
			}})
		}
	}
	if l.repeated != nil {
		list = append(list, action{label{"%d gets repeated report of worker %d", [2]int{i, j}, 2}, channelLink + channel(2*i+j), func(m *model) {
			n := &m.schedulers[i]
			n.report(m.clock(i), n.links[j].repeated)
			n.links[j].repeated = nil
		}})
	}
	return list
}

func (n *schedulerNode) report(now Instant, r *Report) {
	if n.shard != nil {
		n.shard.Report(now, *r)
	}
}

func (m *model) deliver(j int, commands []Command, mutant mutation) *Report {
	agent := m.agents[j]
	for _, c := range commands {
		if mutant.workerIgnoresEpoch {
			agent.epoch = 0
		}
		agent.Handle(m.clock(2+j), c)
	}
	report := agent.Report(m.clock(2 + j))
	return &report
}
