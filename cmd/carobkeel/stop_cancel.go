package main

import (
	"context"

	"github.com/carobkeel/carobkeel/operator"
)

// stopCancelCommand cancels a planned stop.
func stopCancelCommand() command {
	return command{
		name:    "cancel",
		summary: "call a stop off",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("stop cancel", io)
			config := registerOperatorFlags(fs)
			if code, ok := parseArguments(fs, args, io, "[flags] ID", 1, 1, config); !ok {
				return code
			}
			stop, err := config.client().CancelStop(ctx, operator.StopID(fs.Arg(0)))
			if err != nil {
				return fail(io, err)
			}
			return printStop(io, config.json, stop)
		},
	}
}
