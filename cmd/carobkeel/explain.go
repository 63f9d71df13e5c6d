package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/carobkeel/carobkeel/operator"
)

// explainCommand shows where a job would go now, without submitting it.
func explainCommand() command {
	return command{
		name:    "explain",
		summary: "show where a job would go now, and why not elsewhere",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("explain", io)
			config := registerOperatorFlags(fs)
			if code, ok := parseArguments(fs, args, io, "[flags] NAME [FILE]", 1, 2, config); !ok {
				return code
			}
			body, err := readBody(io, fs.Arg(1))
			if err != nil {
				return fail(io, err)
			}
			explanation, err := config.client().Explain(ctx, fs.Arg(0), body)
			if err != nil {
				return fail(io, err)
			}
			if config.json {
				return printJSON(io, explanation)
			}
			if err := printExplanation(io, explanation); err != nil {
				return fail(io, err)
			}
			return exitOK
		},
	}
}

// readBody reads the body of a submission from a file, or from standard input for "-". It is empty
// without a file.
func readBody(from streams, file string) ([]byte, error) {
	switch file {
	case "":
		return nil, nil
	case "-":
		return io.ReadAll(from.in)
	}
	return os.ReadFile(file)
}

func printExplanation(io streams, e operator.Explanation) error {
	fmt.Fprintf(io.out, "%s: as %s saw it %.1fs ago, with %d jobs not ended; nothing was submitted\n", e.Name, e.Holder, e.AgeSeconds, e.Jobs)
	for i := range e.Steps {
		if err := printStepExplanation(io, i, &e.Steps[i]); err != nil {
			return err
		}
	}
	return nil
}

func printStepExplanation(io streams, index int, s *operator.StepExplanation) error {
	fmt.Fprintf(io.out, "\nstep %d of %d tasks %s", index, s.Tasks, s.Placement)
	if len(s.Hosts) > 0 {
		fmt.Fprintf(io.out, " on %s", strings.Join(s.Hosts, ", "))
	}
	if s.Victims > 0 {
		fmt.Fprintf(io.out, " (%d stopped)", s.Victims)
	}
	fmt.Fprintf(io.out, "; %d steps with %d tasks wait before it\n", s.StepsAhead, s.TasksAhead)
	rows := make([][]string, 0, len(s.Workers))
	for _, w := range s.Workers {
		reason, near := w.Reason, ""
		if reason == "" {
			reason = "has room"
		}
		if w.Near {
			near = "near"
		}
		rows = append(rows, []string{
			w.Host, w.Rack, near, strconv.FormatInt(w.FreeMilliCPU, 10), strconv.FormatInt(w.FreeBytes>>20, 10),
			strconv.FormatInt(w.Accelerators, 10), reason,
		})
	}
	return printTable(io.out, []string{"host", "rack", "data", "free mCPU", "free MiB", "free accelerators", "why not"}, rows)
}
