package judge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

func TestLost(t *testing.T) {
	lost := []Rule{RuleLost}
	shown := func(asked int, a Answer, state carobkeel.JobState) StateAnswered {
		return StateAnswered{Job: "job", Entry: entry, AskedAt: time.Duration(asked) * time.Millisecond, Answer: a, State: state}
	}
	state := func(ms int, a Answer, state carobkeel.JobState) func(*script) {
		return func(s *script) { s.at(ms, shown(ms, a, state)) }
	}
	ends := func(then func(*script)) func(*script) {
		return func(s *script) {
			s.at(1000, TrafficEnded{})
			then(s)
		}
	}
	nothing := func(*script) {}
	full := func(s *script) {
		for i, w := range []Worker{worker1, worker2} {
			s.at(300, started(runID(w, task(0, i), 1)))
		}
	}
	dueAt := func(due time.Duration) func() *script {
		return func() *script {
			s := accepted(one)
			sent := s.events[4].Observation.(SubmissionSent)
			sent.Spec.Repeats, sent.Spec.First = 1, began.Add(due)
			s.events[4].Observation = sent
			ends(nothing)(s)
			return s
		}
	}
	after := with(func(s *carobkeel.Step) { s.After = []int{0} })
	large := with(func(s *carobkeel.Step) { s.Count, s.Demand.MilliCPU = 2, 2500 })
	expectRules(t, []judged{
		{"unknown at first", play(state(3000, AnswerGone, 0), one), nil},
		{"unknown later", play(state(3300, AnswerGone, 0), one), lost},
		{"unknown later, the entry just woken", play(func(s *script) {
			s.at(300, Disruption{ID: 1, Processes: []string{"entry-1"}})
			s.at(1000, DisruptionEnded{1})
			state(3300, AnswerGone, 0)(s)
		}, one), nil},
		{"unknown after it was cancelled", play(func(s *script) {
			s.at(300, CancelSent{"job", entry}, CancelAcknowledged{"job"})
			state(3300, AnswerGone, 0)(s)
		}, one), nil},
		{"unknown long after it was completed", play(func(s *script) {
			s.at(300, started(run1), end1, shown(300, AnswerAccepted, carobkeel.JobCompleted))
			state(11000, AnswerGone, 0)(s)
		}, one), nil},
		{"unknown soon after it was completed", play(func(s *script) {
			s.at(300, started(run1), end1, shown(300, AnswerAccepted, carobkeel.JobCompleted))
			state(10000, AnswerGone, 0)(s)
		}, one), lost},
		{"cancelled without cause", play(state(300, AnswerAccepted, carobkeel.JobCancelled), one), lost},
		{"failed without cause", play(state(300, AnswerAccepted, carobkeel.JobFailed), one), lost},
		{"failed with cause", play(func(s *script) {
			s.at(300, started(run1), ended(run1, OutcomeFailed, 1), started(run2), ended(run2, OutcomeFailed, 1))
			state(400, AnswerAccepted, carobkeel.JobFailed)(s)
		}, one), nil},
		{"no answer at the end", play(ends(func(s *script) {
			s.at(300, started(run1))
			s.at(16000, end1, shown(15500, AnswerNone, 0))
		}), one), lost},
		{"an answer at the end", play(ends(func(s *script) {
			s.at(300, started(run1))
			s.at(16000, end1, shown(15500, AnswerNone, 0))
			s.at(17000, shown(16500, AnswerAccepted, carobkeel.JobCompleted))
		}), one), nil},
		{"nothing runs at the end", play(ends(nothing), one), lost},
		{"nothing runs at the end, begun in time", play(ends(func(s *script) { s.at(17900, started(run1)) }), one), nil},
		{"nothing runs at the end, cancelled", play(ends(func(s *script) { s.at(1100, CancelSent{"job", entry}, CancelAcknowledged{"job"}) }), one), nil},
		{"nothing runs at the end, no room", play(ends(func(s *script) {
			spec := carobkeel.JobSpec{Steps: []carobkeel.Step{one}}
			s.at(250, SubmissionSent{Job: "late", Attempt: 1, Entry: entry, Target: queue, Spec: spec}, SubmissionAnswered{"late", 1, AnswerAccepted})
			full(s)
		}), large), nil},
		{"nothing runs at the end, workers unreachable", play(ends(func(s *script) {
			s.at(1100, Disruption{ID: 1, Workers: []string{"worker-1"}}, Disruption{ID: 2, Processes: []string{"sidecar-1"}})
		}), one), nil},
		{"nothing runs at the end, too large", play(ends(nothing), with(func(s *carobkeel.Step) { s.Demand.MilliCPU = 4001 })), nil},
		{"nothing runs at the end, room for one", play(ends(nothing), with(func(s *carobkeel.Step) { s.MaxPerWorker, s.RequiredLabel = 1, "b" })), nil},
		{"nothing runs at the end, room for one gang", play(ends(nothing), with(func(s *carobkeel.Step) {
			s.Count, s.Gang, s.Demand.MilliCPU = 2, true, 2500
		})), nil},
		{"nothing runs at the end, room for two gangs", play(ends(nothing), gang), lost},
		{"the second step waits for the first, which is too large", play(ends(nothing),
			with(func(s *carobkeel.Step) { s.Demand.MilliCPU = 4001 }), after), nil},
		{"the second step's turn came late", play(ends(func(s *script) {
			s.at(300, started(run1))
			s.at(18000, end1)
		}), one, after), nil},
		{"the second step's turn came with the first end of a gang", play(func(s *script) {
			member := runID(worker2, task(0, 1), 1)
			s.at(250, TrafficEnded{})
			s.at(300, started(run1), end1)
			s.at(17500, started(member))
			s.at(17600, ended(member, OutcomeDone, 1))
		}, gang, after), lost},
		{"due shortly before the end", dueAt(18 * time.Second), nil},
		{"due well before the end", dueAt(16 * time.Second), lost},
		{"the second step's turn came in time", play(ends(func(s *script) {
			s.at(300, started(run1))
			s.at(16000, end1)
		}), one, after), lost},
		{"a long-running task never begins", play(nothing, lasts), lost},
		{"a long-running task runs again in time", play(func(s *script) {
			s.at(300, started(run1))
			s.at(5000, ended(run1, OutcomeFailed, 1))
			s.at(13500, started(run2))
		}, lasts), nil},
		{"a long-running task runs again late", play(func(s *script) {
			s.at(300, started(run1))
			s.at(5000, ended(run1, OutcomeFailed, 1))
			s.at(14500, started(run2))
		}, lasts), lost},
		{"a long-running task runs again late, in trouble", play(func(s *script) {
			s.at(300, started(run1))
			s.at(5000, ended(run1, OutcomeFailed, 1))
			s.at(9000, Disruption{ID: 1, Store: true})
			s.at(9100, DisruptionEnded{1})
			s.at(14500, started(run2))
		}, lasts), nil},
	})
}

