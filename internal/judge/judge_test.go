package judge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

var testBounds = Bounds{
	Contact: 3 * time.Second, Acknowledge: 4 * time.Second, Cancel: 3 * time.Second, StopGrace: 400 * time.Millisecond,
	Visible: 3 * time.Second, Early: 250 * time.Millisecond, ConfigApply: 2 * time.Second,
	ConfigRollback: 250 * time.Millisecond, Drain: 2 * time.Second, Finish: 14 * time.Second, Status: 10 * time.Second,
}

var (
	began   = time.Unix(1000, 0)
	entry   = Process{Name: "entry-1"}
	sidecar = Process{Name: "sidecar-1"}
	queue   = Target{Host: "host", Path: "/queue/"}
	worker1 = Worker{ID: "worker-1", Incarnation: 1}
	worker2 = Worker{ID: "worker-2", Incarnation: 1}
)

// script is a play as a test writes it down, with times in milliseconds.
type script struct{ events []Event }

func (s *script) at(ms int, seen ...Observation) {
	for _, o := range seen {
		s.events = append(s.events, Event{At: time.Duration(ms) * time.Millisecond, Observation: o})
	}
}

func (s *script) judge(end int) []Finding {
	return Evaluate(NewPlay(began, time.Duration(end)*time.Millisecond, s.events), testBounds)
}

func version1(queues ...carobkeel.Queue) ConfigurationSent {
	return ConfigurationSent{carobkeel.QueueConfig{Version: 1, Queues: queues}}
}

func queueOf(path string) carobkeel.Queue {
	return carobkeel.Queue{Host: queue.Host, PathPrefix: path, Service: "service", MaxAttempts: 2}
}

func workerStarted(w Worker) WorkerStarted {
	return WorkerStarted{
		Worker: w, Sidecar: "sidecar-1", Service: "service", Capacity: carobkeel.Resources{MilliCPU: 4000}, Labels: []string{"a"},
	}
}

// accepted returns a script in which two workers have started and a job of the steps was
// accepted.
func accepted(steps ...carobkeel.Step) *script {
	s := &script{}
	s.at(0, version1(queueOf("/queue/")), ConfigurationAcknowledged{1}, workerStarted(worker1), workerStarted(worker2))
	s.at(100, SubmissionSent{Job: "job", Attempt: 1, Entry: entry, Target: queue, Spec: carobkeel.JobSpec{Steps: steps}})
	s.at(200, SubmissionAnswered{"job", 1, AnswerAccepted})
	return s
}

func task(step, index int) carobkeel.TaskName {
	return carobkeel.TaskName{Job: "job", Step: step, Index: index}
}

func runID(w Worker, name carobkeel.TaskName, number int) RunID { return RunID{w, name, number} }

func started(id RunID) RunStarted { return RunStarted{RunID: id, By: sidecar} }

func ended(id RunID, how Outcome, number uint64) RunEnded {
	return RunEnded{RunID: id, Outcome: how, EndNumber: number}
}

// The runs of the first task that most plays have.
var (
	run1 = runID(worker1, task(0, 0), 1)
	run2 = runID(worker2, task(0, 0), 2)
	one  = carobkeel.Step{Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000}}
	end1 = ended(run1, OutcomeDone, 1)
)

func with(change func(*carobkeel.Step)) carobkeel.Step {
	step := one
	change(&step)
	return step
}

var (
	copies = with(func(s *carobkeel.Step) { s.AllowsDuplicates = true })
	lasts  = with(func(s *carobkeel.Step) { s.LongRunning = true })
	gang   = with(func(s *carobkeel.Step) { s.Count, s.Gang = 2, true })
)

// judged is a play and the rules that it breaks, none for a whole one.
type judged struct {
	name   string
	script func() *script
	broken []Rule
}

// play returns the play of a job with the steps, and what happened to it.
func play(then func(*script), steps ...carobkeel.Step) func() *script {
	return func() *script {
		s := accepted(steps...)
		then(s)
		return s
	}
}

const playEnd = 20000

func expectRules(t *testing.T, cases []judged) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := c.script()
			findings := s.judge(playEnd)
			rules := []Rule{}
			for _, f := range findings {
				rules = append(rules, f.Rule)
				g.Expect(f.Events).NotTo(BeEmpty())
				g.Expect(f.String()).To(ContainSubstring(string(f.Rule)))
			}
			g.Expect(rules).To(ConsistOf(c.broken), "%v", findings)
		})
	}
}

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
