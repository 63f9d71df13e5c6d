// Command carobkeel is the single binary of the scheduler: the daemons, the
// operators' commands and the load tool. Each command has its own file here,
// which reads the settings and wires the packages together.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/settings"
)

// Exit codes of every command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// streams are the standard streams of a command.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// command is one command of the binary.
type command struct {
	name    string
	summary string
	// run executes the command and returns the exit code. Its context is
	// cancelled on SIGTERM or SIGINT.
	run func(ctx context.Context, args []string, io streams) int
}

// commands returns the commands in the order in which help lists them.
func commands() []command {
	return []command{
		devCommand(),
		entryCommand(),
		sidecarCommand(),
		sampleEchoCommand(),
		catalogueCommand(),
		stopCommand(),
		jobCommand(),
		statusCommand(),
		explainCommand(),
		traceCommand(),
		loadCommand(),
		standinTableCommand(),
		versionCommand(),
	}
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
	cancel()
	os.Exit(code)
}

func run(ctx context.Context, args []string, io streams) int {
	if len(args) == 0 {
		printHelp(io.err)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		printHelp(io.out)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(ctx, args[1:], io)
		}
	}
	fmt.Fprintf(io.err, "carobkeel: no command %q; carobkeel help lists them\n", args[0])
	return exitUsage
}

func printHelp(w io.Writer) {
	fmt.Fprintln(w, "usage: carobkeel COMMAND [flags]")
	fmt.Fprintln(w)
	width := 0
	for _, c := range commands() {
		width = max(width, len(c.name))
	}
	for _, c := range commands() {
		fmt.Fprintf(w, "  %s%s  %s\n", c.name, strings.Repeat(" ", width-len(c.name)), c.summary)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "carobkeel COMMAND -help lists a command's flags. Each flag -some-name can also be")
	fmt.Fprintln(w, "set by the environment variable CAROBKEEL_SOME_NAME; the flag wins.")
}

// newFlagSet returns an empty set of flags for the named command.
func newFlagSet(name string, io streams) *flag.FlagSet {
	fs := flag.NewFlagSet("carobkeel "+name, flag.ContinueOnError)
	fs.SetOutput(io.err)
	return fs
}

// parse reads the settings of a command from flags and the environment. Where it
// returns false, the command must end with the returned exit code.
func parse(fs *flag.FlagSet, args []string, io streams, checkers ...settings.Checker) (int, bool) {
	err := settings.Parse(fs, args, checkers...)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK, false
	}
	if err != nil {
		fmt.Fprintf(io.err, "%s: %v\n", fs.Name(), err)
		return exitUsage, false
	}
	return exitOK, true
}

// fail prints err to standard error and returns exitFailure.
func fail(io streams, err error) int {
	fmt.Fprintf(io.err, "carobkeel: %v\n", err)
	return exitFailure
}
