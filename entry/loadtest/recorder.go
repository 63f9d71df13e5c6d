package loadtest

import (
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
	"github.com/carobkeel/carobkeel/entry/loadtest/report"
)

const ranCount = 3

// codeIndex maps each listed result code to its index in recorder.codes. The last
// element of codes counts unlisted codes.
var codeIndex = func() map[carobkeel.Code]int {
	index := make(map[carobkeel.Code]int)
	for i, info := range carobkeel.Codes() {
		index[info.Code] = i
	}
	return index
}()

// recorder counts the results of one share of the mix. It is safe for concurrent
// use.
type recorder struct {
	sent, unsent, doubled atomic.Uint64
	outcomes              [outcomeCount]atomic.Uint64
	codes                 [][ranCount]atomic.Uint64
	answered, refused     *histogram
}

func newRecorder() *recorder {
	return &recorder{
		codes:    make([][ranCount]atomic.Uint64, len(codeIndex)+1),
		answered: newHistogram(runPrecision),
		refused:  newHistogram(runPrecision),
	}
}

func (r *recorder) record(result Result) {
	r.outcomes[result.Outcome].Add(1)
	if result.RanTwice {
		r.doubled.Add(1)
	}
	switch result.Outcome {
	case Answered:
		r.answered.record(result.Latency)
	case Refused:
		r.refused.record(result.Latency)
		index, ok := codeIndex[result.Code]
		if !ok {
			index = len(codeIndex)
		}
		r.codes[index][result.Ran].Add(1)
	}
}

func (r *recorder) addTo(counts *report.Counts) {
	counts.Sent += r.sent.Load()
	counts.Unsent += r.unsent.Load()
	counts.RanTwice += r.doubled.Load()
	counts.Answered += r.outcomes[Answered].Load()
	counts.Refused += r.outcomes[Refused].Load()
	counts.Failed += r.outcomes[Failed].Load()
	counts.Mismatched += r.outcomes[Mismatched].Load()
	counts.Lost += r.outcomes[Lost].Load()
	counts.Unreachable += r.outcomes[Unreachable].Load()
}

// slot counts the results of the requests whose intended start is in one interval
// of the run.
type slot struct {
	answered, refused, bad atomic.Uint64
	latency                *histogram
}

func (s *slot) record(result Result) {
	switch result.Outcome {
	case Answered:
		s.answered.Add(1)
		s.latency.record(result.Latency)
	case Refused:
		s.refused.Add(1)
	default:
		s.bad.Add(1)
	}
}

// timeline divides a run into slots of equal length.
type timeline struct {
	interval time.Duration
	slots    []slot
}

// maxSlots is the maximum number of slots of a timeline, unless even the longest
// interval gives more.
const maxSlots = 100

// intervals are the possible lengths of a slot.
var intervals = []time.Duration{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
	30 * time.Minute, time.Hour,
}

func newTimeline(duration time.Duration) *timeline {
	t := &timeline{interval: intervals[len(intervals)-1]}
	for _, interval := range intervals {
		if duration <= interval*maxSlots {
			t.interval = interval
			break
		}
	}
	t.slots = make([]slot, max(1, (duration+t.interval-1)/t.interval))
	for i := range t.slots {
		t.slots[i].latency = newHistogram(slotPrecision)
	}
	return t
}

// slotAt returns the slot of an intended start. A repeat may start after the end of
// the run; it is counted in the last slot.
func (t *timeline) slotAt(start time.Duration) *slot {
	return &t.slots[min(int(start/t.interval), len(t.slots)-1)]
}

func (t *timeline) report() []report.Slot {
	var slots []report.Slot
	for i := range t.slots {
		s := &t.slots[i]
		merged := newMergedHistogram()
		s.latency.addTo(merged)
		latency := report.LatencyOf(merged)
		slots = append(slots, report.Slot{
			At:       report.SecondsOf(time.Duration(i) * t.interval),
			Answered: s.answered.Load(), Refused: s.refused.Load(), Bad: s.bad.Load(),
			P50: latency.P50, P99: latency.P99, Max: latency.Max,
		})
	}
	return slots
}

// groupSum sums up the recorders of a group of shares.
type groupSum struct {
	group             report.Group
	answered, refused *hdrhistogram.Histogram
	codes             [][ranCount]uint64
}

func newGroupSum(by, name string) *groupSum {
	return &groupSum{
		group:    report.Group{By: by, Name: name},
		answered: newMergedHistogram(), refused: newMergedHistogram(),
		codes: make([][ranCount]uint64, len(codeIndex)+1),
	}
}

func (s *groupSum) add(r *recorder) {
	r.addTo(&s.group.Count)
	r.answered.addTo(s.answered)
	r.refused.addTo(s.refused)
	for i := range r.codes {
		for ran := range ranCount {
			s.codes[i][ran] += r.codes[i][ran].Load()
		}
	}
}

func (s *groupSum) report() report.Group {
	group := s.group
	group.Answered = report.LatencyOf(s.answered)
	group.Refused = report.LatencyOf(s.refused)
	infos := append(carobkeel.Codes(), carobkeel.CodeInfo{Code: unlistedCode, Name: "unlisted"})
	for i, info := range infos {
		for ran := range ranCount {
			if count := s.codes[i][ran]; count > 0 {
				group.Codes = append(group.Codes, report.CodeCount{
					Code: info.Code, Name: info.Name, Ran: carobkeel.Ran(ran).String(), Count: count,
				})
			}
		}
	}
	report.SortCodes(group.Codes)
	return group
}

// unlistedCode represents all codes that are not in the table of result codes.
const unlistedCode carobkeel.Code = 65535

// groups returns the results by service, by owner and by class.
func groups(mix plan.Mix, recorders []*recorder) []report.Group {
	var sums []*groupSum
	byKey := make(map[[2]string]*groupSum)
	add := func(by, name string, r *recorder) {
		key := [2]string{by, name}
		if byKey[key] == nil {
			byKey[key] = newGroupSum(by, name)
			sums = append(sums, byKey[key])
		}
		byKey[key].add(r)
	}
	for i, share := range mix {
		add("service", string(share.Service), recorders[i])
	}
	for i, share := range mix {
		add("owner", string(share.Owner), recorders[i])
	}
	for i, share := range mix {
		add("class", share.Class.String(), recorders[i])
	}
	var all []report.Group
	for _, s := range sums {
		all = append(all, s.report())
	}
	return all
}
