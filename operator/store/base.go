package store

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/table"
)

// base is the common part of Store and Stops: it commits transactions, draws
// their ids and holds the metrics and the clock.
type base struct {
	committer
	metrics *Metrics
	now     func() time.Time
	newID   func() table.TransactionID
}

// setDefaults fills in the values that the configuration leaves out.
func (b *base) setDefaults() {
	if b.wait == nil {
		b.wait = Backoff
	}
	if b.metrics == nil {
		b.metrics = NewMetrics(tally.NoopScope)
	}
	if b.now == nil {
		b.now = time.Now
	}
	if b.newID == nil {
		b.newID = table.NewTransactionID
	}
}
