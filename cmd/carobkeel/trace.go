package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// logLine is one log line in JSON.
type logLine struct {
	raw    string
	fields map[string]any
	// time is the time stamp of the line in RFC 3339, the sort key.
	time string
}

// idFilter chooses the lines that name an id. For the name of a task these are also the lines
// that name its job and no other task.
type idFilter struct {
	id string
	// job and tasks are set for the name of a task: tasks matches the names of the job's.
	job   string
	tasks *regexp.Regexp
}

func newIDFilter(id string) idFilter {
	task, err := carobkeel.ParseTaskName(id)
	if err != nil {
		return idFilter{id: id}
	}
	job := string(task.Job)
	return idFilter{id: id, job: job, tasks: regexp.MustCompile(regexp.QuoteMeta(job) + `(\.\d+){3}`)}
}

func (f idFilter) matches(text string) bool {
	if f.tasks == nil {
		return strings.Contains(text, f.id)
	}
	named := f.tasks.FindAllString(text, -1)
	if len(named) == 0 {
		return strings.Contains(text, f.job)
	}
	return slices.Contains(named, f.id)
}

// traceCommand prints the log lines of several processes that name an id.
func traceCommand() command {
	return command{
		name:    "trace",
		summary: "print what the logs say of an id: trace ID FILE… (- is standard input)",
		run: func(_ context.Context, args []string, streams streams) int {
			fs := newFlagSet("trace", streams)
			asJSON := fs.Bool("json", false, "print the lines as they are")
			if code, ok := parse(fs, args, streams); !ok {
				return code
			}
			if fs.NArg() < 2 {
				fmt.Fprintln(streams.err, "usage: carobkeel trace [-json] ID FILE…")
				return exitUsage
			}
			lines, err := readTrace(fs.Arg(0), fs.Args()[1:], streams.in)
			if err != nil {
				return fail(streams, err)
			}
			for i := range lines {
				printLogLine(streams.out, &lines[i], *asJSON)
			}
			if len(lines) == 0 {
				fmt.Fprintf(streams.err, "carobkeel: no line names %s\n", fs.Arg(0))
				return exitFailure
			}
			return exitOK
		},
	}
}

// readTrace returns the log lines of the files that name the id, sorted by
// time. The file name "-" is standard input.
func readTrace(id string, files []string, stdin io.Reader) ([]logLine, error) {
	var found []logLine
	filter := newIDFilter(id)
	for _, name := range files {
		lines, err := readTraceFile(filter, name, stdin)
		if err != nil {
			return nil, err
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return found, nil
}

func readTraceFile(filter idFilter, name string, stdin io.Reader) ([]logLine, error) {
	source := stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer file.Close()
		source = file
	}
	var found []logLine
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, ok := parseLogLine(scanner.Text(), filter); ok {
			found = append(found, line)
		}
	}
	return found, errors.Wrap(scanner.Err(), name)
}

// parseLogLine parses a log line that the filter chooses. A log collector may have
// put text before the JSON object, which is skipped.
func parseLogLine(text string, filter idFilter) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !filter.matches(text) {
		return logLine{}, false
	}
	line := logLine{raw: text[start:]}
	if err := json.Unmarshal([]byte(line.raw), &line.fields); err != nil {
		return logLine{}, false
	}
	line.time, _ = line.fields["time"].(string)
	return line, true
}

var (
	// leadingFields are the fields printed first, without their names.
	leadingFields = []string{"time", "level", "part", "message"}
	// nextFields are printed behind them in this order: what was decided and why, and
	// what it is about.
	nextFields = []string{"detail", "reason", "error", "order", "result", "job", "task", "run", "host"}
)

func printLogLine(w io.Writer, line *logLine, asJSON bool) {
	if asJSON {
		fmt.Fprintln(w, line.raw)
		return
	}
	var text []string
	for _, name := range leadingFields {
		text = append(text, fmt.Sprint(line.fields[name]))
	}
	for _, name := range fieldOrder(line.fields) {
		text = append(text, fmt.Sprintf("%s=%v", name, line.fields[name]))
	}
	fmt.Fprintln(w, strings.Join(text, " "))
}

// fieldOrder returns the names of the fields behind the leading ones: nextFields, and then
// the others in the order of the alphabet.
func fieldOrder(fields map[string]any) []string {
	var names, others []string
	for _, name := range nextFields {
		if _, has := fields[name]; has {
			names = append(names, name)
		}
	}
	for name := range fields {
		if !slices.Contains(leadingFields, name) && !slices.Contains(nextFields, name) {
			others = append(others, name)
		}
	}
	slices.Sort(others)
	return append(names, others...)
}
