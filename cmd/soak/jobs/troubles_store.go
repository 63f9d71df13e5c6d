package jobs

import (
	"math/rand/v2"

	"github.com/carobkeel/carobkeel/platform/standin"
)

// storeAction returns the action of troubles of the store.
func (p *player) storeAction(kind Kind, random *rand.Rand) action {
	first, second := share(random, mostShare), share(random, mostShare)
	change := func(on bool) func() {
		return func() {
			p.fleet.store.Change(func(t *standin.StoreTrouble) {
				switch kind {
				case SilentStore:
					t.Silent = on
				case BusyStore:
					t.Busy = only(on, first)
				case LateWrites:
					t.LateWrites, t.LostAnswers = only(on, first), only(on, second)
				}
			})
		}
	}
	if kind == DropHistory {
		return action{store: true, begin: p.fleet.store.DropHistory, end: func() {}}
	}
	return action{store: true, begin: change(true), end: change(false)}
}
