package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/settings"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/client"
)

// operatorConfig is the settings of commands that call the operators' interface.
type operatorConfig struct {
	addresses string
	by        string
	json      bool
}

func registerOperatorFlags(fs *flag.FlagSet) *operatorConfig {
	c := &operatorConfig{}
	fs.StringVar(&c.addresses, "operator", "127.0.0.1:8081", "comma-separated addresses of operators' listeners, tried in turn")
	fs.StringVar(&c.by, "by", os.Getenv("USER"), "who makes the change, for the history")
	fs.BoolVar(&c.json, "json", false, "print JSON")
	return c
}

// Check implements settings.Checker.
func (c *operatorConfig) Check() []settings.Problem {
	if len(splitList(c.addresses)) == 0 {
		return []settings.Problem{{Name: "operator", Reason: "is missing"}}
	}
	return checkAddresses("operator", c.addresses)
}

func (c *operatorConfig) client() *client.Client {
	return client.New(client.Config{Addresses: splitList(c.addresses), Operator: c.by})
}

// commandGroup returns a command with subcommands.
func commandGroup(name, summary string, commands ...command) command {
	return command{
		name:    name,
		summary: summary,
		run: func(ctx context.Context, args []string, io streams) int {
			if len(args) == 0 {
				printGroup(io.err, name, commands)
				return exitUsage
			}
			if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
				printGroup(io.out, name, commands)
				return exitOK
			}
			for _, c := range commands {
				if c.name == args[0] {
					return c.run(ctx, args[1:], io)
				}
			}
			fmt.Fprintf(io.err, "carobkeel %s: no command %q; carobkeel %s help lists them\n", name, args[0], name)
			return exitUsage
		},
	}
}

func printGroup(w io.Writer, name string, commands []command) {
	fmt.Fprintf(w, "usage: carobkeel %s COMMAND [flags]\n\n", name)
	for _, c := range commands {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.summary)
	}
}

// flagsFirst moves the flags before the positional arguments, so that they may be
// given in any order.
func flagsFirst(fs *flag.FlagSet, args []string) []string {
	var flags, positional []string
	for i := 0; i < len(args); i++ {
		if args[i] == "--" {
			positional = append(positional, args[i+1:]...)
			break
		}
		if len(args[i]) < 2 || args[i][0] != '-' {
			positional = append(positional, args[i])
			continue
		}
		flags = append(flags, args[i])
		if takesValue(fs, args[i]) && i+1 < len(args) {
			i++
			flags = append(flags, args[i])
		}
	}
	return append(append(flags, "--"), positional...)
}

// takesValue reports whether the flag takes the next argument as its value.
func takesValue(fs *flag.FlagSet, arg string) bool {
	name := arg[1:]
	if name[0] == '-' {
		name = name[1:]
	}
	found := fs.Lookup(name)
	if found == nil {
		return false
	}
	b, ok := found.Value.(interface{ IsBoolFlag() bool })
	return !ok || !b.IsBoolFlag()
}

// parseArguments reads the settings of a command and checks that it has at least
// minArgs and at most maxArgs positional arguments.
func parseArguments(fs *flag.FlagSet, args []string, io streams, usage string, minArgs, maxArgs int, checkers ...settings.Checker) (int, bool) {
	fs.Usage = func() {
		fmt.Fprintf(io.err, "usage: %s %s\n", fs.Name(), usage)
		fs.PrintDefaults()
	}
	if code, ok := parse(fs, flagsFirst(fs, args), io, checkers...); !ok {
		return code, false
	}
	if fs.NArg() < minArgs || fs.NArg() > maxArgs {
		fmt.Fprintf(io.err, "usage: %s %s\n", fs.Name(), usage)
		return exitUsage, false
	}
	return exitOK, true
}

// printJSON prints a value as indented JSON.
func printJSON(io streams, value any) int {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fail(io, errors.WithStack(err))
	}
	fmt.Fprintf(io.out, "%s\n", data)
	return exitOK
}

// printTable prints rows as a text table with a header.
func printTable(w io.Writer, header []string, rows [][]string) error {
	var text bytes.Buffer
	table := tablewriter.NewTable(&text,
		tablewriter.WithRendition(tw.Rendition{
			Borders:  tw.BorderNone,
			Settings: tw.Settings{Lines: tw.LinesNone, Separators: tw.SeparatorsNone},
		}),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithRowAlignment(tw.AlignLeft),
		tablewriter.WithRowAutoWrap(tw.WrapNone),
		tablewriter.WithHeaderAutoWrap(tw.WrapNone),
		tablewriter.WithPadding(tw.Padding{Right: "  ", Overwrite: true}),
	)
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return errors.WithStack(err)
	}
	if err := table.Render(); err != nil {
		return errors.WithStack(err)
	}
	for line := range strings.Lines(text.String()) {
		fmt.Fprintln(w, strings.TrimRight(line, " \n"))
	}
	return nil
}

// failChange prints why a change was rejected, with one problem per line.
func failChange(io streams, file string, err error) int {
	var problems operator.Problems
	if !errors.As(err, &problems) {
		return fail(io, err)
	}
	printProblems(io.err, file, problems)
	fmt.Fprintf(io.err, "carobkeel: %d problems; nothing was applied\n", len(problems))
	return exitFailure
}

// printProblems prints each problem, prefixed with the file and line.
func printProblems(w io.Writer, file string, problems operator.Problems) {
	for _, p := range problems {
		location := file
		if p.Line > 0 {
			location = fmt.Sprintf("%s:%d", file, p.Line)
		}
		p.Line = 0
		fmt.Fprintf(w, "%s: %v\n", location, p)
	}
}