func TestShown(t *testing.T) {
	completed := StateAnswered{Job: "job", Entry: entry, Answer: AnswerAccepted, State: carobkeel.JobCompleted}
	nobodys := completed
	nobodys.Job = "other"
	expectRules(t, []judged{
		{"done", play(func(s *script) { s.at(300, started(run1), end1, completed) }, one), nil},
		{"not done", play(func(s *script) { s.at(300, started(run1), completed, end1) }, one), []Rule{RuleShown}},
		{"nobody's", play(func(s *script) { s.at(300, nobodys) }, one), []Rule{RuleShown}},
	})
}

func TestConfiguration(t *testing.T) {
	newer := Target{Host: "host", Path: "/newer/"}
	change := func(s *script) {
		s.at(1000, ConfigurationSent{carobkeel.QueueConfig{Version: 5, Queues: []carobkeel.Queue{queueOf("/queue/"), queueOf("/newer/")}}})
		s.at(1100, ConfigurationAcknowledged{5})
	}
	asked := func(ms int, target Target, a Answer) WaitingAnswered {
		return WaitingAnswered{Target: target, Entry: entry, AskedAt: time.Duration(ms) * time.Millisecond, Answer: a}
	}
	broken := []Rule{RuleConfiguration}
	expectRules(t, []judged{
		{"an older version, in time", play(func(s *script) {
			change(s)
			s.at(3200, asked(3050, newer, AnswerNoQueue))
		}, one), nil},
		{"an older version, late", play(func(s *script) {
			change(s)
			s.at(3200, asked(3150, newer, AnswerNoQueue))
		}, one), broken},
		{"an older version, the store just back", play(func(s *script) {
			change(s)
			s.at(2000, Disruption{ID: 1, Store: true})
			s.at(2100, DisruptionEnded{1})
			s.at(3200, asked(3150, newer, AnswerNoQueue))
		}, one), nil},
		{"a later version before it is acknowledged", play(func(s *script) {
			change(s)
			s.at(1050, asked(1010, newer, AnswerAccepted))
		}, one), nil},
		{"back", play(func(s *script) {
			change(s)
			s.at(1200, asked(1150, newer, AnswerAccepted))
			s.at(1600, asked(1500, newer, AnswerNoQueue))
		}, one), broken},
		{"back, disturbed", play(func(s *script) {
			change(s)
			s.at(1200, asked(1150, newer, AnswerAccepted), Disruption{ID: 1, Processes: []string{"entry-1"}})
			s.at(3100, asked(3050, newer, AnswerNoQueue))
		}, one), nil},
		{"back, long after it was disturbed", play(func(s *script) {
			change(s)
			s.at(1200, asked(1150, newer, AnswerAccepted), Disruption{ID: 1, Processes: []string{"entry-1"}})
			s.at(3400, asked(3300, newer, AnswerNoQueue))
		}, one), broken},
		{"by a version that isn't sent yet", play(func(s *script) {
			s.at(3050, asked(3000, newer, AnswerAccepted))
			s.at(3100, ConfigurationSent{carobkeel.QueueConfig{Version: 5, Queues: []carobkeel.Queue{queueOf("/newer/")}}})
		}, one), broken},
		{"back, another incarnation", play(func(s *script) {
			change(s)
			s.at(1200, asked(1150, newer, AnswerAccepted))
			other := asked(1500, newer, AnswerNoQueue)
			other.Entry.Incarnation = 1
			s.at(1600, other)
		}, one), nil},
		{"refused though the queue is there", play(func(s *script) {
			s.at(3000, SubmissionSent{Job: "late", Attempt: 1, Entry: entry, Target: queue, Spec: carobkeel.JobSpec{Steps: []carobkeel.Step{one}}})
			s.at(3100, SubmissionAnswered{"late", 1, AnswerNoQueue})
		}, one), broken},
	})
}

