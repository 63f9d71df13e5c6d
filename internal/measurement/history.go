package measurement

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// regressionThreshold is the relative change from the best earlier value above
// which a figure is listed as worse.
const regressionThreshold = 0.10

// historyTimeFormat is the format of a row's time, which is in UTC.
const historyTimeFormat = "2006-01-02T15:04Z"

const historyHeader = `# Measurements

Every figure by commit, as ` + "`make history`" + ` measured and appended it
(` + "`go run ./cmd/benchmark -history docs/MEASUREMENTS.md`" + `), and those of the
soak as ` + "`go run ./cmd/soak -history docs/MEASUREMENTS.md`" + ` did. The change is
against the line before with the same seed. Figures vary from run to run and from
host to host: compare lines of one host, and run again what looks worse.
`

// HistoryRow is one row of a figure's history.
type HistoryRow struct {
	Date, Commit string
	Seed         uint64
	Value        float64
	Target       string
	Verdict      string
}

// FigureHistory holds the rows of one figure, oldest first.
type FigureHistory struct {
	Figure, Unit string
	Rows         []HistoryRow
}

// History is the content of docs/MEASUREMENTS.md.
type History []FigureHistory

var (
	historyTitle = regexp.MustCompile(`^### (\S+) \((.*)\)$`)
	historyRow   = regexp.MustCompile(`^\| (\S+) \| (\S+) \| (\d+) \| (\S+) \| [^|]* \| (\S+) \| (\S+) \|$`)
)

// ParseHistory parses a page rendered by History.String.
func ParseHistory(page string) History {
	var history History
	for _, line := range strings.Split(page, "\n") {
		if title := historyTitle.FindStringSubmatch(line); title != nil {
			history = append(history, FigureHistory{Figure: title[1], Unit: title[2]})
			continue
		}
		row := historyRow.FindStringSubmatch(line)
		if row == nil || len(history) == 0 {
			continue
		}
		seed, _ := strconv.ParseUint(row[3], 10, 64)
		value, err := strconv.ParseFloat(row[4], 64)
		if err != nil {
			continue
		}
		last := &history[len(history)-1]
		last.Rows = append(last.Rows, HistoryRow{row[1], row[2], seed, value, row[5], row[6]})
	}
	return history
}

// AppendToFile adds the records to the page at a path, and creates the page if it
// does not exist.
func AppendToFile(path string, records []Record) error {
	page, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "read history")
	}
	history := ParseHistory(string(page)).Add(records)
	return errors.Wrap(os.WriteFile(path, []byte(history.String()), 0o644), "write history")
}

// Add appends each record to the history of its figure.
func (h History) Add(records []Record) History {
	for _, record := range records {
		row := HistoryRow{
			Date: record.Time.UTC().Format(historyTimeFormat), Commit: record.Commit, Seed: record.Seed,
			Value: record.Value, Target: record.Target, Verdict: record.Verdict,
		}
		h = h.addRow(record.Figure(), record.Unit, row)
	}
	sort.SliceStable(h, func(i, j int) bool { return suiteOf(h[i].Figure) < suiteOf(h[j].Figure) })
	return h
}

func suiteOf(figure string) string {
	suite, _, _ := strings.Cut(figure, "/")
	return suite
}

func (h History) addRow(figure, unit string, row HistoryRow) History {
	for i := range h {
		if h[i].Figure == figure {
			h[i].Rows = append(h[i].Rows, row)
			return h
		}
	}
	return append(h, FigureHistory{Figure: figure, Unit: unit, Rows: []HistoryRow{row}})
}

// Records returns every row of the history as a record.
func (h History) Records() []Record {
	var records []Record
	for _, figure := range h {
		suite, name, _ := strings.Cut(figure.Figure, "/")
		for _, row := range figure.Rows {
			at, err := time.Parse(historyTimeFormat, row.Date)
			if err != nil {
				continue
			}
			records = append(records, Record{
				Time: at, Commit: row.Commit, Seed: row.Seed, Suite: suite, Name: name,
				Value: row.Value, Unit: figure.Unit, Target: row.Target, Verdict: row.Verdict,
			})
		}
	}
	return records
}

// String renders the page.
func (h History) String() string {
	var page strings.Builder
	page.WriteString(historyHeader)
	page.WriteString("\n## Figures that got worse\n\n")
	regressions := h.regressions()
	if len(regressions) == 0 {
		fmt.Fprintf(&page, "None is more than %.0f%% worse than its best earlier line.\n", 100*regressionThreshold)
	}
	for _, line := range regressions {
		page.WriteString(line)
	}
	page.WriteString("\n## All figures\n")
	for _, figure := range h {
		figure.render(&page)
	}
	return page.String()
}

func (f FigureHistory) render(page *strings.Builder) {
	fmt.Fprintf(page, "\n### %s (%s)\n\n", f.Figure, f.Unit)
	page.WriteString("| date | commit | seed | value | change | target | verdict |\n|---|---|---|---|---|---|---|\n")
	for i, row := range f.Rows {
		change := "-"
		if previous, ok := f.previous(i); ok && previous.Value != 0 {
			change = fmt.Sprintf("%+.1f%%", 100*(row.Value-previous.Value)/previous.Value)
		}
		fmt.Fprintf(page, "| %s | %s | %d | %s | %s | %s | %s |\n", row.Date, row.Commit, row.Seed,
			strconv.FormatFloat(row.Value, 'g', 5, 64), change, row.Target, row.Verdict)
	}
}

// previous returns the last row before the given one with the same seed.
func (f FigureHistory) previous(index int) (HistoryRow, bool) {
	for i := index - 1; i >= 0; i-- {
		if f.Rows[i].Seed == f.Rows[index].Seed {
			return f.Rows[i], true
		}
	}
	return HistoryRow{}, false
}

// best returns the best row before the given one with the same seed.
func (f FigureHistory) best(index int, higherIsBetter bool) (HistoryRow, bool) {
	best, ok := f.previous(index)
	for _, row := range f.Rows[:index] {
		if row.Seed == f.Rows[index].Seed && (row.Value > best.Value) == higherIsBetter {
			best = row
		}
	}
	return best, ok
}

// regressions returns a line of text for each figure whose last value is worse
// than the best earlier one with the same seed. Higher is better for a figure whose
// target is a lower bound, and lower is better for every other figure.
func (h History) regressions() []string {
	var lines []string
	for _, figure := range h {
		last := len(figure.Rows) - 1
		if last < 1 {
			continue
		}
		row := figure.Rows[last]
		higherIsBetter := strings.HasPrefix(row.Target, ">=")
		best, ok := figure.best(last, higherIsBetter)
		isRegression := row.Value > best.Value*(1+regressionThreshold)
		if higherIsBetter {
			isRegression = row.Value < best.Value*(1-regressionThreshold)
		}
		if ok && isRegression {
			lines = append(lines, fmt.Sprintf("- %s: %.5g %s at %s, best earlier line %.5g\n",
				figure.Figure, row.Value, figure.Unit, row.Commit, best.Value))
		}
	}
	return lines
}
