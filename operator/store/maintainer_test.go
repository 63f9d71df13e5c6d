package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// switchableTable is a table whose reads can be switched off.
type switchableTable struct {
	table.Table
	down atomic.Bool
}

func (s *switchableTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if s.down.Load() {
		return table.Row{}, false, table.ErrUnavailable
	}
	return s.Table.Get(ctx, key)
}

// currentFleet returns its snapshot with the current time.
type currentFleet struct{ snapshot operator.Fleet }

func (f *currentFleet) Fleet(context.Context) (operator.Fleet, error) {
	f.snapshot.At = time.Now()
	return f.snapshot, nil
}

func TestMaintainerKeepsHostsDrainingThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		rows := &switchableTable{Table: memory.New()}
		fleet := &currentFleet{dispatchOn("a", "b")}
		fleet.snapshot.Since = time.Now().Add(-time.Hour)
		catalogue := store.New(store.Config{Table: rows})
		g.Expect(catalogue.Seed(ctx, raceCatalogue(), "test")).To(Succeed())
		stops := store.NewStops(store.StopsConfig{Table: rows, Fleet: fleet})
		_, err := stops.Plan(ctx, stopOf("s1", "a"))
		g.Expect(err).NotTo(HaveOccurred())
		maintainer := store.NewMaintainer(catalogue, stops, logging.Discard().For("operator"))
		go maintainer.Run(ctx)

		at := carobkeel.Location{DataCentre: "dar-1", Host: "a"}
		synctest.Wait()
		g.Expect(maintainer.IsDraining(at)).To(BeTrue())
		rows.down.Store(true)
		<-time.After(store.TrimInterval)
		synctest.Wait()
		g.Expect(maintainer.IsDraining(at)).To(BeTrue())
		rows.down.Store(false)
		_, err = stops.Cancel(ctx, "s1", "test")
		g.Expect(err).NotTo(HaveOccurred())
		<-time.After(store.StopAdvanceInterval)
		synctest.Wait()
		g.Expect(maintainer.IsDraining(at)).To(BeFalse())
		cancel()
		synctest.Wait()
	})
}
