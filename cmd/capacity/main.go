// Command capacity computes docs/CAPACITY.md: the resources that each role
// needs at the target size of the project, from the figures measured by the
// benchmark and a model of each role.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/measurement"
	"github.com/carobkeel/carobkeel/internal/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	history := fs.String("history", "docs/MEASUREMENTS.md", "page of measurements to read")
	extra := fs.String("results", "", "file of JSON lines of the benchmark to read as well")
	out := fs.String("out", "docs/CAPACITY.md", "page to write")
	if err := settings.Parse(fs, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	records, err := readRecords(*history, *extra)
	if err == nil {
		err = os.WriteFile(*out, []byte(render(newResults(records))), 0o644)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "capacity: %v\n", err)
		return 1
	}
	return 0
}

func readRecords(history, extra string) ([]measurement.Record, error) {
	page, err := os.ReadFile(history)
	if err != nil {
		return nil, errors.Wrap(err, "read the measurements")
	}
	records := measurement.ParseHistory(string(page)).Records()
	if extra == "" {
		return records, nil
	}
	more, err := measurement.ReadFile(extra)
	return append(records, more...), err
}