func TestDrain(t *testing.T) {
	drain := func(ms int) func(*script) {
		return func(s *script) {
			s.at(300, DrainReported{worker1}, DrainAcknowledged{worker1, sidecar})
			s.at(ms, started(run1))
		}
	}
	expectRules(t, []judged{
		{"soon", play(drain(2200), one), nil},
		{"late", play(drain(2400), one), []Rule{RuleDrain}},
		{"late, the sidecar just woken", play(func(s *script) {
			s.at(310, Disruption{ID: 1, Processes: []string{"sidecar-1"}})
			s.at(2390, DisruptionEnded{1})
			drain(2400)(s)
		}, one), nil},
	})
}

func TestAcknowledged(t *testing.T) {
	broken := []Rule{RuleAcknowledged}
	cancels := func(unanswered int) func(*script) {
		return func(s *script) {
			for i := range 10 {
				id := carobkeel.JobID(rune('a' + i))
				s.at(300, SubmissionSent{Job: id, Attempt: 1, Entry: entry, Target: queue, Spec: carobkeel.JobSpec{Steps: []carobkeel.Step{one}}},
					SubmissionAnswered{id, 1, AnswerAccepted}, CancelSent{id, entry})
				if i >= unanswered {
					s.at(4200, CancelAcknowledged{id})
				}
			}
		}
	}
	ends := func(ms int) func(*script) {
		return func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsListed{worker1, []uint64{1}})
			s.at(ms, EndsAcknowledged{worker1, 1})
		}
	}
	expectRules(t, []judged{
		{"two cancellations unanswered", play(cancels(2), one), nil},
		{"three cancellations unanswered", play(cancels(3), one), broken},
		{"three cancellations of jobs that were not accepted", play(func(s *script) {
			for _, id := range []carobkeel.JobID{"a", "b", "c"} {
				s.at(300, CancelSent{id, entry})
			}
		}, one), nil},
		{"an end noted in time", play(ends(4300), one), nil},
		{"an end noted late", play(ends(4500), one), broken},
		{"a drain acknowledged", play(func(s *script) { s.at(300, DrainReported{worker1}, DrainAcknowledged{worker1, sidecar}) }, one), nil},
		{"a drain not acknowledged", play(func(s *script) { s.at(300, DrainReported{worker1}) }, one), broken},
		{"a drain ended without an acknowledgement", play(func(s *script) {
			s.at(300, DrainReported{worker1})
			s.at(900, WorkerEnded{worker1})
		}, one), broken},
		{"a drain in trouble", play(func(s *script) {
			s.at(300, DrainReported{worker1}, Disruption{ID: 1, Store: true})
			s.at(900, WorkerEnded{worker1})
		}, one), nil},
	})
}

func TestTimelineHoldsTheTaskItsJobAndItsWorkers(t *testing.T) {
	g := NewWithT(t)
	s := accepted(one)
	s.at(300, started(run1), started(runID(worker2, task(0, 1), 1)), SubmissionSent{Job: "other"})
	s.at(400, LeaseExpired{worker1}, LeaseExpired{worker2}, Disruption{ID: 1})
	var kinds []string
	for _, event := range Timeline(NewPlay(began, time.Second, s.events), task(0, 0)) {
		kinds = append(kinds, event.Kind())
	}
	g.Expect(kinds).To(Equal([]string{
		"worker-started", "submission-sent", "submission-answered", "run-began", "lease-expired", "disruption",
	}))
}
