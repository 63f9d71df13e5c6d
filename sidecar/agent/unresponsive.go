package agent

import "sync/atomic"

// unresponsiveFlag reports whether the worker is unresponsive, with the reports of that to the
// holder. Several goroutines may set and clear it: who clears it must not undo a report that the
// holder may get after the listing for which it is cleared.
type unresponsiveFlag struct {
	// state is the number of reports, the number of those that are being sent, and whether the
	// worker is unresponsive, from the highest bits to the lowest one.
	state atomic.Uint64
}

const (
	unresponsiveBit  = 1
	reportBeingSent  = 2
	reportsBeingSent = 1<<16 - reportBeingSent
	reportCount      = 1 << 16
)

// Load reports whether the worker is unresponsive.
func (f *unresponsiveFlag) Load() bool { return f.state.Load()&unresponsiveBit != 0 }

// Version returns the state for ClearUnchanged.
func (f *unresponsiveFlag) Version() uint64 { return f.state.Load() }

// Store sets the flag, as a further report that has been sent, or clears it.
func (f *unresponsiveFlag) Store(unresponsive bool) {
	if unresponsive {
		f.BeginReport()
		f.EndReport()
		return
	}
	f.state.And(^uint64(unresponsiveBit))
}

// BeginReport sets the flag as a further report, which is sent until EndReport. It returns the old
// value.
func (f *unresponsiveFlag) BeginReport() bool {
	for {
		old := f.state.Load()
		if f.state.CompareAndSwap(old, (old+reportCount+reportBeingSent)|unresponsiveBit) {
			return old&unresponsiveBit != 0
		}
	}
}

// EndReport records that a report has been sent.
func (f *unresponsiveFlag) EndReport() { f.state.Add(^uint64(reportBeingSent - 1)) }

// ClearUnchanged clears the flag unless it has been set or cleared since the version, or a report
// was being sent then. It reports whether it did.
func (f *unresponsiveFlag) ClearUnchanged(version uint64) bool {
	return version&reportsBeingSent == 0 && f.state.CompareAndSwap(version, version&^unresponsiveBit)
}
