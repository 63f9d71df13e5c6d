package store

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/table"
)

// base is what a Store and Stops have alike: how transactions are settled,
// numbered and counted.
type base struct {
	settler
	metrics *Metrics
	now     func() time.Time
	newID   func() table.TransactionID
}

// setDefaults fills in what the configuration left out.
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
