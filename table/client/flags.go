package client

import (
	"flag"

	"github.com/carobkeel/carobkeel/internal/settings"
)

// RegisterFlags registers the client's settings with their defaults.
func RegisterFlags(fs *flag.FlagSet) *Config {
	c := DefaultConfig()
	fs.IntVar(&c.Processes, "table-processes", c.Processes, "number of processes that share the budgets of the table service")
	fs.DurationVar(&c.AttemptTimeout, "table-attempt-timeout", c.AttemptTimeout, "time for one call to the table service")
	fs.DurationVar(&c.Timeout, "table-timeout", c.Timeout, "time for a call to the table service with its retries")
	return &c
}

// Check implements settings.Checker.
func (c *Config) Check() []settings.Problem {
	var problems []settings.Problem
	if c.Processes < 1 {
		problems = append(problems, settings.Problem{Name: "table-processes", Reason: "must be at least 1"})
	}
	if c.AttemptTimeout <= 0 {
		problems = append(problems, settings.Problem{Name: "table-attempt-timeout", Reason: "must be above zero"})
	}
	if c.Timeout < c.AttemptTimeout {
		problems = append(problems, settings.Problem{Name: "table-timeout", Reason: "must not be below -table-attempt-timeout"})
	}
	return problems
}
