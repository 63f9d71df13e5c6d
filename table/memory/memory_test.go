package memory

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/table"
)

func TestOldestIDsAreEvicted(t *testing.T) {
	g := NewWithT(t)
	rows := New()
	write := func(id table.TransactionID) table.Version {
		outcome, err := rows.Commit(context.Background(), table.Transaction{ID: id, Writes: []table.Write{{Key: "k"}}})
		g.Expect(err).NotTo(HaveOccurred())
		return outcome.Version
	}
	first, second := table.NewTransactionID(), table.NewTransactionID()
	g.Expect(write(first)).To(BeEquivalentTo(1))
	g.Expect(write(second)).To(BeEquivalentTo(2))
	for range maxRememberedIDs - 1 {
		write(table.NewTransactionID())
	}
	g.Expect(write(second)).To(BeEquivalentTo(2), "among the newest ids")
	g.Expect(write(first)).To(BeEquivalentTo(maxRememberedIDs+2), "forgotten")
	g.Expect(rows.appliedVersions).To(HaveLen(maxRememberedIDs))
}
