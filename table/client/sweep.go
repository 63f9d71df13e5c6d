package client

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel/table"
)

// sweepPage is the number of rows that a sweep reads with one call.
const sweepPage = 256

// SweepFences deletes the fence rows left behind by clients that crashed. One
// process calls it at intervals of an hour or longer.
func (c *Client) SweepFences(ctx context.Context) error {
	view := c.For(table.PurposeSettlement)
	for after := ""; ; {
		rows, err := view.Range(ctx, table.FencePrefix, after, sweepPage)
		if err != nil || len(rows) == 0 {
			return err
		}
		after = rows[len(rows)-1].Key
		txn, any := table.SweepFences(table.NewTransactionID(), rows, time.Now())
		if !any {
			continue
		}
		if _, err := view.Commit(ctx, txn); err != nil {
			return err
		}
	}
}
