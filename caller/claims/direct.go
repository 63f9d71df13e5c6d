package claims

import (
	"context"

	"github.com/carobkeel/carobkeel/table"
)

// DirectWriter is a Writer that commits each write in a separate transaction.
type DirectWriter struct {
	Table table.Table
}

// Write implements Writer.
func (d DirectWriter) Write(ctx context.Context, condition table.Condition, write table.Write) (table.Outcome, error) {
	return d.Table.Commit(ctx, table.Transaction{
		ID:         table.NewTransactionID(),
		Conditions: []table.Condition{condition},
		Writes:     []table.Write{write},
	})
}
