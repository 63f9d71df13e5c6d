package main

import (
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel/operator"
)

// stopCommand plans stops of hosts.
func stopCommand() command {
	return commandGroup("stop", "plan stops of hosts, racks and data centres",
		stopPlanCommand(),
		stopListCommand(),
		stopCancelCommand(),
	)
}

func printStops(io streams, stops []operator.Stop) int {
	rows := make([][]string, 0, len(stops))
	for _, s := range stops {
		forced := "no"
		if s.Forced {
			forced = "yes"
		}
		rows = append(rows, []string{
			string(s.ID), string(s.State), s.Target.String(), s.Start.UTC().Format(time.RFC3339),
			forced, s.By, formatOptional(s.Detail, s.Detail == ""),
		})
	}
	if err := printTable(io.out, []string{"id", "state", "target", "start", "forced", "by", "detail"}, rows); err != nil {
		return fail(io, err)
	}
	return exitOK
}

// printStop prints one stop, as JSON or as one line of text.
func printStop(io streams, asJSON bool, stop operator.Stop) int {
	if asJSON {
		return printJSON(io, stop)
	}
	fmt.Fprintf(io.out, "stop %s of %s is %s\n", stop.ID, stop.Target, stop.State)
	return exitOK
}
