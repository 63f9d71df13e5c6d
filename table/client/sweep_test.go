package client_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
)

func TestSweepDeletesOldFenceRowsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		ctx := context.Background()
		old, young := table.NewTransactionID(), table.NewTransactionID()
		for range 600 {
			_, err := f.rows.Commit(ctx, table.Fence(table.NewTransactionID(), time.Now()))
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := f.rows.Commit(ctx, table.Fence(old, time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		<-time.After(table.FenceRetention + time.Second)
		_, err = f.rows.Commit(ctx, table.Fence(young, time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.client.SweepFences(ctx)).To(Succeed())
		rows, err := f.rows.Range(ctx, table.FencePrefix, "", 1000)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rows).To(HaveLen(1))
		g.Expect(rows[0].Key).To(Equal(table.FenceKey(young)))
	})
}

// A client that repeats a transaction after the sweep must not conclude from the
// absence of the fence row that the transaction took effect.
func TestRepeatAfterTheSweepStaysUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		ctx := context.Background()
		view := f.client.For(table.PurposeJobs)
		g.Expect(f.faults.Set(faulty.Faults{LostRequests: 1})).To(Succeed())
		txn := withMarker(create("k", "1"))
		_, err := view.Commit(ctx, txn)
		g.Expect(errors.Is(err, table.ErrUnsettled)).To(BeTrue())
		// The fence took effect and its row was swept.
		_, err = f.rows.Commit(ctx, table.Fence(txn.ID, time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		<-time.After(table.FenceRetention + time.Second)
		g.Expect(f.faults.Set(faulty.Faults{})).To(Succeed())
		g.Expect(f.client.SweepFences(ctx)).To(Succeed())
		_, err = view.Commit(ctx, txn)
		g.Expect(errors.Is(err, table.ErrUnsettled)).To(BeTrue())
	})
}
