package carobkeel

// Resources is an amount of host resources: a capacity or a demand.
type Resources struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// MemoryBytes is memory in bytes.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// Accelerators is the number of accelerators, which are not divisible.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryBytes:  r.MemoryBytes + o.MemoryBytes,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o. A component is negative where o exceeds r.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryBytes:  r.MemoryBytes - o.MemoryBytes,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Min returns the smaller one of each component of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		MilliCPU:     min(r.MilliCPU, o.MilliCPU),
		MemoryBytes:  min(r.MemoryBytes, o.MemoryBytes),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// FitsIn reports whether every component of r is at most that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU &&
		r.MemoryBytes <= o.MemoryBytes &&
		r.Accelerators <= o.Accelerators
}

// IsZero reports whether all components of r are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// DominantShare returns the largest component of r as a fraction of total, in
// 0..1 if r fits in total. Components that are zero in total are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(r.MilliCPU, total.MilliCPU)
	share = max(share, fraction(r.MemoryBytes, total.MemoryBytes))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
