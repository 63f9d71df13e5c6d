package jobs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/internal/judge/recordfile"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 4 << 20

// timelineEntry is a line of a timeline.
type timelineEntry struct {
	at     time.Time
	source string
	text   string
	// line has the fields of a log line.
	line logLine
}

// timeline is what was seen of a task.
type timeline struct {
	task    carobkeel.TaskName
	began   time.Time
	entries []timelineEntry
}

// Explain writes a table of the runs of a task, and then all lines on it in order of time: those
// that name the task, or its job and no other task, and those on the hosts and the holders of its
// runs. The source is the folder of a broken play, or a file of logs that another tool printed.
// A folder has the record, the troubles, and the calls without a task that workers carried out
// late where the task ran, too.
func Explain(out io.Writer, source, taskName string) error {
	task, err := carobkeel.ParseTaskName(taskName)
	if err != nil {
		return err
	}
	info, err := os.Stat(source)
	if err != nil {
		return errors.WithStack(err)
	}
	read := readPrefixedLog
	if info.IsDir() {
		read = readFolder
	}
	t, err := read(source, task)
	if err != nil {
		return err
	}
	slices.SortStableFunc(t.entries, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	return t.write(out)
}

// readFolder returns what the folder of a broken play has on a task.
func readFolder(folder string, task carobkeel.TaskName) (timeline, error) {
	seen, err := readRecord(filepath.Join(folder, recordFile))
	if err != nil {
		return timeline{}, err
	}
	t := timeline{task: task, began: seen.Began, entries: recordEntries(seen, task)}
	logs, err := filepath.Glob(filepath.Join(folder, "*"+logSuffix))
	if err != nil {
		return t, errors.WithStack(err)
	}
	filter := newLineFilter(seen, task)
	for _, path := range logs {
		found, err := logEntries(path, filter)
		if err != nil {
			return t, err
		}
		t.entries = append(t.entries, found...)
	}
	return t, nil
}

// write writes the table of the runs and the lines.
func (t timeline) write(out io.Writer) error {
	runs := traceRuns(t.task, t.entries)
	if err := t.writeTable(out, runs); err != nil {
		return err
	}
	hosts := hostsOf(runs)
	acknowledgements := acknowledgementsOf(runs)
	for i := range t.entries {
		e := &t.entries[i]
		if !e.line.isAboutHost() || hosts[e.line.Host] && (!e.line.isAcknowledgement() || acknowledgements[e]) {
			fmt.Fprintf(out, "%8.3f  %-9s %s\n", t.seconds(e), e.source, e.text)
		}
	}
	return nil
}

// seconds returns when an entry was written, in seconds since the beginning.
func (t timeline) seconds(e *timelineEntry) float64 { return e.at.Sub(t.began).Seconds() }

func readRecord(path string) (judge.Play, error) {
	file, err := os.Open(path)
	if err != nil {
		return judge.Play{}, errors.WithStack(err)
	}
	defer file.Close()
	return recordfile.Read(file)
}

func recordEntries(seen judge.Play, task carobkeel.TaskName) []timelineEntry {
	var entries []timelineEntry
	for _, e := range judge.Timeline(seen, task) {
		if aboutOtherEnds(e.Observation) {
			continue
		}
		text, err := json.Marshal(e.Observation)
		if err != nil {
			text = []byte(err.Error())
		}
		entries = append(entries, timelineEntry{
			at: seen.Began.Add(e.At), source: "record", text: fmt.Sprintf("#%d %s %s", e.Number, e.Kind(), text),
		})
	}
	return entries
}

// aboutOtherEnds reports whether an observation is about all ends of a worker. The log of the
// stand-ins has a line on the task's own.
func aboutOtherEnds(o judge.Observation) bool {
	switch o.(type) {
	case judge.EndsListed, judge.EndsAcknowledged:
		return true
	}
	return false
}

// lineFilter chooses lines of logs.
type lineFilter struct {
	task string
	job  string
	// tasks matches the names of the job's tasks.
	tasks *regexp.Regexp
	// workers are the names of the workers that ran the task.
	workers map[string]bool
}

func newLineFilter(seen judge.Play, task carobkeel.TaskName) *lineFilter {
	f := &lineFilter{
		task: task.String(), job: string(task.Job), tasks: regexp.MustCompile(string(task.Job) + `(\.\d+){3}`),
		workers: make(map[string]bool),
	}
	for _, e := range seen.Events {
		if run, ok := e.Observation.(judge.RunStarted); ok && run.Task == task {
			f.workers[run.Worker.ID] = true
		}
	}
	return f
}

// concerns reports whether a line belongs to the timeline.
func (f *lineFilter) concerns(line logLine, text string) bool {
	names := f.tasks.FindAllString(text, -1)
	switch {
	case slices.Contains(names, f.task):
		return true
	case len(names) == 0 && strings.Contains(text, f.job):
		return true
	case line.Part == troublePart, line.isAboutHost(), line.isAboutHolder():
		return true
	}
	return line.Late && line.Task == "" && f.workers[line.Worker]
}

// logEntries returns the lines of a log that the filter chooses. A line that is not JSON, as
// of a panic, belongs to every timeline; it has the time of the line before.
func logEntries(path string, filter *lineFilter) ([]timelineEntry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer file.Close()
	source := strings.TrimSuffix(filepath.Base(path), logSuffix)
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	var entries []timelineEntry
	var last time.Time
	for scanner.Scan() {
		text := scanner.Text()
		var line logLine
		plain := json.Unmarshal([]byte(text), &line) != nil
		if !plain {
			last = line.Time
		}
		if plain || filter.concerns(line, text) {
			entries = append(entries, timelineEntry{at: last, source: source, text: text, line: line})
		}
	}
	return entries, errors.Wrap(scanner.Err(), "read "+path)
}
