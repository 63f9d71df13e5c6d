package mailbox_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/mailbox"
)

func TestTakeKeepsTheOrderOfEachSender(t *testing.T) {
	const senders, perSender = 8, 2000
	g := NewWithT(t)
	box := mailbox.New[[2]int]()
	var sending sync.WaitGroup
	for sender := range senders {
		sending.Go(func() {
			for i := range perSender {
				box.Push([2]int{sender, i})
			}
		})
	}
	next := make([]int, senders)
	for taken := 0; taken < senders*perSender; {
		batch, err := box.Take(t.Context(), nil)
		g.Expect(err).NotTo(HaveOccurred())
		for _, value := range batch {
			g.Expect(value[1]).To(Equal(next[value[0]]))
			next[value[0]]++
		}
		taken += len(batch)
	}
	sending.Wait()
	g.Expect(box.TryTake(nil)).To(BeEmpty())
}

func TestTakeBlocksUntilAValueArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		box := mailbox.New[int]()
		got := make(chan []int, 1)
		go func() {
			batch, _ := box.Take(t.Context(), nil)
			got <- batch
		}()
		synctest.Wait() // returns only when every goroutine is blocked, so Take does not spin
		g.Expect(got).To(BeEmpty())
		box.Push(7)
		g.Expect(<-got).To(Equal([]int{7}))
	})
}

func TestTakeEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := mailbox.New[int]().Take(ctx, nil)
	g.Expect(err).To(MatchError(context.Canceled))
}
