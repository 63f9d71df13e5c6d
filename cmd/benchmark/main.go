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
		placementSuite(),
		interferenceSuite(),
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("benchmark", flag.ContinueOnError)
	only := fs.String("only", "", "comma-separated names of the suites to run; all where empty")
	seed := fs.Uint64("seed", 1, "seed of every random choice")
	if err := settings.Parse(fs, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	failed := false
	for _, s := range suites() {
		if !selected(*only, s.name) {
			continue
		}
		figures, err := s.run(context.Background(), options{seed: *seed})
		for _, f := range figures {
			fmt.Println(s.name + "/" + f.line())
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "benchmark: %s: %v\n", s.name, err)
			failed = true
		}
	}
	if failed {
		return 1
	}
	return 0
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
