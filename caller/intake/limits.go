package intake

import "time"

const (
	// budgetShare and connectionShare are the divisors that give the parts of a process's memory for
	// the bytes that clients have sent, and for connections.
	budgetShare     = 8
	connectionShare = 4
	// connectionBytes is the memory that an open connection is assumed to hold: its goroutine, its
	// buffers and the garbage of both.
	connectionBytes = 32 << 10
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// The numerator and the denominator give the share of the other descriptors that is for clients.
	// The rest is for links, the store and the process's own calls.
	clientDescriptorsNumerator, clientDescriptorsDenominator = 3, 4
	// fewestConnections and smallestBudget, in bytes, are the least values that are derived.
	fewestConnections = 16
	smallestBudget    = 1 << 20
	// sideShare is the divisor of the number of callers' connections that gives how many each other
	// listener may have open.
	sideShare = 8
)

// Upper bounds of settings.
const (
	MaxBudgetMB    = 1 << 20
	MaxConnections = 1 << 20
	// MaxLeastRate is the largest least rate, in bytes per second.
	MaxLeastRate = 1 << 20
)

// DefaultLeastRate is the least rate at which a body must arrive, in bytes per second.
const DefaultLeastRate = 512

// Limits are the limits of one process. Derive replaces zero values of BudgetBytes and Connections by
// ones that fit the machine.
type Limits struct {
	// BudgetBytes bounds the bytes that clients have sent and nobody has taken yet.
	BudgetBytes int64
	// Connections bounds the open connections of callers, and PerAddress those from one
	// remote address, zero for no bound of its own.
	Connections, PerAddress int
	// LeastRate is the least rate at which a body must arrive, in bytes per second.
	LeastRate int64
}

// Machine is what a process may use on its machine.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// Derive returns the limits with the values that are not set derived from the machine.
func (l Limits) Derive(m Machine) Limits {
	if l.BudgetBytes <= 0 {
		l.BudgetBytes = max(smallestBudget, m.MemoryBytes/budgetShare)
	}
	if l.Connections <= 0 {
		byMemory := int(m.MemoryBytes / connectionShare / connectionBytes)
		byDescriptors := (m.Descriptors - fileDescriptors) * clientDescriptorsNumerator / clientDescriptorsDenominator
		l.Connections = max(fewestConnections, min(byMemory, byDescriptors))
	}
	if l.LeastRate <= 0 {
		l.LeastRate = DefaultLeastRate
	}
	return l
}

// SideConnections returns how many connections a listener other than that of callers may have
// open.
func (l *Limits) SideConnections() int { return max(fewestConnections, l.Connections/sideShare) }

// ProgressBytes is the number of bytes of a body whose arrival counts as progress.
const ProgressBytes = 4 << 10

// ProgressTime returns how long the next ProgressBytes of a body may take.
func (l *Limits) ProgressTime() time.Duration {
	return time.Duration(ProgressBytes) * time.Second / time.Duration(l.LeastRate)
}
