package judge

import (
	"testing"
	"time"

	"github.com/carobkeel/carobkeel"
)

func TestTwice(t *testing.T) {
	twice := []Rule{RuleTwice}
	expectRules(t, []judged{
		{"one run after the other", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, ended(run1, OutcomeStopped, 1), EndsAcknowledged{worker1, 1}, started(run2))
		}, one), nil},
		{"two at the same time", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, started(run2))
			s.at(500, end1)
		}, one), twice},
		{"two at the same time, copies allowed", play(func(s *script) { s.at(300, started(run1), started(run2)) }, copies), nil},
		{"two, the first one's worker ended", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, WorkerEnded{worker1}, started(run2))
		}, one), nil},
		{"after a noted end", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsAcknowledged{worker1, 1}, started(run2))
		}, one), twice},
		{"after an end that was noted later", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, started(run2))
			s.at(900, EndsAcknowledged{worker1, 1})
		}, one), twice},
		{"after an end that nobody noted", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsAcknowledged{worker1, 0}, started(run2))
		}, one), nil},
		{"the lease lapsed between the end and its note", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, LeaseExpired{worker1}, EndsAcknowledged{worker1, 1}, started(run2))
		}, one), nil},
		{"the lease lapsed after the note", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsAcknowledged{worker1, 1}, LeaseExpired{worker1}, started(run2))
		}, one), twice},
		{"the note is another incarnation's", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, WorkerEnded{worker1}, EndsAcknowledged{Worker{"worker-1", 2}, 1}, started(run2))
		}, one), nil},
		{"after an end that was listed in calm", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsListed{worker1, []uint64{1}}, started(run2))
			s.at(600, WorkerEnded{worker1})
		}, one), twice},
		{"after an end that was listed in trouble", play(func(s *script) {
			s.at(250, Disruption{ID: 1, Store: true})
			s.at(300, started(run1))
			s.at(400, end1, EndsListed{worker1, []uint64{1}}, started(run2))
		}, one), nil},
		{"after an end that was listed, and the lease lapsed at once", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsListed{worker1, []uint64{1}}, started(run2))
			s.at(450, LeaseExpired{worker1})
			s.at(4000, WorkerEnded{worker1})
		}, one), nil},
		{"after an end that was listed, and its worker ended at once", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsListed{worker1, []uint64{1}}, started(run2))
			s.at(450, WorkerEnded{worker1})
		}, one), nil},
		{"an acknowledgement that came before the end", play(func(s *script) {
			s.at(300, started(run1), EndsAcknowledged{worker1, 5})
			s.at(400, end1, started(run2))
		}, one), nil},
		{"a copy long after a noted end", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsAcknowledged{worker1, 1})
			s.at(1500, started(run2))
		}, copies), twice},
		{"a copy long after a noted end, carried out late", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsAcknowledged{worker1, 1})
			s.at(1500, RunStarted{RunID: run2, By: sidecar, Late: true})
		}, copies), nil},
		{"a copy just after a noted end", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, EndsAcknowledged{worker1, 1})
			s.at(1300, started(run2))
		}, copies), nil},
		{"after the job was shown as completed", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, StateAnswered{Job: "job", Entry: entry, Answer: AnswerAccepted, State: carobkeel.JobCompleted})
			s.at(1500, started(run2))
		}, one), twice},
	})
}

