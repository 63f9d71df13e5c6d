package report

import (
	"fmt"
	"io"
	"sort"
	"strconv"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
	"github.com/pkg/errors"
)

// WriteText writes the report as plain text.
func (r *Report) WriteText(w io.Writer) error {
	s := r.Settings
	fmt.Fprintf(w, "load: %s arrivals, %g requests a second for %s through %d entries, seed %d\n",
		s.Arrivals, s.Rate, s.Duration, s.Entries, s.Seed)
	for _, flood := range s.Floods {
		fmt.Fprintf(w, "flood: %s\n", flood.Text)
	}
	if r.EndedAfter > 0 {
		fmt.Fprintf(w, "ended early, after %s\n", r.EndedAfter)
	}
	fmt.Fprintln(w)
	if err := writeTable(w, countHeader(), r.rows(countRow)); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nlatency of answers from the intended start, in milliseconds")
	if err := writeTable(w, latencyHeader(), r.rows(answeredRow)); err != nil {
		return err
	}
	if len(r.Totals.Codes) > 0 {
		fmt.Fprintln(w, "\nrefusals by result code and by what they say of the request")
		if err := writeTable(w, []string{"code", "name", "ran", "count"}, r.codeRows()); err != nil {
			return err
		}
	}
	r.writeReasons(w)
	return nil
}

// String returns the duration in the form "12.5s".
func (s Seconds) String() string { return strconv.FormatFloat(float64(s), 'g', 6, 64) + "s" }

// String returns the number of milliseconds with three decimal places.
func (m Millis) String() string { return strconv.FormatFloat(float64(m), 'f', 3, 64) }

// label returns the name of the group in tables.
func (g Group) label() string {
	if g.By == "" {
		return "all"
	}
	return g.By + " " + g.Name
}

// rows returns the rows of a table: one for the totals and one for each group.
func (r *Report) rows(row func(Group) []string) [][]string {
	rows := [][]string{row(r.Totals)}
	for _, group := range r.Groups {
		rows = append(rows, row(group))
	}
	return rows
}

func countHeader() []string {
	return []string{
		"requests", "sent", "answered", "refused", "failed", "mismatched", "lost", "unreachable", "doubled", "unsent",
	}
}

func countRow(g Group) []string {
	row := []string{g.label()}
	for _, count := range g.Count.list() {
		row = append(row, strconv.FormatUint(count, 10))
	}
	return row
}

// list returns the counts in the order of countHeader.
func (c Counts) list() []uint64 {
	return []uint64{
		c.Sent, c.Answered, c.Refused, c.Failed, c.Mismatched, c.Lost, c.Unreachable, c.RanTwice, c.Unsent,
	}
}

func latencyHeader() []string {
	return []string{"requests", "mean", "p50", "p90", "p99", "p99.9", "p99.99", "max"}
}

func answeredRow(g Group) []string {
	row := []string{g.label()}
	for _, value := range g.Answered.list() {
		if g.Count.Answered == 0 {
			row = append(row, "-")
			continue
		}
		row = append(row, value.String())
	}
	return row
}

// list returns the values in the order of latencyHeader.
func (l Latency) list() []Millis {
	return []Millis{l.Mean, l.P50, l.P90, l.P99, l.P999, l.P9999, l.Max}
}

func (r *Report) codeRows() [][]string {
	var rows [][]string
	for _, c := range r.Totals.Codes {
		rows = append(rows, []string{
			strconv.Itoa(int(c.Code)), c.Name, c.Ran, strconv.FormatUint(c.Count, 10),
		})
	}
	return rows
}

func (r *Report) writeReasons(w io.Writer) {
	if len(r.Reasons) == 0 {
		return
	}
	fmt.Fprintln(w, "\nrequests that went wrong, by what was seen")
	reasons := make([]string, 0, len(r.Reasons))
	for reason := range r.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(w, "%d %s\n", r.Reasons[reason], reason)
	}
}

// writeTable writes a table whose columns are separated by spaces, without rules.
func writeTable(w io.Writer, header []string, rows [][]string) error {
	table := tablewriter.NewTable(w,
		tablewriter.WithRendition(tw.Rendition{
			Borders: tw.BorderNone,
			Settings: tw.Settings{
				Separators: tw.SeparatorsNone,
				Lines:      tw.LinesNone,
			},
		}),
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithAlignment(alignment(len(header))),
	)
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return errors.Wrap(err, "write a table")
	}
	return errors.Wrap(table.Render(), "write a table")
}

// alignment aligns the first column, of names, to the left and the others to the
// right.
func alignment(columns int) tw.Alignment {
	all := tw.MakeAlign(columns, tw.AlignRight)
	all[0] = tw.AlignLeft
	return all
}
