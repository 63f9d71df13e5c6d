package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel/platform/standin"
)

const (
	// mostForeign is how many sidecars one trouble sends foreign heartbeats to.
	mostForeign = 2
	// Foreign heartbeats that name an earlier start do so by a time between these.
	leastEarlier = time.Second
	mostEarlier  = time.Minute
)

// foreignAction returns the action of troubles in which sidecars hear of workers from somebody
// else. They disturb no process and no worker, so that all rules hold meanwhile.
func (p *player) foreignAction(kind Kind, random *rand.Rand) action {
	some := pick(random, p.fleet.workers, mostForeign)
	id := fmt.Sprintf("i-foreign-%08x", random.Uint32())
	ofOther := random.IntN(2) == 0
	earlier := leastEarlier + time.Duration(random.Int64N(int64(mostEarlier-leastEarlier)))
	if kind == ForeignDepartures {
		return foreignDepartures(some, ofOther)
	}
	began := time.Now()
	begin, end := during(func(ctx context.Context) {
		withEach(some, func(w *standin.Worker) {
			f := standin.Foreign{Born: began}
			switch kind {
			case ForeignHeartbeatsID:
				f.ID, f.Address = id, p.neighbourOf(w)
			case ForeignHeartbeatsAddress:
				f.ID = id
			case ForeignHeartbeatsEarlier:
				f.ID, f.Born = only(ofOther, id), w.Born().Add(-earlier)
			}
			w.SendForeign(ctx, f)
		})
	})
	return action{targets: some, begin: begin, end: end}
}

// neighbourOf returns the address of the worker on the next host.
func (p *player) neighbourOf(w *standin.Worker) string {
	next := (slices.Index(p.fleet.workers, w) + 1) % len(p.fleet.workers)
	return p.fleet.address(firstSidecar+next, workerPort)
}

// foreignDepartures sends departures of workers that live on, or late ones that reach the next
// incarnations under their ids.
func foreignDepartures(workers []*standin.Worker, late bool) action {
	begin, end := during(func(ctx context.Context) {
		if late {
			each(workers, (*standin.Worker).Crash)
			withEach(workers, (*standin.Worker).Restart)
		}
		withEach(workers, func(w *standin.Worker) { w.SendDepartures(ctx) })
	})
	a := action{targets: workers, begin: begin, end: end}
	if late {
		a.workers = workers
	}
	return a
}
