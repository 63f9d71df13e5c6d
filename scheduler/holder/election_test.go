package holder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWhoTakesOver(t *testing.T) {
	now := time.Hour
	healthy := observation{
		now: now, rowKnown: true, rowSince: now - time.Minute, lastPong: now - 100*time.Millisecond, holderLeads: true,
		storeAnswered: now - 100*time.Millisecond, storeFailed: now - time.Minute, sidecars: 11, reachingHolder: 11,
	}
	change := func(edit func(*observation)) observation {
		o := healthy
		edit(&o)
		return o
	}
	for _, c := range []struct {
		name     string
		o        observation
		takeOver bool
	}{
		{"the holder answers", healthy, false},
		{"no holder was ever named", change(func(o *observation) { o.vacant = true }), true},
		{"the row was not read yet", change(func(o *observation) { o.vacant, o.rowKnown = true, false }), false},
		{"the holder is silent to all", change(func(o *observation) {
			o.lastPong, o.reachingHolder = now-holderSilenceTimeout, 2
		}), true},
		{"the holder is silent to this process only", change(func(o *observation) { o.lastPong = now - 10*time.Second }), false},
		{"the holder was silent for a short time", change(func(o *observation) {
			o.lastPong, o.reachingHolder = now-holderSilenceTimeout+time.Millisecond, 0
		}), false},
		{"a new holder has not answered yet", change(func(o *observation) {
			o.lastPong, o.reachingHolder, o.rowSince = 0, 0, now-100*time.Millisecond
		}), false},
		{"the holder's process is gone", change(func(o *observation) {
			o.lastPong, o.holderRefuses = now-holderRefusedTimeout, true
		}), true},
		{"the holder resigned", change(func(o *observation) { o.holderLeads = false }), true},
		{"a new holder has not said yet that it reads the shard", change(func(o *observation) {
			o.holderLeads, o.rowSince = false, now-newHolderTimeout/2
		}), false},
		{"a new holder still reads the shard", change(func(o *observation) {
			o.holderLeads, o.holderTakesOver = false, true
		}), false},
		{"a new holder that reads the shard is cut from the table service", change(func(o *observation) {
			o.holderLeads, o.holderTakesOver, o.holderStoreAge = false, true, holderStoreTimeout+time.Millisecond
		}), true},
		{"the holder is cut from the table service", change(func(o *observation) {
			o.holderStoreAge = holderStoreTimeout + time.Millisecond
		}), true},
		{"the table service has just come back", change(func(o *observation) {
			o.holderStoreAge, o.storeFailed = holderStoreTimeout+time.Millisecond, now-minOwnStoreStable/2
		}), false},
		{"this process is cut from the table service too", change(func(o *observation) {
			o.lastPong, o.reachingHolder, o.storeAnswered = now-time.Minute, 0, now-2*maxOwnStoreAge
		}), false},
		{"no sidecar is linked to this process", change(func(o *observation) {
			o.lastPong, o.reachingHolder, o.sidecars = now-holderSilenceTimeout, 0, 0
		}), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, takeOver := c.o.shouldTakeOver()
			NewWithT(t).Expect(takeOver).To(Equal(c.takeOver))
		})
	}
}
