package admit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/caller/admit"
)

// fleet accepts a limited number of requests per tick and refuses the others.
type fleet struct{ left, sent int }

func (f *fleet) Forward(context.Context, *caller.Request) (*caller.Answer, error) {
	f.sent++
	if f.left--; f.left < 0 {
		return nil, carobkeel.NewError(carobkeel.CodeQueueFull, "full")
	}
	return &caller.Answer{Status: 200}, nil
}

func TestFloodIsRefusedAtTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		next := &fleet{}
		forwarder := admit.New(caller.NewAdmission(), next, admit.NewMetrics(tally.NoopScope))
		go forwarder.Run(ctx)
		const capacity, offered, ticks = 50, 500, 20
		for range ticks {
			next.left = capacity
			for range offered {
				_, err := forwarder.Forward(ctx, &caller.Request{Owner: "flood"})
				if err == nil {
					continue
				}
				refusal := carobkeel.AsError(err)
				g.Expect(refusal.Ran).To(Equal(carobkeel.RanNo))
				g.Expect(refusal.RetryAfter).To(BeNumerically(">=", time.Second))
			}
			<-time.After(caller.TickInterval)
		}
		g.Expect(next.sent).To(BeNumerically("<", 3*capacity*ticks))
		g.Expect(next.sent).To(BeNumerically(">", capacity*ticks))
	})
}
