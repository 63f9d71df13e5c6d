// Package settings reads a command's settings from its flags and from
// environment variables. A flag -listen-address is also read from
// CAROBKEEL_LISTEN_ADDRESS; the flag wins. Every wrong setting is reported, not
// only the first.
package settings

import (
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

// EnvironmentPrefix begins the name of each environment variable.
const EnvironmentPrefix = "CAROBKEEL"

// Problem is one wrong setting.
type Problem struct {
	// Name is the flag's name without its dash.
	Name string
	// Reason says what is wrong.
	Reason string
}

// Error implements error.
func (p Problem) Error() string { return "-" + p.Name + ": " + p.Reason }

// Problems is every wrong setting of a command.
type Problems []Problem

// Error implements error with a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return "wrong settings:\n  " + strings.Join(lines, "\n  ")
}

// Checker is a group of settings that can judge its values after all were read.
type Checker interface {
	// Check returns the settings that are wrong or contradict each other.
	Check() []Problem
}

// Parse reads args and the environment into fs and then asks the checkers. It
// returns Problems, flag.ErrHelp, or nil.
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

// collector notes a value's error in place of stopping the parser.
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

// IsBoolFlag lets a boolean flag stand without a value.
func (c *collector) IsBoolFlag() bool {
	b, ok := c.Value.(interface{ IsBoolFlag() bool })
	return ok && b.IsBoolFlag()
}

func quote(text string) string { return `"` + text + `"` }
