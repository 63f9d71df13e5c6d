package carobkeel

// Resources is an amount of a host's capacity, or a demand for it.
type Resources struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// MemoryBytes is memory in bytes.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// Accelerators is a number of whole accelerators.
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

// Sub returns r less o. A part may become negative where o exceeds r.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryBytes:  r.MemoryBytes - o.MemoryBytes,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// FitsIn reports whether every part of r is at most that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU &&
		r.MemoryBytes <= o.MemoryBytes &&
		r.Accelerators <= o.Accelerators
}

// IsZero reports whether r asks for nothing.
func (r Resources) IsZero() bool { return r == Resources{} }

// DominantShare returns the largest of r's parts as a fraction of total, in
// 0..1 where r fits in total. A part of which total has none is passed over.
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(r.MilliCPU, total.MilliCPU)
	share = max(share, fraction(r.MemoryBytes, total.MemoryBytes))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
