package main

import (
	"context"

	"github.com/carobkeel/carobkeel/operator"
)

// catalogueHistoryCommand shows the changes of one entry or owner.
func catalogueHistoryCommand() command {
	return command{
		name:    "history",
		summary: "show the changes of an entry or owner",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("catalogue history", io)
			config := registerOperatorFlags(fs)
			ofOwner := fs.Bool("owner", false, "NAME is an owner")
			if code, ok := parseArguments(fs, args, io, "[flags] NAME", 1, 1, config); !ok {
				return code
			}
			kind := operator.KindEntry
			if *ofOwner {
				kind = operator.KindOwner
			}
			history, err := config.client().History(ctx, kind, fs.Arg(0))
			if err != nil {
				return fail(io, err)
			}
			if config.json {
				return printJSON(io, history)
			}
			rows := make([][]string, 0, len(history.History))
			for _, c := range history.History {
				rows = append(rows, []string{formatRevision(c.Revision), c.At, c.By, string(c.Action), formatFields(c.Action, c.Fields)})
			}
			if err := printTable(io.out, []string{"revision", "time", "by", "action", "fields"}, rows); err != nil {
				return fail(io, err)
			}
			return exitOK
		},
	}
}
