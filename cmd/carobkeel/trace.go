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

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// logLine is one structured line of a log.
type logLine struct {
	raw    string
	fields map[string]any
	// time is the line's own time, in RFC 3339, by which lines are ordered.
	time string
}

// traceCommand follows an id through the logs of several processes.
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
				printTrace(streams.out, &lines[i], *asJSON)
			}
			if len(lines) == 0 {
				fmt.Fprintf(streams.err, "carobkeel: no line names %s\n", fs.Arg(0))
				return exitFailure
			}
			return exitOK
		},
	}
}

// readTrace returns the lines of files that name an id, in the order of time.
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

// parseLogLine reads a line that names the id. A collector may have put words
// before the JSON object.
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

// shownFirst are the fields that begin a readable line.
var shownFirst = []string{"time", "level", "part", "message"}

func printTrace(w io.Writer, line *logLine, asJSON bool) {
	if asJSON {
		fmt.Fprintln(w, line.raw)
		return
	}
	var text []string
	for _, name := range shownFirst {
		text = append(text, fmt.Sprint(line.fields[name]))
	}
	var names []string
	for name := range line.fields {
		if !slices.Contains(shownFirst, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		text = append(text, fmt.Sprintf("%s=%v", name, line.fields[name]))
	}
	fmt.Fprintln(w, strings.Join(text, " "))
}
