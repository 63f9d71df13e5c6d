package dispatch_test

import (
	"math"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// bornLater is how much later than the worker another incarnation began, in milliseconds.
const bornLater = 1000

// foreignHeartbeat has the sidecar take the worker for another incarnation, which it then
// describes until the worker's next heartbeat.
func (s *modelSidecar) foreignHeartbeat(index int) {
	d := s.worker.Description()
	d.StartedAtMs += bornLater
	switch index {
	case 0:
		d.ID = "w-other"
	case 1:
		d.ID, d.StartedAtMs = "w-other", 0
	}
	s.state, s.replacedAt = s.state.Describe(&d), s.model.now
	s.clock, s.deadline, s.acknowledged = gate.Clock{}, 0, 0
	s.withdrawn = make(map[runs.Stop]bool)
	s.describe(s.link)
	if s.model.broken.unprovenListings && s.link != nil {
		s.requested++
		listing := dispatch.WorkerListing{
			Host: s.host, Incarnation: d.Incarnation, Number: s.requested, Requested: math.MaxUint64, Full: true,
		}
		s.report(s.link, func() { s.model.core.ApplyListing(listing) })
	}
}
