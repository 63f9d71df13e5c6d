package wire

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// milli is the factor by which a message counts processors, core-seconds and ratios, so that they are
// whole numbers of thousandths.
const milli = 1000

// FromAdmissionView returns the message for a view and its age. The view is nil if there is none.
func FromAdmissionView(view *dispatch.AdmissionView, age time.Duration) *AdmissionView {
	if view == nil {
		return &AdmissionView{Age: -1}
	}
	message := &AdmissionView{Age: toMillis(age)}
	for _, pool := range view.Pools {
		p := PoolLoad{
			Service: string(pool.Service), Rate: int64(pool.Rate * milli),
			DurationPermille: int64(pool.DurationRatio * milli), StandingWait: toMillis(pool.StandingWait),
		}
		for _, demand := range pool.Waiting {
			p.Waiting = append(p.Waiting, WaitingDemand(demand))
		}
		for _, band := range pool.Backlog {
			p.Backlog = append(p.Backlog, BacklogBand{Priority: band.Priority, ValueExponent: band.ValueExponent, Work: int64(band.Work * milli)})
		}
		for _, queue := range pool.Queues {
			p.Queues = append(p.Queues, QueueLoad{Name: string(queue.Name), MeanWork: int64(queue.MeanWork * milli)})
		}
		message.Pools = append(message.Pools, p)
	}
	return message
}

// Decoded returns the view and its age when it was sent. The view is nil if the sender has none.
func (m *AdmissionView) Decoded() (*dispatch.AdmissionView, time.Duration) {
	if m.Age < 0 {
		return nil, 0
	}
	view := &dispatch.AdmissionView{}
	for _, pool := range m.Pools {
		p := dispatch.PoolLoad{
			Service: carobkeel.Service(pool.Service), Rate: float64(pool.Rate) / milli,
			DurationRatio: float64(pool.DurationPermille) / milli, StandingWait: fromMillis(pool.StandingWait),
		}
		for _, demand := range pool.Waiting {
			p.Waiting = append(p.Waiting, dispatch.WaitingDemand(demand))
		}
		for _, band := range pool.Backlog {
			p.Backlog = append(p.Backlog, dispatch.BacklogBand{Priority: band.Priority, ValueExponent: band.ValueExponent, Work: float64(band.Work) / milli})
		}
		for _, queue := range pool.Queues {
			p.Queues = append(p.Queues, dispatch.QueueLoad{Name: carobkeel.QueueName(queue.Name), MeanWork: float64(queue.MeanWork) / milli})
		}
		view.Pools = append(view.Pools, p)
	}
	return view, fromMillis(m.Age)
}
