package operator_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

func at(host string) carobkeel.Location {
	return carobkeel.Location{DataCentre: "dar-1", Rack: "r1", Host: host}
}

func onHost(host string) operator.StopTarget {
	return operator.StopTarget{DataCentre: "dar-1", Host: host}
}

// fleetOf returns a fleet with an instance of each service on each of its hosts.
func fleetOf(services map[carobkeel.Service][]string) operator.Fleet {
	f := operator.Fleet{Since: noon.Add(-time.Hour), At: noon}
	for service, hosts := range services {
		for _, host := range hosts {
			f.Hosts = append(f.Hosts, at(host))
			f.Instances = append(f.Instances, operator.Instance{Service: service, Location: at(host), Serving: true})
		}
	}
	return f
}

func TestPlanStopKeepsEachServiceServed(t *testing.T) {
	fleet := fleetOf(map[carobkeel.Service][]string{"dispatch": {"a", "b"}, "quotes": {"c"}})
	planned := func(host string, state operator.StopState) []operator.Stop {
		return []operator.Stop{{ID: "other", Target: onHost(host), State: state}}
	}
	cases := []struct {
		name    string
		request operator.StopRequest
		others  []operator.Stop
		code    carobkeel.Code
	}{
		{"one of two", operator.StopRequest{Target: onHost("a")}, nil, carobkeel.CodeOK},
		{"the only one", operator.StopRequest{Target: onHost("c")}, nil, carobkeel.CodeStopRefused},
		{"the only one, forced", operator.StopRequest{Target: onHost("c"), Forced: true}, nil, carobkeel.CodeOK},
		{"the rack", operator.StopRequest{Target: operator.StopTarget{DataCentre: "dar-1", Rack: "r1"}}, nil, carobkeel.CodeStopRefused},
		{"the data centre", operator.StopRequest{Target: operator.StopTarget{DataCentre: "dar-1"}}, nil, carobkeel.CodeStopRefused},
		{"another data centre", operator.StopRequest{Target: operator.StopTarget{DataCentre: "znz"}}, nil, carobkeel.CodeOK},
		{"second while the first is planned", operator.StopRequest{Target: onHost("b")}, planned("a", operator.StopPlanned), carobkeel.CodeStopRefused},
		{"second while the first drains", operator.StopRequest{Target: onHost("b")}, planned("a", operator.StopDraining), carobkeel.CodeStopRefused},
		{"second after the first", operator.StopRequest{Target: onHost("b")}, planned("a", operator.StopCancelled), carobkeel.CodeOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			stop, err := operator.PlanStop(c.request, fleet, c.others, noon)
			g.Expect(carobkeel.CodeOf(err)).To(Equal(c.code), "%v", err)
			if err == nil {
				g.Expect(stop.State).To(Equal(operator.StopPlanned))
				g.Expect(stop.Start).To(Equal(noon))
			}
		})
	}
	for _, request := range []operator.StopRequest{
		{}, {Target: operator.StopTarget{Rack: "r1"}}, {Target: onHost("no/slash")},
	} {
		_, err := operator.PlanStop(request, fleet, nil, noon)
		NewWithT(t).Expect(err).To(BeAssignableToTypeOf(operator.Problems{}))
	}
}

func TestStopIsHeldWhenTheFleetShrankBeforeItsStart(t *testing.T) {
	g := NewWithT(t)
	stop, err := operator.PlanStop(operator.StopRequest{Target: onHost("a")},
		fleetOf(map[carobkeel.Service][]string{"dispatch": {"a", "b"}}), nil, noon)
	g.Expect(err).NotTo(HaveOccurred())
	held := stop.Step(fleetOf(map[carobkeel.Service][]string{"dispatch": {"a"}}), nil, noon)
	g.Expect(held.State).To(Equal(operator.StopPlanned))
	g.Expect(held.Detail).To(ContainSubstring("dispatch"))
	started := held.Step(fleetOf(map[carobkeel.Service][]string{"dispatch": {"a", "c"}}), nil, noon)
	g.Expect(started.State).To(Equal(operator.StopDraining))
	g.Expect(operator.IsDraining([]operator.Stop{started}, at("a"))).To(BeTrue())
	g.Expect(operator.IsDraining([]operator.Stop{started}, at("b"))).To(BeFalse())
}

// transitions holds the states that may directly follow each state.
var transitions = map[operator.StopState][]operator.StopState{
	operator.StopPlanned:   {operator.StopDraining, operator.StopCancelled},
	operator.StopDraining:  {operator.StopDrained, operator.StopCancelled},
	operator.StopDrained:   {operator.StopDone, operator.StopCancelled},
	operator.StopDone:      {},
	operator.StopCancelled: {},
}

var stopHosts = []string{"a", "b", "c"}

// stopMachine steps planned stops of three hosts with random fleets and times.
// Each step is computed twice, as by two processes, and both results must agree.
type stopMachine struct {
	now   time.Time
	fleet operator.Fleet
	stops []operator.Stop
	// workSeen and hostSeen hold when a step of each stop, by its index, was
	// last taken on a snapshot with work on its target, or with a host in it.
	workSeen, hostSeen map[int]time.Time
}

