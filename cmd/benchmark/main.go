// Command benchmark measures the code and prints a line for each figure:
// name, value, unit, target and verdict. A miss is printed as a miss and does
// not change the exit code.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel/internal/measurement"
	"github.com/carobkeel/carobkeel/internal/settings"
)

// options are what every suite is given.
type options struct {
	// seed fixes every random choice of a suite.
	seed uint64
}

// suite is a group of figures that are measured together.
type suite struct {
	name string
	run  func(ctx context.Context, o options) ([]figure, error)
}

// suites lists the suites in the order that they run in. Each has a file of
// its own in this folder.
func suites() []suite {
	return []suite{
		catalogueSuite(),
		telemetrySuite(),
		sidecarsSuite(),
		linksSuite(),
		storeSuite(),
		examplesSuite(),
		pathSuite(),
		queueSuite(),
		tableSuite(),
		placementSuite(),
		pickSuite(),
		floodSuite(),
		interferenceSuite(),
		schedulerSuite(),
		spreadSuite(),
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("benchmark", flag.ContinueOnError)
	only := fs.String("only", "", "comma-separated names of the suites to run; all where empty")
	seed := fs.Uint64("seed", 1, "seed of every random choice")
	out := fs.String("out", "", "file that the results are appended to as JSON lines")
	history := fs.String("history", "", "page of measurements that the results are added to")
	commit := fs.String("commit", "unknown", "commit that is measured")
	if err := settings.Parse(fs, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	info := runInfo{time: time.Now().UTC().Truncate(time.Second), commit: *commit, seed: *seed}
	records, failed := runSuites(*only, info)
	if err := save(records, *out, *history); err != nil {
		fmt.Fprintf(os.Stderr, "benchmark: %v\n", err)
		return 1
	}
	if failed {
		return 1
	}
	return 0
}

// runSuites runs the selected suites and prints their figures. A suite that
// fails does not stop the others.
func runSuites(only string, info runInfo) (records []measurement.Record, failed bool) {
	for _, s := range suites() {
		if !selected(only, s.name) {
			continue
		}
		figures, err := s.run(context.Background(), options{seed: info.seed})
		for _, f := range figures {
			fmt.Println(s.name + "/" + f.line())
			records = append(records, info.record(s.name, f))
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "benchmark: %s: %v\n", s.name, err)
			failed = true
		}
	}
	return records, failed
}

// save writes the records to the files that were asked for.
func save(records []measurement.Record, out, history string) error {
	if out != "" {
		if err := writeRecords(out, records); err != nil {
			return err
		}
	}
	if history != "" {
		return measurement.AppendToFile(history, records)
	}
	return nil
}

func selected(only, name string) bool {
	if only == "" {
		return true
	}
	for _, wanted := range strings.Split(only, ",") {
		if wanted == name {
			return true
		}
	}
	return false
}
