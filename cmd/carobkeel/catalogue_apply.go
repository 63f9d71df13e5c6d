package main

import (
	"context"
	"fmt"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/client"
)

// catalogueApplyCommand applies all entries and quotas of a file in one edit.
func catalogueApplyCommand() command {
	return command{
		name:    "apply",
		summary: "make one edit of everything in a file",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("catalogue apply", io)
			config := registerOperatorFlags(fs)
			dryRun := fs.Bool("dry-run", false, "show the difference and change nothing")
			base := fs.Uint64("if-revision", 0, "apply only while the whole catalogue is at this revision; 0 is any")
			id := fs.String("edit-id", "", "id of an edit that is sent again; drawn where empty")
			if code, ok := parseArguments(fs, args, io, "[flags] FILE", 1, 1, config); !ok {
				return code
			}
			data, err := readFile(fs.Arg(0), io.in)
			if err != nil {
				return fail(io, err)
			}
			if _, err := catalogfile.Read(data); err != nil {
				return failChange(io, fs.Arg(0), err)
			}
			if *dryRun {
				return planFile(ctx, config, fs.Arg(0), data, io)
			}
			if *id == "" {
				*id = client.NewID()
			}
			accepted, err := config.client().Apply(ctx, data, carobkeel.Revision(*base), *id)
			if err != nil {
				return failChange(io, fs.Arg(0), err)
			}
			if config.json {
				return printJSON(io, accepted)
			}
			return printAccepted(io, accepted.Revision, accepted.Repeated, accepted.Differences)
		},
	}
}

func planFile(ctx context.Context, config *operatorConfig, file string, data []byte, io streams) int {
	plan, err := config.client().Plan(ctx, data)
	if err != nil {
		return failChange(io, file, err)
	}
	if config.json {
		return printJSON(io, plan)
	}
	if len(plan.Differences) > 0 {
		if err := printDifferences(io.out, plan.Differences); err != nil {
			return fail(io, err)
		}
	}
	fmt.Fprintf(io.out, "dry run on revision %d: %d differences\n", plan.Revision, len(plan.Differences))
	return exitOK
}

func printAccepted(io streams, revision carobkeel.Revision, repeated bool, differences []operator.Difference) int {
	switch {
	case repeated:
		fmt.Fprintf(io.out, "accepted as revision %d, and sent more than once\n", revision)
		return exitOK
	case len(differences) == 0:
		fmt.Fprintf(io.out, "nothing differs from revision %d\n", revision)
		return exitOK
	}
	if err := printDifferences(io.out, differences); err != nil {
		return fail(io, err)
	}
	fmt.Fprintf(io.out, "accepted as revision %d\n", revision)
	return exitOK
}
