package jobs

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// runStep is a step in the life of a run.
type runStep int

// Steps of a run, in their order.
const (
	stepOrdered runStep = iota
	stepAnswered
	stepListed
	stepReleased
	stepEndListed
	stepEndStored
	stepEndAcknowledged
	stepCount
)

var stepNames = [stepCount]string{"ordered", "answered", "listed", "released", "end listed", "end stored", "end acknowledged"}

// String returns the name of the step.
func (s runStep) String() string { return stepNames[s] }

// tracedRun is a run with the entries that show its steps.
type tracedRun struct {
	number int
	hosts  []string
	steps  [stepCount][]stepEntry
}

// stepEntry is an entry that shows a step of a run, with its evidence.
type stepEntry struct {
	*timelineEntry
	evidence string
}

// traceRuns returns the runs of a task by their numbers, from entries in order of time.
func traceRuns(task carobkeel.TaskName, entries []timelineEntry) []*tracedRun {
	byNumber := make(map[int]*tracedRun)
	for i := range entries {
		e := &entries[i]
		if e.line.Task != task.String() || e.line.Run == 0 {
			continue
		}
		if byNumber[e.line.Run] == nil {
			byNumber[e.line.Run] = &tracedRun{number: e.line.Run}
		}
		byNumber[e.line.Run].add(e)
	}
	var found []*tracedRun
	for _, r := range byNumber {
		r.addInheritedReleases(entries)
		r.addCovering(entries)
		found = append(found, r)
	}
	slices.SortFunc(found, func(a, b *tracedRun) int { return cmp.Compare(a.number, b.number) })
	return found
}

// add adds an entry that names the run.
func (r *tracedRun) add(e *timelineEntry) {
	l := &e.line
	if l.Host != "" && !slices.Contains(r.hosts, l.Host) {
		r.hosts = append(r.hosts, l.Host)
	}
	switch l.Message {
	case dispatch.DecidedRunStarted, dispatch.DecidedStartRepeated:
		r.show(stepOrdered, e, cmp.Or(l.Detail, "order 1"))
	case dispatch.DecidedStartAnswered:
		r.show(stepAnswered, e, fmt.Sprintf("%s, listing %d", l.Detail, l.Listing))
	case orderMessage:
		if l.Order == dispatch.OrderStart.String() {
			r.show(stepAnswered, e, l.Result+", at the sidecar")
		}
	case dispatch.DecidedRunAdopted:
		r.show(stepListed, e, "adopted: "+l.Detail)
	case dispatch.DecidedRunListed:
		r.show(stepListed, e, fmt.Sprintf("listing %d", l.Listing))
	case dispatch.DecidedRunGivenUp:
		r.show(stepReleased, e, l.Detail)
	case dispatch.DecidedRunEnded:
		r.show(stepReleased, e, "by its end")
		r.show(stepEndListed, e, describeEnd(l))
	case dispatch.DecidedGivenUpRunEnded, dispatch.DecidedUnknownRunEnded:
		r.show(stepEndListed, e, describeEnd(l))
	}
}

func (r *tracedRun) show(step runStep, e *timelineEntry, evidence string) {
	r.steps[step] = append(r.steps[step], stepEntry{timelineEntry: e, evidence: evidence})
}

func describeEnd(l *logLine) string {
	return fmt.Sprintf("%s, end %d in listing %d", l.Detail, l.End, l.Listing)
}

// addInheritedReleases adds what let a later holder take the run as over that an earlier one had
// not released: a listing that lacks it, or the expiry of the earlier holder's leases.
func (r *tracedRun) addInheritedReleases(entries []timelineEntry) {
	for i := range entries {
		e := &entries[i]
		inherited := e.line.Message == dispatch.DecidedInheritedWorkerListed || e.line.Message == dispatch.DecidedInheritedLeaseExpired
		if inherited && slices.Contains(r.hosts, e.line.Host) && r.isUnreleasedAt(e) {
			r.show(stepReleased, e, string(e.line.Message)+": "+e.line.Detail)
		}
	}
}

// isUnreleasedAt reports whether at an entry of a holder the run was left by an earlier one, and
// not listed to this one.
func (r *tracedRun) isUnreleasedAt(e *timelineEntry) bool {
	ordered := slices.ContainsFunc(r.steps[stepOrdered], func(s stepEntry) bool { return s.line.Epoch < e.line.Epoch })
	if !ordered {
		return false
	}
	for _, s := range slices.Concat(r.steps[stepReleased], r.steps[stepEndListed]) {
		if !s.at.After(e.at) {
			return false
		}
	}
	return !slices.ContainsFunc(r.steps[stepListed], func(s stepEntry) bool { return s.line.Epoch == e.line.Epoch && !s.at.After(e.at) })
}

// addCovering adds, for each listed end with a number, the first entries that show it as stored
// and as acknowledged.
func (r *tracedRun) addCovering(entries []timelineEntry) {
	for _, end := range r.steps[stepEndListed] {
		if end.line.End == 0 {
			continue
		}
		stored := firstCovering(entries, end, dispatch.DecidedProgressStored)
		switch {
		case end.line.Revision == 0, stored != nil && stored.at.Before(end.at):
			r.show(stepEndStored, end.timelineEntry, fmt.Sprintf("revision %d, stored before", end.line.Revision))
		case stored != nil:
			r.show(stepEndStored, stored, fmt.Sprintf("revision %d", stored.line.Revision))
		}
		if e := firstCovering(entries, end, dispatch.DecidedEndsAcknowledged); e != nil {
			r.show(stepEndAcknowledged, e, fmt.Sprintf("up to end %d", e.line.End))
		}
	}
}

// firstCovering returns the first entry with a message that covers an end, nil for none.
func firstCovering(entries []timelineEntry, end stepEntry, message dispatch.DecisionKind) *timelineEntry {
	for i := range entries {
		if e := &entries[i]; e.line.Message == message && e.line.covers(&end.line) {
			return e
		}
	}
	return nil
}

// hostsOf returns the hosts of runs.
func hostsOf(traced []*tracedRun) map[string]bool {
	hosts := make(map[string]bool)
	for _, r := range traced {
		for _, host := range r.hosts {
			hosts[host] = true
		}
	}
	return hosts
}

// acknowledgementsOf returns the entries that acknowledge ends of runs.
func acknowledgementsOf(traced []*tracedRun) map[*timelineEntry]bool {
	found := make(map[*timelineEntry]bool)
	for _, r := range traced {
		for _, s := range r.steps[stepEndAcknowledged] {
			found[s.timelineEntry] = true
		}
	}
	return found
}

// tablePadding is the number of blanks between two columns.
const tablePadding = 2

// writeTable writes a row for each entry that shows a step of a run, and one with a dash for each
// step that none shows.
func (t timeline) writeTable(out io.Writer, traced []*tracedRun) error {
	if len(traced) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "run\tstep\tseconds\thost\tepoch\tevidence")
	for _, r := range traced {
		for step := range stepCount {
			if len(r.steps[step]) == 0 {
				fmt.Fprintf(w, "%d\t%v\t-\t-\t-\t-\n", r.number, step)
			}
			for _, s := range r.steps[step] {
				fmt.Fprintf(w, "%d\t%v\t%.3f\t%s\t%d\t%s\n", r.number, step, t.seconds(s.timelineEntry), s.host(), s.line.Epoch, s.evidence)
			}
		}
	}
	fmt.Fprintln(w)
	return errors.WithStack(w.Flush())
}

// host returns the host that the entry is about, or that wrote it. Stored progress is about none.
func (s stepEntry) host() string { return cmp.Or(s.line.Host, s.source) }
