package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/carobkeel/carobkeel/operator"
)

// statusCommand shows the current state of the fleet.
func statusCommand() command {
	return command{
		name:    "status",
		summary: "show what the fleet does now",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("status", io)
			config := registerOperatorFlags(fs)
			if code, ok := parseArguments(fs, args, io, "[flags]", 0, 0, config); !ok {
				return code
			}
			status, err := config.client().Status(ctx)
			if err != nil {
				return fail(io, err)
			}
			if config.json {
				return printJSON(io, status)
			}
			if err := printStatus(io, status); err != nil {
				return fail(io, err)
			}
			return exitOK
		},
	}
}

func printStatus(io streams, status operator.Status) error {
	reached := "reached"
	if !status.StoreAvailable {
		reached = "not reached"
	}
	fmt.Fprintf(io.out, "revision %d, table service %s\n\n", status.Revision, reached)
	rows := make([][]string, 0, len(status.DataCentres))
	for _, d := range status.DataCentres {
		rows = append(rows, []string{
			string(d.Name), formatRevision(d.Revision), strconv.FormatFloat(d.StaleSeconds, 'f', 1, 64) + "s",
			strconv.Itoa(d.Processes), strconv.Itoa(d.Upstreams), strconv.Itoa(d.Draining),
		})
	}
	if err := printTable(io.out, []string{"data centre", "revision", "stale", "processes", "upstreams", "draining"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(io.out)
	rows = rows[:0]
	for _, s := range status.Services {
		rows = append(rows, []string{
			string(s.Name), string(s.Owner), strconv.Itoa(s.Instances), strconv.Itoa(s.Serving),
			strconv.Itoa(s.Ejected), strconv.Itoa(s.InFlight), strconv.Itoa(s.Queued),
		})
	}
	if err := printTable(io.out, []string{"service", "owner", "instances", "serving", "ejected", "in flight", "queued"}, rows); err != nil {
		return err
	}
	if len(status.Batch) == 0 {
		return nil
	}
	fmt.Fprintln(io.out)
	rows = rows[:0]
	for _, b := range status.Batch {
		rows = append(rows, []string{b.Name, string(b.Owner), strconv.Itoa(b.Queued), strconv.Itoa(b.Running), strconv.Itoa(b.Held)})
	}
	return printTable(io.out, []string{"batch task", "owner", "queued", "running", "held"}, rows)
}
