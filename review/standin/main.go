// Command standin plays one case of the review: it starts a small deployment of the
// project's programs on loopback addresses, with stand-ins for the store, the workers and
// the clients, and judges what these saw. It exits with 1 if a rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays one case in a fleet and returns how the rule was broken. Trouble reports
// whether the disruption happens.
type scenario struct {
	entries    int
	capacities []int
	play       func(f *fleet, trouble bool) ([]string, error)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	s, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	f, err := newFleet(s.entries, s.capacities)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	broken, err := s.play(f, os.Getenv("TROUBLE") != "0")
	code, verdict := exitHeld, []string{"the rule held"}
	switch {
	case err != nil:
		code, verdict = exitFailed, []string{"the case could not run: " + err.Error()}
	case len(broken) > 0:
		code, verdict = exitBroken, append([]string{fmt.Sprintf("the rule was broken %d times", len(broken))}, broken...)
	}
	fmt.Println(verdict[0])
	for _, line := range verdict[1:min(len(verdict), 6)] {
		fmt.Println(line)
	}
	if err := f.record.write(recordPath, verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}
