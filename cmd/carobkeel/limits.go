package main

import (
	"context"
	"flag"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/caller/intake"
	"github.com/carobkeel/carobkeel/caller/intake/httpintake"
	"github.com/carobkeel/carobkeel/internal/settings"
)

const (
	// defaultMemoryMB is the memory of a process without a settings file.
	defaultMemoryMB = 1024
	maxMemoryMB     = 1 << 30
	maxDescriptors  = 1 << 30
	bytesPerMB      = 1 << 20
)

// clientLimits is the settings of the limits on clients.
type clientLimits struct {
	budgetMB    int
	connections int
	perAddress  int
	leastRate   int
}

// register adds the flags.
func (c *clientLimits) register(fs *flag.FlagSet) {
	fs.IntVar(&c.budgetMB, "client-bytes-mb", 0, "most megabytes that clients have sent and nobody has taken yet; 0 for an eighth of the memory")
	fs.IntVar(&c.connections, "client-connections", 0, "most open connections of callers; 0 for what memory and descriptors allow")
	fs.IntVar(&c.perAddress, "client-connections-per-address", 0, "most open connections of one remote address to one listener; 0 for no limit of its own")
	fs.IntVar(&c.leastRate, "client-least-rate", intake.DefaultLeastRate, "least rate at which a body must arrive, in bytes per second")
}

// Check implements settings.Checker.
func (c *clientLimits) Check() []settings.Problem {
	problems := checkRange("client-bytes-mb", c.budgetMB, 0, intake.MaxBudgetMB)
	problems = append(problems, checkRange("client-connections", c.connections, 0, intake.MaxConnections)...)
	problems = append(problems, checkRange("client-connections-per-address", c.perAddress, 0, intake.MaxConnections)...)
	return append(problems, checkRange("client-least-rate", c.leastRate, 1, intake.MaxLeastRate)...)
}

// checkRange returns a problem where a number is out of its range.
func checkRange(name string, n, least, most int) []settings.Problem {
	if n < least || n > most {
		return []settings.Problem{{Name: name, Reason: "must be from " + strconv.Itoa(least) + " to " + strconv.Itoa(most)}}
	}
	return nil
}

// limits returns the limits on a machine.
func (c *clientLimits) limits(m intake.Machine) intake.Limits {
	return intake.Limits{
		BudgetBytes: int64(c.budgetMB) * bytesPerMB,
		Connections: c.connections,
		PerAddress:  c.perAddress,
		LeastRate:   int64(c.leastRate),
	}.Derive(m)
}

// machineFlags are the flags for what a process without a settings file may use of its machine. Zero
// values stand for the defaults.
type machineFlags struct {
	memoryMB, descriptors int
}

// register adds the flags.
func (c *machineFlags) register(fs *flag.FlagSet) {
	fs.IntVar(&c.memoryMB, "memory-mb", defaultMemoryMB, "memory that the process may use, in megabytes")
	fs.IntVar(&c.descriptors, "max-descriptors", 0, "file descriptors that the process may open; 0 for the limit of the operating system")
}

// Check implements settings.Checker.
func (c *machineFlags) Check() []settings.Problem {
	problems := checkRange("memory-mb", c.memoryMB, 1, maxMemoryMB)
	return append(problems, checkRange("max-descriptors", c.descriptors, 0, maxDescriptors)...)
}

// machine returns what the process may use of its machine.
func (c *machineFlags) machine() intake.Machine {
	return withDefaults(intake.Machine{MemoryBytes: int64(c.memoryMB) * bytesPerMB, Descriptors: c.descriptors})
}

// withDefaults returns what a process may use, with defaults for what isn't set: defaultMemoryMB, and the
// operating system's limit on file descriptors.
func withDefaults(m intake.Machine) intake.Machine {
	if m.MemoryBytes == 0 {
		m.MemoryBytes = defaultMemoryMB * bytesPerMB
	}
	if m.Descriptors == 0 {
		m.Descriptors = openFileLimit()
	}
	return m
}

// newIntake returns the limits on clients of a process without a settings file, and sets the memory limit
// of the Go runtime accordingly.
func newIntake(ctx context.Context, clients *clientLimits, machine *machineFlags, scope tally.Scope, logger *log.Logger) *httpintake.Intake {
	m := machine.machine()
	debug.SetMemoryLimit(int64(float64(m.MemoryBytes) * memoryShare))
	i := httpintake.New(clients.limits(m), httpintake.NewMetrics(scope), logger)
	go i.Run(ctx)
	return i
}

// openFileLimit returns the operating system's limit on the file descriptors of the process.
func openFileLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}
