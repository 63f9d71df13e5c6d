package holder

// jobMemoryShare is the share of a process's memory that the jobs of its shard may take. The rest is for what
// runs, links, requests, and the garbage of all of these.
const jobMemoryShare = 0.5

// JobMemory is the memory that the jobs of a shard take in its holder, and how much they may take, zero for no
// limit.
type JobMemory struct {
	Used, Limit int64
}

// IsFull reports whether no further job has room.
func (m JobMemory) IsFull() bool { return m.Limit > 0 && m.Used >= m.Limit }

// maxJobBytes returns how much memory the jobs of a shard may take in this process, zero for no limit.
func (c *Config) maxJobBytes() int64 { return int64(jobMemoryShare * float64(c.MemoryBytes)) }

// JobMemory returns the memory that the jobs of the shard take, as far as this node knows, and how much they
// may take in the holder and in this process, which may be the next one.
func (n *Node) JobMemory() JobMemory {
	own := n.config.maxJobBytes()
	if n.Leading() {
		return JobMemory{Used: n.jobBytes.Load(), Limit: own}
	}
	toHolder := n.linkToHolder.Load()
	if toHolder == nil {
		return JobMemory{}
	}
	stated := toHolder.jobMemory.Load()
	if stated == nil {
		return JobMemory{}
	}
	m := *stated
	if own > 0 && (m.Limit == 0 || own < m.Limit) {
		m.Limit = own
	}
	return m
}
