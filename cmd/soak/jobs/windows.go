package jobs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// reachedMessage is the message of a sidecar's line on an incarnation of its worker that has
	// answered a call that keeps those to earlier incarnations off.
	reachedMessage = "worker incarnation reached"
	// Percentiles that a play prints.
	medianPercent, tailPercent = 50, 99
)

// reachedLine is what is read of a line on an incarnation that was reached.
type reachedLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	// Born is when the incarnation began, in Unix milliseconds by the clock of the line's time.
	Born int64 `json:"born"`
	// First reports that it is the first one that the sidecar's process has reached.
	First bool `json:"first"`
}

// Windows are the times, in order, from the beginning of incarnations of workers until their
// sidecars reached them. Until then an incarnation carries out calls to the one before.
type Windows struct {
	// Running are those of sidecars that had reached an incarnation before, New those of others.
	Running []time.Duration `json:"running"`
	New     []time.Duration `json:"new"`
}

// readWindows returns the windows of the incarnations that began after a time, from the logs in a
// folder.
func readWindows(folder string, after time.Time) (Windows, error) {
	var w Windows
	paths, err := filepath.Glob(filepath.Join(folder, "*"+logSuffix))
	if err != nil {
		return w, errors.WithStack(err)
	}
	for _, path := range paths {
		if err := w.readLog(path, after); err != nil {
			return w, err
		}
	}
	slices.Sort(w.Running)
	slices.Sort(w.New)
	return w, nil
}

func (w *Windows) readLog(path string, after time.Time) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var line reachedLine
		if !strings.Contains(scanner.Text(), reachedMessage) || json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		born := time.UnixMilli(line.Born)
		if line.Message != reachedMessage || born.Before(after) {
			continue
		}
		group := &w.Running
		if line.First {
			group = &w.New
		}
		*group = append(*group, line.Time.Sub(born))
	}
	return errors.Wrap(scanner.Err(), "read "+path)
}

// String returns the number and the percentiles of the windows.
func (w Windows) String() string {
	return fmt.Sprintf("%s; %s by new sidecars", describeWindows(w.Running), describeWindows(w.New))
}

// describeWindows returns the number and the percentiles of windows in order.
func describeWindows(windows []time.Duration) string {
	if len(windows) == 0 {
		return "0"
	}
	at := func(percent int) time.Duration { return windows[(len(windows)-1)*percent/100] }
	return fmt.Sprintf("%d, median %v, 99%% %v, longest %v", len(windows), at(medianPercent), at(tailPercent), windows[len(windows)-1])
}
