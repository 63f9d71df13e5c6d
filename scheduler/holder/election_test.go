package holder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWhoTakesOver(t *testing.T) {
	now := time.Hour
	calm := observation{
		now: now, rowKnown: true, rowSince: now - time.Minute, heard: now - 100*time.Millisecond, leads: true,
		storeHeard: now - 100*time.Millisecond, storeSince: now - time.Minute, sidecars: 11, hearing: 11,
	}
	change := func(edit func(*observation)) observation {
		o := calm
		edit(&o)
		return o
	}
	for _, c := range []struct {
		name     string
		o        observation
		takeOver bool
	}{
		{"the holder answers", calm, false},
		{"no holder was ever named", change(func(o *observation) { o.vacant = true }), true},
		{"the row was not read yet", change(func(o *observation) { o.vacant, o.rowKnown = true, false }), false},
		{"the holder is silent to all", change(func(o *observation) {
			o.heard, o.hearing = now-silenceLimit, 2
		}), true},
		{"the holder is silent to this process only", change(func(o *observation) { o.heard = now - 10*time.Second }), false},
		{"the holder was silent for a short time", change(func(o *observation) {
			o.heard, o.hearing = now-silenceLimit+time.Millisecond, 0
		}), false},
		{"a new holder has not answered yet", change(func(o *observation) {
			o.heard, o.hearing, o.rowSince = 0, 0, now-100*time.Millisecond
		}), false},
		{"the holder's process is gone", change(func(o *observation) {
			o.heard, o.refused = now-refusedLimit, true
		}), true},
		{"the holder resigned", change(func(o *observation) { o.leads = false }), true},
		{"a new holder still reads the shard", change(func(o *observation) {
			o.leads, o.rowSince = false, now-settleTime/2
		}), false},
		{"the holder is cut from the table service", change(func(o *observation) {
			o.holderStoreAge = storeSilenceLimit + time.Millisecond
		}), true},
		{"the table service has just come back", change(func(o *observation) {
			o.holderStoreAge, o.storeSince = storeSilenceLimit+time.Millisecond, now-ownStoreSteady/2
		}), false},
		{"this process is cut from the table service too", change(func(o *observation) {
			o.heard, o.hearing, o.storeHeard = now-time.Minute, 0, now-2*ownStoreLimit
		}), false},
		{"no sidecar is linked to this process", change(func(o *observation) {
			o.heard, o.hearing, o.sidecars = now-silenceLimit, 0, 0
		}), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, takeOver := c.o.shouldTakeOver()
			NewWithT(t).Expect(takeOver).To(Equal(c.takeOver))
		})
	}
}
