package jobs

import (
	"bufio"
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/judge"
)

// prefixedLine matches a line of a process as another tool prints it: the seconds since the
// beginning, the host, and the line itself.
var prefixedLine = regexp.MustCompile(`^\s*(\d+(?:\.\d+)?)\s+(\S+)\s+(\{.*)$`)

// readPrefixedLog returns what a file of logs that another tool printed has on a task. Other lines
// of the file are passed over. A line that is cut off is kept if it names the task.
func readPrefixedLog(path string, task carobkeel.TaskName) (timeline, error) {
	t := timeline{task: task, began: time.Unix(0, 0)}
	file, err := os.Open(path)
	if err != nil {
		return t, errors.WithStack(err)
	}
	defer file.Close()
	filter := newLineFilter(judge.Play{}, task)
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if e, ok := parsePrefixedLine(scanner.Text(), t.began); ok && filter.concerns(e.line, e.text) {
			t.entries = append(t.entries, e)
		}
	}
	return t, errors.Wrap(scanner.Err(), "read "+path)
}

// parsePrefixedLine returns a line of a process, and false if the text is none.
func parsePrefixedLine(text string, began time.Time) (timelineEntry, bool) {
	parts := prefixedLine.FindStringSubmatch(text)
	if parts == nil {
		return timelineEntry{}, false
	}
	seconds, err := strconv.ParseFloat(parts[1], 64)
	if err != nil {
		return timelineEntry{}, false
	}
	e := timelineEntry{at: began.Add(time.Duration(seconds * float64(time.Second))), source: parts[2], text: parts[3]}
	if json.Unmarshal([]byte(e.text), &e.line) != nil {
		e.line = logLine{}
	}
	return e, true
}
