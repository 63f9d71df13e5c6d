package dispatch_test

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// modelLink is a link with the messages under way in both directions.
type modelLink struct {
	id dispatch.LinkID
	// epoch is that of the holder at its other end.
	epoch   carobkeel.Epoch
	process carobkeel.Incarnation
	number  uint64
	// processNumber is the holder's number for the process, zero before it has read the hello.
	processNumber runs.ProcessNumber
	up, down      []func()
	pings         []time.Duration
	closed        bool
	listed        bool
}

// term returns the term of the sidecar's process at the holder at the other end.
func (l *modelLink) term() gate.Term { return gate.Term{Epoch: l.epoch, Process: l.processNumber} }

// hasEnded reports whether the holder at the other end has ended.
func (l *modelLink) hasEnded(m *messageModel) bool { return l.epoch != m.epoch }

// sendUp sends a message to the holder, which is lost if that one has ended.
func (l *modelLink) sendUp(m *messageModel, message func()) {
	l.up = append(l.up, func() {
		if !l.hasEnded(m) {
			message()
		}
	})
}

func (s *modelSidecar) describe(link *modelLink) {
	if link == nil {
		return
	}
	d := *s.state.Description
	s.report(link, func() { s.model.core.DescribeWorker(s.host, d) })
}

// report sends a report to the holder, which drops it if the link has been replaced.
func (s *modelSidecar) report(link *modelLink, event func()) {
	m := s.model
	link.sendUp(m, func() {
		m.events = append(m.events, func() {
			if s.current == link {
				event()
			}
		})
	})
}

// hangUp closes the sidecar's newest link. What was sent may still arrive.
func (s *modelSidecar) hangUp() {
	if len(s.open) == 0 || s.open[len(s.open)-1].closed {
		return
	}
	link := s.open[len(s.open)-1]
	link.closed, link.down = true, nil
	m := s.model
	link.up = append(link.up, func() {
		if s.current == link {
			s.current = nil
			m.events = append(m.events, func() {
				if s.current == nil {
					m.core.HostLost(s.host)
				}
			})
		}
		s.open = slices.DeleteFunc(s.open, func(l *modelLink) bool { return l == link })
	})
	if s.link == link {
		s.link = nil
	}
}

// dial opens a link.
func (s *modelSidecar) dial() {
	s.hangUp()
	m := s.model
	m.links++
	s.openedLinks++
	link := &modelLink{id: m.links, epoch: m.epoch, process: s.process, number: s.openedLinks}
	s.open = append(s.open, link)
	link.sendUp(m, func() {
		link.processNumber = s.numberProcess(link.process)
		if s.current != nil && s.current.process == link.process && s.current.number > link.number {
			return
		}
		s.current = link
		m.events = append(m.events, func() {
			if s.current == link {
				m.core.HostLinked(s.host, dispatch.Link{ID: link.id, Process: link.process})
				m.core.HostPinged(s.host, 0)
			}
		})
	})
	s.ping()
}

// ping sends a ping on the newest link, which is dialled again if it was closed. The holder
// answers it as soon as it reads it.
func (s *modelSidecar) ping() {
	if len(s.open) == 0 || s.open[len(s.open)-1].closed || s.open[len(s.open)-1].hasEnded(s.model) {
		s.dial()
		return
	}
	m, link := s.model, s.open[len(s.open)-1]
	link.pings = append(link.pings, m.now)
	number, follows := uint64(len(link.pings)), s.holder.Epoch == link.epoch
	link.sendUp(m, func() {
		m.events = append(m.events, func() {
			switch {
			case s.current == link:
				m.core.HostPinged(s.host, number)
				if follows {
					m.core.HostFollows(s.host)
				}
			case !m.broken.forgottenPings:
				m.core.LeaseExtended(s.host)
			}
		})
		if !link.closed {
			link.down = append(link.down, func() { s.confirm(link, number) })
		}
	})
}

// numberProcess returns the holder's number for a process of the sidecar.
func (s *modelSidecar) numberProcess(process carobkeel.Incarnation) runs.ProcessNumber {
	if s.lastNumber == 0 || (s.lastProcess != process && !s.model.broken.unnumberedProcesses) {
		s.lastNumber++
	}
	s.lastProcess = process
	return s.lastNumber
}

func (s *modelSidecar) confirm(link *modelLink, number uint64) {
	if link.term().Less(s.holder.Term) {
		return
	}
	s.holder = s.holder.Confirm(link.term(), link.pings[number-1])
	if s.link == link {
		return
	}
	s.link = link
	s.describe(link)
	s.requested++
	s.listings = append(s.listings, &modelListing{number: s.requested, link: link})
}

// deliver has the next message in one direction of one link arrive.
func (s *modelSidecar) deliver(index int, up bool) {
	if len(s.open) == 0 {
		return
	}
	link := s.open[index%len(s.open)]
	messages := &link.down
	if up {
		messages = &link.up
	}
	if len(*messages) == 0 {
		return
	}
	next := (*messages)[0]
	*messages = (*messages)[1:]
	next()
}

func (s *modelSidecar) deliverAll() {
	for i := len(s.open) - 1; i >= 0; i-- {
		for link := s.open[i]; len(link.up) > 0; {
			s.deliver(i, true)
			if i >= len(s.open) || s.open[i] != link {
				break
			}
		}
	}
	for i := range s.open {
		for len(s.open[i].down) > 0 {
			s.deliver(i, false)
		}
	}
}
