// Package settings reads a command's settings from its flags and from
// environment variables. A flag -listen-address is also read from
// CAROBKEEL_LISTEN_ADDRESS; the flag takes precedence. All invalid settings are
// reported, not only the first.
package settings

import (
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

// EnvironmentPrefix is the prefix of each environment variable.
const EnvironmentPrefix = "CAROBKEEL"

// Problem is one invalid setting.
type Problem struct {
	// Name is the flag's name without its dash.
	Name string
	// Reason describes the problem.
	Reason string
}

// Error implements error.
func (p Problem) Error() string { return "-" + p.Name + ": " + p.Reason }

// Problems lists all invalid settings of a command.
type Problems []Problem

// Error implements error with a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return "wrong settings:\n  " + strings.Join(lines, "\n  ")
}

// Checker is a group of settings that validates its values after parsing.
type Checker interface {
	// Check returns the settings that are invalid or contradict each other.
	Check() []Problem
}

// Parse parses args and the environment into fs and then runs the checkers. It
// returns Problems for invalid values, flag.ErrHelp, an error of the parser, or
// nil.
func Parse(fs *flag.FlagSet, args []string, checkers ...Checker) error {
	var problems Problems
	fs.VisitAll(func(f *flag.Flag) {
		f.Value = &collector{Value: f.Value, name: f.Name, problems: &problems}
	})
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvironmentPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	if err != nil {
		return errors.WithStack(err)
	}
	for _, checker := range checkers {
		problems = append(problems, checker.Check()...)
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// collector records the error of a value instead of returning it, so that parsing
// continues.
type collector struct {
	flag.Value
	name     string
	problems *Problems
}

// Set implements flag.Value.
func (c *collector) Set(text string) error {
	if err := c.Value.Set(text); err != nil {
		*c.problems = append(*c.problems, Problem{Name: c.name, Reason: "value " + quote(text) + ": " + err.Error()})
	}
	return nil
}

// String implements flag.Value. The flag package calls it on a zero value.
func (c *collector) String() string {
	if c == nil || c.Value == nil {
		return ""
	}
	return c.Value.String()
}

// IsBoolFlag allows a boolean flag to be given without a value.
func (c *collector) IsBoolFlag() bool {
	b, ok := c.Value.(interface{ IsBoolFlag() bool })
	return ok && b.IsBoolFlag()
}

func quote(text string) string { return `"` + text + `"` }
