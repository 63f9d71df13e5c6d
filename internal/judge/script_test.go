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
