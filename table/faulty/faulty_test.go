package faulty_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/memory"
)

func set(key string, version table.Version) table.Transaction {
	return table.Transaction{
		ID:         table.NewTransactionID(),
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: []byte(key)}},
	}
}

// inBubble runs the test with a simulated clock on a table with the faults.
func inBubble(t *testing.T, f faulty.Faults, test func(*WithT, *faulty.Table, *memory.Table)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		inner := memory.New()
		outer := faulty.New(inner, 1, clock.System{})
		g.Expect(outer.Set(f)).To(Succeed())
		test(g, outer, inner)
	})
}

func TestFaultsOnCommit(t *testing.T) {
	cases := []struct {
		name    string
		faults  faulty.Faults
		want    error
		applied bool
	}{
		{"down", faulty.Faults{Down: true}, table.ErrUnavailable, false},
		{"request lost", faulty.Faults{LostRequests: 1}, table.ErrUnsettled, false},
		{"answer lost", faulty.Faults{LostAnswers: 1}, table.ErrUnsettled, true},
		{"slow", faulty.Faults{Delay: time.Minute}, table.ErrUnsettled, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, c.faults, func(g *WithT, outer *faulty.Table, inner *memory.Table) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := outer.Commit(ctx, set("k", 0))
				g.Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
				_, ok, _ := inner.Get(ctx, "k")
				g.Expect(ok).To(Equal(c.applied))
			})
		})
	}
}

func TestLateEffectFollowsTheLostAnswer(t *testing.T) {
	inBubble(t, faulty.Faults{LateEffects: 1, LateBy: time.Minute}, func(g *WithT, outer *faulty.Table, inner *memory.Table) {
		ctx := context.Background()
		_, err := outer.Commit(ctx, set("k", 0))
		g.Expect(errors.Is(err, table.ErrUnsettled)).To(BeTrue())
		<-time.After(time.Minute - time.Nanosecond)
		_, ok, _ := inner.Get(ctx, "k")
		g.Expect(ok).To(BeFalse())
		<-time.After(time.Nanosecond)
		synctest.Wait()
		_, ok, _ = inner.Get(ctx, "k")
		g.Expect(ok).To(BeTrue())
	})
}

func TestCompetingWriterCausesAConflict(t *testing.T) {
	inBubble(t, faulty.Faults{Conflicts: 1}, func(g *WithT, outer *faulty.Table, _ *memory.Table) {
		ctx := context.Background()
		first, err := outer.Commit(ctx, set("k", 0))
		g.Expect(err).NotTo(HaveOccurred())
		second, err := outer.Commit(ctx, set("k", first.Version))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.Applied).To(BeFalse())
		g.Expect(second.Conflicts[0].Version).To(BeNumerically(">", first.Version))
	})
}

func TestLimitsOfCallsASecond(t *testing.T) {
	inBubble(t, faulty.Faults{WritesPerSecond: 300, ReadsPerSecond: 2000}, func(g *WithT, outer *faulty.Table, _ *memory.Table) {
		ctx := context.Background()
		writes, reads := 0, 0
		for range 10_000 {
			<-time.After(100 * time.Microsecond)
			if _, err := outer.Commit(ctx, set("k", 0)); err == nil {
				writes++
			}
			if _, _, err := outer.Get(ctx, "k"); err == nil {
				reads++
			}
		}
		g.Expect(writes).To(BeNumerically("~", 330, 2), "a second's 300 and the burst of 30")
		g.Expect(reads).To(BeNumerically("~", 2200, 2), "a second's 2000 and the burst of 200")
	})
}

func TestSeedDeterminesTheFaults(t *testing.T) {
	g := NewWithT(t)
	trace := func(seed uint64) (lost []bool) {
		outer := faulty.New(memory.New(), seed, clock.System{})
		g.Expect(outer.Set(faulty.Faults{LostAnswers: 0.5})).To(Succeed())
		for range 64 {
			_, err := outer.Commit(context.Background(), set("k", 0))
			lost = append(lost, err != nil)
		}
		return lost
	}
	g.Expect(trace(7)).To(Equal(trace(7)))
	g.Expect(trace(7)).NotTo(Equal(trace(8)))
}

func TestValuesOutOfRangeAreRefused(t *testing.T) {
	g := NewWithT(t)
	outer := faulty.New(memory.New(), 1, clock.System{})
	g.Expect(outer.Set(faulty.Faults{Conflicts: 1.5})).NotTo(Succeed())
	g.Expect(outer.Set(faulty.Faults{Delay: -1})).NotTo(Succeed())
	g.Expect(outer.Faults()).To(Equal(faulty.Faults{}))
}