func TestUnasked(t *testing.T) {
	unasked := []Rule{RuleUnasked}
	cancel := func(s *script) { s.at(300, CancelSent{"job", entry}, CancelAcknowledged{"job"}) }
	stop := ended(run1, OutcomeStopped, 1)
	expectRules(t, []judged{
		{"asked", play(func(s *script) { s.at(300, started(run1)) }, one), nil},
		{"before it was sent", play(func(s *script) { s.at(50, started(run1)) }, one), unasked},
		{"no such task", play(func(s *script) { s.at(300, started(runID(worker1, task(0, 1), 1))) }, one), unasked},
		{"another payload", play(func(s *script) { s.at(300, RunStarted{RunID: run1, By: sidecar, Payload: "x"}) }, one), unasked},
		{"the task's checkpoint", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, CheckpointSaved{run1, "c"}, stop, RunStarted{RunID: run2, By: sidecar, Checkpoint: "c"})
		}, one), nil},
		{"the checkpoint of another member of its gang", play(func(s *script) {
			s.at(300, started(run1), CheckpointSaved{run1, "c"}, RunStarted{RunID: runID(worker2, task(0, 1), 1), By: sidecar, Checkpoint: "c"})
		}, gang), nil},
		{"the checkpoint of another task", play(func(s *script) {
			s.at(300, started(run1), CheckpointSaved{run1, "c"}, RunStarted{RunID: runID(worker2, task(0, 1), 1), By: sidecar, Checkpoint: "c"})
		}, with(func(s *carobkeel.Step) { s.Count = 2 })), unasked},
		{"a checkpoint that is saved later", play(func(s *script) {
			s.at(300, RunStarted{RunID: run1, By: sidecar, Checkpoint: "c"})
			s.at(400, CheckpointSaved{run1, "c"})
		}, one), unasked},
		{"a checkpoint from nowhere", play(func(s *script) { s.at(300, RunStarted{RunID: run1, By: sidecar, Checkpoint: "c"}) }, one), unasked},
		{"a start soon after the cancellation", play(func(s *script) {
			cancel(s)
			s.at(3200, started(run1))
			s.at(3300, stop)
		}, one), nil},
		{"a start long after the cancellation", play(func(s *script) {
			cancel(s)
			s.at(3400, started(run1))
			s.at(3500, stop)
		}, one), unasked},
		{"a start long after the cancellation, carried out late", play(func(s *script) {
			cancel(s)
			s.at(3400, RunStarted{RunID: run1, By: sidecar, Late: true})
			s.at(9700, stop)
		}, one), nil},
		{"carried out late, and runs on", play(func(s *script) {
			cancel(s)
			s.at(3400, RunStarted{RunID: run1, By: sidecar, Late: true})
			s.at(9900, stop)
		}, one), unasked},
		{"stopped in time", play(func(s *script) {
			s.at(250, started(run1))
			cancel(s)
			s.at(3600, stop)
		}, one), nil},
		{"runs on", play(func(s *script) {
			s.at(250, started(run1))
			cancel(s)
			s.at(3800, stop)
		}, one), unasked},
		{"runs on in trouble", play(func(s *script) {
			s.at(250, started(run1))
			cancel(s)
			s.at(500, Disruption{ID: 1, Processes: []string{"sidecar-1"}})
			s.at(600, DisruptionEnded{1})
			s.at(6900, stop)
		}, one), nil},
		{"runs on after the trouble", play(func(s *script) {
			s.at(250, started(run1))
			cancel(s)
			s.at(500, Disruption{ID: 1, Processes: []string{"sidecar-1"}})
			s.at(600, DisruptionEnded{1})
			s.at(7100, stop)
		}, one), unasked},
		{"runs on, the cancellation unanswered", play(func(s *script) {
			s.at(250, started(run1))
			s.at(300, CancelSent{"job", entry})
			s.at(7800, stop)
		}, one), unasked},
	})
}

func TestOrder(t *testing.T) {
	second := with(func(s *carobkeel.Step) { s.After = []int{0} })
	two := with(func(s *carobkeel.Step) { s.Count = 2 })
	follows := started(runID(worker2, task(1, 0), 1))
	timed := func(ms int, late bool) func() *script {
		return func() *script {
			s := accepted(one)
			sent := s.events[4].Observation.(SubmissionSent)
			sent.Spec.Repeats, sent.Spec.First, sent.Spec.Period = 2, began.Add(time.Second), time.Second
			s.events[4].Observation = sent
			again := carobkeel.TaskName{Job: "job", Occurrence: 1}
			s.at(ms, RunStarted{RunID: runID(worker1, again, 1), By: sidecar, Late: late})
			return s
		}
	}
	expectRules(t, []judged{
		{"after its step", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, follows)
		}, one, second), nil},
		{"before its step", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, follows)
			s.at(500, end1)
		}, one, second), []Rule{RuleOrder}},
		{"after one task of two", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, follows)
		}, two, second), []Rule{RuleOrder}},
		{"after one task of a gang of two", play(func(s *script) {
			s.at(300, started(run1))
			s.at(400, end1, follows)
		}, gang, second), nil},
		{"at its time", timed(1800, false), nil},
		{"before its time", timed(1700, false), []Rule{RuleOrder}},
		{"before its time, carried out late", timed(1700, true), nil},
	})
}

