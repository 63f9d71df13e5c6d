package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
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

// traceCommand prints the log lines of several processes that contain an id.
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

// readTrace returns the log lines of the files that contain the id, sorted by
// time. The file name "-" is standard input.
func readTrace(id string, files []string, stdin io.Reader) ([]logLine, error) {
	var found []logLine
	for _, name := range files {
		lines, err := readTraceFile(id, name, stdin)
		if err != nil {
			return nil, err
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return found, nil
}

func readTraceFile(id, name string, stdin io.Reader) ([]logLine, error) {
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
		if line, ok := parseLogLine(scanner.Text(), id); ok {
			found = append(found, line)
		}
	}
	return found, errors.Wrap(scanner.Err(), name)
}

// parseLogLine parses a log line that contains the id. A log collector may have
// put text before the JSON object, which is skipped.
func parseLogLine(text, id string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, id) {
		return logLine{}, false
	}
	line := logLine{raw: text[start:]}
	if err := json.Unmarshal([]byte(line.raw), &line.fields); err != nil {
		return logLine{}, false
	}
	line.time, _ = line.fields["time"].(string)
	return line, true
}

// leadingFields are the fields printed first, without their names.
var leadingFields = []string{"time", "level", "part", "message"}

func printLogLine(w io.Writer, line *logLine, asJSON bool) {
	if asJSON {
		fmt.Fprintln(w, line.raw)
		return
	}
	var text []string
	for _, name := range leadingFields {
		text = append(text, fmt.Sprint(line.fields[name]))
	}
	var names []string
	for name := range line.fields {
		if !slices.Contains(leadingFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		text = append(text, fmt.Sprintf("%s=%v", name, line.fields[name]))
	}
	fmt.Fprintln(w, strings.Join(text, " "))
}
