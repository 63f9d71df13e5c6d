package main

import (
	"context"
	"fmt"

	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/client"
)

// catalogueGetCommand shows the catalogue or one entry.
func catalogueGetCommand() command {
	return command{
		name:    "get",
		summary: "show the catalogue or one entry",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("catalogue get", io)
			config := registerOperatorFlags(fs)
			asYAML := fs.Bool("yaml", false, "print a file that apply reads")
			if code, ok := parseArguments(fs, args, io, "[flags] [NAME]", 0, 1, config); !ok {
				return code
			}
			catalogue, err := readCatalogue(ctx, config.client(), fs.Arg(0))
			if err != nil {
				return fail(io, err)
			}
			if catalogue.IsLastSeen {
				fmt.Fprintln(io.err, "carobkeel: the table service is not reached; this is what the process has seen")
			}
			if config.json {
				fmt.Fprintf(io.out, "%s", catalogue.JSON)
				return exitOK
			}
			if *asYAML || fs.NArg() == 1 {
				return printYAML(io, catalogue)
			}
			return printCatalogue(io, catalogue)
		},
	}
}

func readCatalogue(ctx context.Context, c *client.Client, name string) (client.Catalogue, error) {
	if name == "" {
		return c.Catalogue(ctx)
	}
	return c.Entry(ctx, name)
}

func printYAML(io streams, catalogue client.Catalogue) int {
	data, err := catalogfile.WriteYAML(catalogue.Document)
	if err != nil {
		return fail(io, err)
	}
	fmt.Fprintf(io.out, "%s", data)
	return exitOK
}

func printCatalogue(io streams, catalogue client.Catalogue) int {
	fmt.Fprintf(io.out, "revision %d\n\n", catalogue.Revision)
	if err := printEntries(io.out, catalogue.Entries); err != nil {
		return fail(io, err)
	}
	fmt.Fprintln(io.out)
	if err := printQuotas(io.out, catalogue.Quotas); err != nil {
		return fail(io, err)
	}
	return exitOK
}
