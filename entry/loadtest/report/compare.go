package report

import (
	"fmt"
	"io"
	"strconv"
)

// Change is one figure of two reports, A and B.
type Change struct {
	Group  string
	Figure string
	Unit   string
	A, B   float64
	// Worse and Better report that B is worse or better than A by more than the
	// tolerance.
	Worse, Better bool
}

// tolerance is the relative change up to which a latency counts as unchanged, since
// it may be noise.
const tolerance = 0.05

// Compare returns the figures of the groups that both reports have, group by group.
func Compare(a, b *Report) []Change {
	before := map[string]Group{a.Totals.label(): a.Totals}
	for _, group := range a.Groups {
		before[group.label()] = group
	}
	var changes []Change
	for _, after := range append([]Group{b.Totals}, b.Groups...) {
		if group, ok := before[after.label()]; ok {
			changes = append(changes, compareGroups(group, after)...)
		}
	}
	return changes
}

func compareGroups(a, b Group) []Change {
	var changes []Change
	label := b.label()
	if a.Count.Answered > 0 && b.Count.Answered > 0 {
		before, after := a.Answered.list(), b.Answered.list()
		for i, figure := range latencyHeader()[1:] {
			changes = append(changes, lowerIsBetter(label, figure, "ms", float64(before[i]), float64(after[i]), tolerance))
		}
	}
	before, after := a.Count.shares(), b.Count.shares()
	for i, figure := range countHeader()[2:] {
		change := lowerIsBetter(label, figure, "%", before[i], after[i], 0)
		if figure == "answered" {
			change.Worse, change.Better = change.Better, change.Worse
		}
		changes = append(changes, change)
	}
	return changes
}

// shares returns the counts other than Sent, in the order of countHeader, in
// percent of the planned requests, so that runs of different lengths can be
// compared.
func (c Counts) shares() []float64 {
	planned := float64(max(c.Sent+c.Unsent, 1))
	var shares []float64
	for _, count := range c.list()[1:] {
		shares = append(shares, 100*float64(count)/planned)
	}
	return shares
}

func lowerIsBetter(group, figure, unit string, a, b, tolerated float64) Change {
	return Change{
		Group: group, Figure: figure, Unit: unit, A: a, B: b,
		Worse: b > a*(1+tolerated), Better: b < a*(1-tolerated),
	}
}

// verdict returns "worse", "better" or "same".
func (c Change) verdict() string {
	switch {
	case c.Worse:
		return "worse"
	case c.Better:
		return "better"
	}
	return "same"
}

// relative returns the change in percent of A, or "-" if A is zero.
func (c Change) relative() string {
	if c.A == 0 {
		return "-"
	}
	return fmt.Sprintf("%+.1f%%", 100*(c.B-c.A)/c.A)
}

// WriteComparison writes a plain-text comparison of the two reports.
func WriteComparison(w io.Writer, a, b *Report) error {
	for _, r := range []struct {
		name   string
		report *Report
	}{{"A", a}, {"B", b}} {
		s := r.report.Settings
		fmt.Fprintf(w, "%s: %s, commit %s, %g requests a second for %s, seed %d, mix %s\n", r.name,
			r.report.Started.UTC().Format("2006-01-02 15:04:05"), commitName(s.Commit), s.Rate, s.Duration, s.Seed, s.Mix)
	}
	if a.Settings.load() != b.Settings.load() {
		fmt.Fprintln(w, "the two runs were asked for different loads")
	}
	fmt.Fprintln(w)
	var rows [][]string
	for _, c := range Compare(a, b) {
		if c.A == 0 && c.B == 0 {
			continue
		}
		rows = append(rows, []string{c.Group, c.Figure, format(c.A), format(c.B), c.Unit, c.relative(), c.verdict()})
	}
	return writeTable(w, []string{"requests", "figure", "A", "B", "unit", "change", "B is"}, rows)
}

func commitName(commit string) string {
	if commit == "" {
		return "unknown"
	}
	return commit
}

func format(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) }

// load describes the requested load: all settings except the seed and the commit.
func (s Settings) load() string {
	text := fmt.Sprint(s.Rate, s.Duration, s.Arrivals, s.Mix, s.Entries)
	for _, flood := range s.Floods {
		text += ";" + flood.Text
	}
	return text
}
