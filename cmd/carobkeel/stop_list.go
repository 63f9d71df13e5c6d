package main

import "context"

// stopListCommand lists all planned stops.
func stopListCommand() command {
	return command{
		name:    "list",
		summary: "show all stops",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("stop list", io)
			config := registerOperatorFlags(fs)
			if code, ok := parseArguments(fs, args, io, "[flags]", 0, 0, config); !ok {
				return code
			}
			list, err := config.client().Stops(ctx)
			if err != nil {
				return fail(io, err)
			}
			if config.json {
				return printJSON(io, list)
			}
			return printStops(io, list.Stops)
		},
	}
}
