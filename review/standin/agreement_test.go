package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/internal/judge/recordfile"
)

// replay enters the events of a play in a record of the stand-in.
func replay(play judge.Play) *record {
	r := newRecord()
	running := make(map[judge.RunID]bool)
	for _, event := range play.Events {
		switch seen := event.Observation.(type) {
		case judge.RunStarted:
			running[seen.RunID] = true
			r.start(seen.Worker.ID, seen.Task.String(), seen.Run, uint64(seen.Epoch))
		case judge.RunEnded:
			delete(running, seen.RunID)
			r.end(seen.Worker.ID, seen.Task.String(), seen.Run, string(seen.Outcome), seen.EndNumber)
		case judge.EndsAcknowledged:
			for number := uint64(1); number <= seen.Through; number++ {
				r.acknowledge(seen.Worker.ID, number)
			}
		case judge.LeaseExpired:
			r.lapse(seen.Worker.ID)
		case judge.WorkerEnded:
			for run := range running {
				if run.Worker == seen.Worker {
					delete(running, run)
					r.end(run.Worker.ID, run.Task.String(), run.Run, "lost", 0)
				}
			}
			r.forget(seen.Worker.ID)
		}
	}
	return r
}

// brokenByBoth returns the starts that break TWICE by the record of the stand-in, and by
// the judge. Ends that were only listed count for the judge alone, so lists are left out.
func brokenByBoth(play judge.Play) (standin, judged map[string]bool) {
	var events []judge.Event
	for _, event := range play.Events {
		if _, listed := event.Observation.(judge.EndsListed); !listed {
			events = append(events, event)
		}
	}
	play = judge.NewPlay(play.Began, play.End, events)
	standin, judged = make(map[string]bool), make(map[string]bool)
	for _, line := range replay(play).twice() {
		var task, worker string
		var run int
		if _, err := fmt.Sscanf(line, "%s run %d on %s began", &task, &run, &worker); err != nil {
			panic(err)
		}
		standin[fmt.Sprintf("%s run %d on %s", task, run, worker)] = true
	}
	for _, f := range judge.Evaluate(play, judge.Bounds{}) {
		if f.Rule != judge.RuleTwice {
			continue
		}
		for _, number := range f.Events {
			if seen, ok := play.Events[number-1].Observation.(judge.RunStarted); ok && play.Events[number-1].At == f.At {
				judged[fmt.Sprintf("%s: run %d on %s", seen.Task, seen.Run, seen.Worker.ID)] = true
			}
		}
	}
	return standin, judged
}

// The play is of case 4, as the code was before its fault was fixed.
func TestJudgeAgreesWithTheStandinOnARecordedPlay(t *testing.T) {
	g := NewWithT(t)
	file, err := os.Open("testdata/late-beat.jsonl")
	g.Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	play, err := recordfile.Read(file)
	g.Expect(err).NotTo(HaveOccurred())
	standin, judged := brokenByBoth(play)
	g.Expect(standin).To(HaveLen(6))
	g.Expect(judged).To(Equal(standin))
}

// drawnPlay draws what a few workers did with a few tasks. Each event has a time of its own.
type drawnPlay struct {
	events  []judge.Event
	workers []judge.Worker
	ends    map[judge.Worker]uint64
	running []judge.RunID
	runs    int
}

func (d *drawnPlay) add(seen judge.Observation) {
	d.events = append(d.events, judge.Event{At: time.Duration(len(d.events)+1) * time.Millisecond, Observation: seen})
}

func (d *drawnPlay) step(t *rapid.T) {
	i := rapid.IntRange(0, len(d.workers)-1).Draw(t, "worker")
	w := d.workers[i]
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1, 2:
		d.runs++
		task := carobkeel.TaskName{Job: "job", Index: rapid.IntRange(0, 2).Draw(t, "task")}
		id := judge.RunID{Worker: w, Task: task, Run: d.runs}
		d.running = append(d.running, id)
		d.add(judge.RunStarted{RunID: id})
	case 3, 4, 5:
		d.end(t)
	case 6, 7:
		d.add(judge.EndsAcknowledged{Worker: w, Through: rapid.Uint64Range(0, d.ends[w]).Draw(t, "through")})
	case 8:
		d.add(judge.LeaseExpired{Worker: w})
	case 9:
		d.restart(i)
	}
}

func (d *drawnPlay) end(t *rapid.T) {
	if len(d.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.running)-1).Draw(t, "run")
	id := d.running[i]
	d.running = append(d.running[:i], d.running[i+1:]...)
	d.ends[id.Worker]++
	how := rapid.SampledFrom([]judge.Outcome{judge.OutcomeDone, judge.OutcomeDone, judge.OutcomeStopped}).Draw(t, "how")
	d.add(judge.RunEnded{RunID: id, Outcome: how, EndNumber: d.ends[id.Worker]})
}

func (d *drawnPlay) restart(i int) {
	old := d.workers[i]
	d.workers[i].Incarnation++
	var left []judge.RunID
	for _, id := range d.running {
		if id.Worker != old {
			left = append(left, id)
		}
	}
	d.running = left
	d.add(judge.WorkerEnded{Worker: old})
}

func TestJudgeAgreesWithTheStandinOnDrawnPlays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &drawnPlay{workers: []judge.Worker{{ID: "w1"}, {ID: "w2"}, {ID: "w3"}}, ends: make(map[judge.Worker]uint64)}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			d.step(t)
		}
		standin, judged := brokenByBoth(judge.NewPlay(time.Unix(0, 0), time.Minute, d.events))
		NewWithT(t).Expect(judged).To(Equal(standin))
	})
}
