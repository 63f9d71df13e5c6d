package main

import (
	"context"
	"flag"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/settings"
	"github.com/carobkeel/carobkeel/operator/client"
	"github.com/carobkeel/carobkeel/operator/httpapi"
)

// stopPlanConfig is the settings of the stop plan command.
type stopPlanConfig struct {
	dataCentre, rack, host string
	start                  string
	in                     time.Duration
	force                  bool
	reason, id             string
}

func registerStopPlanFlags(fs *flag.FlagSet) *stopPlanConfig {
	c := &stopPlanConfig{}
	fs.StringVar(&c.dataCentre, "data-centre", "", "data centre to stop, or where the rack or host is")
	fs.StringVar(&c.rack, "rack", "", "rack to stop, or where the host is")
	fs.StringVar(&c.host, "host", "", "host to stop")
	fs.StringVar(&c.start, "start", "", "when draining begins, as 2026-12-04T09:00:00Z; now where empty")
	fs.DurationVar(&c.in, "in", 0, "when draining begins, from now")
	fs.BoolVar(&c.force, "force", false, "stop even where it leaves a service without an instance")
	fs.StringVar(&c.reason, "reason", "", "why, for others to read")
	fs.StringVar(&c.id, "stop-id", "", "id of a stop that is sent again; drawn where empty")
	return c
}

// Check implements settings.Checker.
func (c *stopPlanConfig) Check() []settings.Problem {
	var problems []settings.Problem
	if c.dataCentre == "" && c.rack == "" && c.host == "" {
		problems = append(problems, settings.Problem{Name: "host", Reason: "name a -host, a -rack or a -data-centre"})
	}
	if c.rack != "" && c.dataCentre == "" {
		problems = append(problems, settings.Problem{Name: "data-centre", Reason: "is needed with -rack"})
	}
	if c.start != "" && c.in != 0 {
		problems = append(problems, settings.Problem{Name: "in", Reason: "can't stand with -start"})
	}
	if c.in < 0 {
		problems = append(problems, settings.Problem{Name: "in", Reason: "must not be negative"})
	}
	if _, err := c.startTime(time.Time{}); err != nil {
		problems = append(problems, settings.Problem{Name: "start", Reason: "want a time as 2026-12-04T09:00:00Z, have \"" + c.start + "\""})
	}
	return problems
}

// startTime returns the time at which draining begins. The zero time means
// immediately.
func (c *stopPlanConfig) startTime(now time.Time) (time.Time, error) {
	if c.start != "" {
		return time.Parse(time.RFC3339, c.start)
	}
	if c.in != 0 {
		return now.Add(c.in), nil
	}
	return time.Time{}, nil
}

func (c *stopPlanConfig) form(now time.Time) (httpapi.StopBody, error) {
	start, err := c.startTime(now)
	return httpapi.StopBody{
		DataCentre: carobkeel.DataCentre(c.dataCentre), Rack: c.rack, Host: c.host,
		Start: start, Force: c.force, Reason: c.reason,
	}, err
}

// stopPlanCommand plans a stop of a host, a rack or a data centre.
func stopPlanCommand() command {
	return command{
		name:    "plan",
		summary: "plan a stop",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("stop plan", io)
			config, plan := registerOperatorFlags(fs), registerStopPlanFlags(fs)
			if code, ok := parseArguments(fs, args, io, "[flags]", 0, 0, config, plan); !ok {
				return code
			}
			form, err := plan.form(time.Now())
			if err != nil {
				return fail(io, err)
			}
			if plan.id == "" {
				plan.id = client.NewID()
			}
			stop, err := config.client().PlanStop(ctx, form, plan.id)
			if err != nil {
				return failChange(io, "stop", err)
			}
			return printStop(io, config.json, stop)
		},
	}
}