func TestPlacementAndCapacity(t *testing.T) {
	labelled := with(func(s *carobkeel.Step) { s.RequiredLabel = "b" })
	apart := with(func(s *carobkeel.Step) { s.Count, s.MaxPerWorker = 2, 1 })
	big := with(func(s *carobkeel.Step) { s.Count, s.Demand.MilliCPU = 2, 2500 })
	fills := with(func(s *carobkeel.Step) { s.Count, s.Demand.MilliCPU, s.BestEffort = 2, 2500, true })
	other := Worker{"worker-3", 1}
	both := func(second Worker) func(*script) {
		return func(s *script) { s.at(300, started(run1), started(runID(second, task(0, 1), 1))) }
	}
	guarded := func() *script {
		s := accepted(big)
		w := workerStarted(worker1)
		w.EnforcesCapacity = true
		s.events[2].Observation = w
		both(worker1)(s)
		return s
	}
	expectRules(t, []judged{
		{"another service", play(func(s *script) {
			s.at(250, WorkerStarted{Worker: other, Service: "other", Capacity: carobkeel.Resources{MilliCPU: 4000}})
			s.at(300, started(runID(other, task(0, 0), 1)))
		}, one), []Rule{RulePlacement}},
		{"without the label", play(func(s *script) { s.at(300, started(run1)) }, labelled), []Rule{RulePlacement}},
		{"apart", play(both(worker2), apart), nil},
		{"too many of a step", play(both(worker1), apart), []Rule{RulePlacement}},
		{"room", play(both(worker2), big), nil},
		{"no room", play(both(worker1), big), []Rule{RuleCapacity}},
		{"no room, the worker rejects itself", guarded, nil},
		{"no room, best effort", play(both(worker1), fills), nil},
	})
}

func TestAttempts(t *testing.T) {
	again := started(runID(worker1, task(0, 0), 3))
	failed := func(noted uint64, at int) func(*script) {
		return func(s *script) {
			s.at(300, started(run1))
			s.at(400, ended(run1, OutcomeFailed, 1), started(runID(worker1, task(0, 0), 2)))
			s.at(500, ended(runID(worker1, task(0, 0), 2), OutcomeFailed, 2), EndsAcknowledged{worker1, noted})
			s.at(at, again)
		}
	}
	broken := []Rule{RuleAttempts}
	expectRules(t, []judged{
		{"after one noted failure", play(failed(1, 600), one), nil},
		{"after two noted failures", play(failed(2, 600), one), broken},
		{"after two noted failures, long-running", play(failed(2, 600), lasts), nil},
		{"after two noted failures, a copy on its way", play(failed(2, 1400), copies), nil},
		{"after two noted failures, a copy", play(failed(2, 1600), copies), broken},
	})
}

func TestRefused(t *testing.T) {
	answered := func(first, second Answer) func() *script {
		return func() *script {
			s := accepted(one)
			s.events = s.events[:4]
			for i, a := range []Answer{first, second} {
				s.at(100*(i+1), SubmissionSent{Job: "job", Attempt: i + 1, Entry: entry, Target: queue, Spec: carobkeel.JobSpec{Steps: []carobkeel.Step{one}}},
					SubmissionAnswered{"job", i + 1, a})
			}
			s.at(300, started(run1))
			return s
		}
	}
	expectRules(t, []judged{
		{"all refused", answered(AnswerRejected, AnswerRejected), []Rule{RuleRefused}},
		{"refused, and no such queue", answered(AnswerRejected, AnswerNoQueue), []Rule{RuleRefused}},
		{"one unanswered", answered(AnswerRejected, AnswerNone), nil},
		{"one accepted", answered(AnswerRejected, AnswerAccepted), nil},
	})
}
