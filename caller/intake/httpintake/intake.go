package httpintake

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/caller/intake"
	"github.com/carobkeel/carobkeel/internal/logging"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// Intake holds the limits of one process, which all its listeners share.
type Intake struct {
	limits  intake.Limits
	budget  *intake.Budget
	metrics *Metrics
	log     *log.Logger
	start   time.Time
	// listeners are replaced as a whole when one is added.
	listeners atomic.Pointer[[]*Listener]
	// reached limits the log line about limits that were reached.
	reached logging.RateLimit
}

// New returns an Intake with the limits of a process, which must be derived already.
func New(limits intake.Limits, metrics *Metrics, logger *log.Logger) *Intake {
	i := &Intake{limits: limits, budget: intake.NewBudget(limits.BudgetBytes), metrics: metrics, log: logger, start: time.Now()}
	i.listeners.Store(&[]*Listener{})
	return i
}

// Run updates the gauges until ctx ends.
func (i *Intake) Run(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.metrics.budgetUsed.Update(float64(i.budget.Used()))
			i.metrics.connectionsOpen.Update(float64(i.open()))
		}
	}
}

// open returns the number of clients' open connections.
func (i *Intake) open() int {
	open := 0
	for _, l := range *i.listeners.Load() {
		open += l.table.Open()
	}
	return open
}

// now returns the time since the start of the process.
func (i *Intake) now() time.Duration { return time.Since(i.start) }

// logReached logs that a limit was reached, at a bounded rate.
func (i *Intake) logReached(limit, address string) {
	skipped, ok := i.reached.Allow(time.Now())
	if !ok {
		return
	}
	i.log.Warn().Str("limit", limit).Str("address", address).Int64("held", i.budget.Used()).Int64("budget", i.budget.Capacity()).
		Int("connections", i.open()).Int64("skipped", skipped).Msg("limit on clients reached")
}

// ListenCallers returns a listener with the limits for callers.
func (i *Intake) ListenCallers(inner net.Listener) *Listener {
	return i.listen(inner, i.limits.Connections)
}

// ListenSide returns a listener with the limits for those other than that of callers.
func (i *Intake) ListenSide(inner net.Listener) *Listener {
	return i.listen(inner, i.limits.SideConnections())
}

func (i *Intake) listen(inner net.Listener, connections int) *Listener {
	l := &Listener{Listener: inner, intake: i, table: intake.NewTable(connections, i.limits.PerAddress)}
	for {
		current := i.listeners.Load()
		next := append(append([]*Listener(nil), *current...), l)
		if i.listeners.CompareAndSwap(current, &next) {
			return l
		}
	}
}

// take takes bytes of the budget for a connection. If it is spent, the slowest sender that holds
// some is evicted in favour of this one.
func (i *Intake) take(c *Conn, n int64) bool {
	taken := c.sender.Take(i.budget, n)
	if !taken {
		i.logReached("bytes", c.sender.Address)
	}
	for !taken && i.evictHolder(c) {
		taken = c.sender.Take(i.budget, n)
	}
	if taken && c.closed.Load() { // a body that is passed on may be read after its connection was closed
		c.sender.ReturnAll(i.budget)
		return false
	}
	return taken
}

// evictHolder evicts the slowest sender that holds some of the budget, and takes its bytes back.
// It reports whether there was one.
func (i *Intake) evictHolder(needs *Conn) bool {
	now := i.now()
	for _, l := range *i.listeners.Load() {
		sender, phase := l.table.SlowestHolder(now, needs.sender)
		if sender != nil && sender.Evict(phase, i.budget, true) {
			i.metrics.bodiesEvicted.Inc(1)
			return true
		}
	}
	return false
}