func (m *stopMachine) drawFleet(t *rapid.T) {
	m.fleet = operator.Fleet{At: m.now.Add(-time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second)}
	m.fleet.Since = m.fleet.At.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "collected")) * time.Second)
	for _, host := range stopHosts {
		if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
			continue
		}
		m.fleet.Hosts = append(m.fleet.Hosts, at(host))
		m.fleet.Instances = append(m.fleet.Instances, operator.Instance{
			Service: "dispatch", Location: at(host),
			Serving:  rapid.Bool().Draw(t, "serving"),
			InFlight: rapid.IntRange(0, 1).Draw(t, "in flight"),
		})
		if rapid.Bool().Draw(t, "task") {
			m.fleet.Tasks = append(m.fleet.Tasks, operator.Task{Location: at(host)})
		}
	}
}

func (m *stopMachine) others(index int) []operator.Stop {
	return slices.Delete(slices.Clone(m.stops), index, index+1)
}

// serving counts the serving instances outside the targets of draining stops.
func (m *stopMachine) serving() int {
	count := 0
	for _, instance := range m.fleet.Instances {
		if instance.Serving && !operator.IsDraining(m.stops, instance.Location) {
			count++
		}
	}
	return count
}

func (m *stopMachine) work(target operator.StopTarget) (busy, present bool) {
	for _, instance := range m.fleet.Instances {
		if target.Covers(instance.Location) {
			busy = busy || instance.Serving || instance.InFlight > 0
		}
	}
	for _, task := range m.fleet.Tasks {
		busy = busy || target.Covers(task.Location)
	}
	for _, host := range m.fleet.Hosts {
		present = present || target.Covers(host)
	}
	return busy, present
}

func (m *stopMachine) plan(t *rapid.T) {
	stop, err := operator.PlanStop(operator.StopRequest{
		Target: onHost(rapid.SampledFrom(stopHosts).Draw(t, "host")),
		Start:  m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "start")) * time.Second),
		Forced: rapid.IntRange(0, 3).Draw(t, "forced") == 0,
	}, m.fleet, m.stops, m.now)
	if err == nil {
		m.stops = append(m.stops, stop)
	}
}

func (m *stopMachine) step(t *rapid.T, index int) {
	before, servedBefore := m.stops[index], m.serving()
	next := before.Step(m.fleet, m.others(index), m.now)
	if again := before.Step(m.fleet, m.others(index), m.now); again != next {
		t.Fatal("two processes that take the same step get different results")
	}
	m.stops[index] = next
	busy, present := m.work(before.Target)
	if next.State == before.State {
		m.note(index, busy, present)
		return
	}
	if !slices.Contains(transitions[before.State], next.State) {
		t.Fatalf("%s became %s", before.State, next.State)
	}
	if !m.settled() {
		t.Fatalf("%s became %s on a snapshot that is not settled", before.State, next.State)
	}
	switch next.State {
	case operator.StopDraining:
		if m.now.Before(before.Start) {
			t.Fatal("draining began before the start")
		}
		if !before.Forced && servedBefore > 0 && m.serving() == 0 {
			t.Fatal("the service was left without a serving instance")
		}
	case operator.StopDrained:
		if busy || m.now.Sub(m.workSeen[index]) < operator.StopIdleTime-operator.StopSeenAtInterval {
			t.Fatal("drained while work was left or recently seen")
		}
	case operator.StopDone:
		if present || m.now.Sub(m.hostSeen[index]) < operator.StopHostAbsenceTime-operator.StopSeenAtInterval {
			t.Fatal("done while a host was there or recently seen")
		}
	}
}

func (m *stopMachine) settled() bool {
	return m.now.Sub(m.fleet.At) <= operator.FleetMaxAge && m.fleet.At.Sub(m.fleet.Since) >= operator.FleetCollectionTime
}

// note records what a step that left the state unchanged saw.
func (m *stopMachine) note(index int, busy, present bool) {
	if !m.settled() {
		return
	}
	if busy && m.stops[index].State == operator.StopDraining {
		m.workSeen[index] = m.now
	}
	if present && m.stops[index].State == operator.StopDrained {
		m.hostSeen[index] = m.now
	}
}

func (m *stopMachine) cancel(t *rapid.T, index int) {
	before := m.stops[index]
	next, err := before.Cancel("someone", m.now)
	if (err != nil) != (before.State == operator.StopDone) {
		t.Fatalf("cancelling a stop that is %s: %v", before.State, err)
	}
	if err == nil && next.State != operator.StopCancelled {
		t.Fatalf("cancelling gave %s", next.State)
	}
	m.stops[index] = next
}

func TestStopsFollowTheirStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stopMachine{now: noon, workSeen: make(map[int]time.Time), hostSeen: make(map[int]time.Time)}
		m.drawFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"plan":  m.plan,
			"fleet": m.drawFleet,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"step": func(t *rapid.T) {
				for index := range m.stops {
					m.step(t, index)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(m.stops) > 0 && rapid.IntRange(0, 4).Draw(t, "dice") == 0 {
					m.cancel(t, rapid.IntRange(0, len(m.stops)-1).Draw(t, "index"))
				}
			},
		})
	})
}
