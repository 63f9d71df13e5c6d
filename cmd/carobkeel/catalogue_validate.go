package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
)

// validation is the JSON output of the validate command.
type validation struct {
	Valid    bool              `json:"valid"`
	Owners   int               `json:"owners"`
	Entries  int               `json:"entries"`
	Problems operator.Problems `json:"problems"`
}

// catalogueValidateCommand checks a file locally, without a request to any
// process.
func catalogueValidateCommand() command {
	return command{
		name:    "validate",
		summary: "check a file and change nothing",
		run: func(_ context.Context, args []string, io streams) int {
			fs := newFlagSet("catalogue validate", io)
			asJSON := fs.Bool("json", false, "print JSON")
			if code, ok := parseArguments(fs, args, io, "[flags] FILE", 1, 1); !ok {
				return code
			}
			data, err := readFile(fs.Arg(0), io.in)
			if err != nil {
				return fail(io, err)
			}
			doc, err := catalogfile.Read(data)
			result := validation{Valid: err == nil, Owners: len(doc.Quotas), Entries: len(doc.Entries), Problems: operator.Problems{}}
			if err != nil && !errors.As(err, &result.Problems) {
				return fail(io, err)
			}
			if *asJSON {
				printJSON(io, result)
			} else {
				printValidation(io, fs.Arg(0), result)
			}
			if !result.Valid {
				return exitFailure
			}
			return exitOK
		},
	}
}

func printValidation(io streams, file string, result validation) {
	if result.Valid {
		fmt.Fprintf(io.out, "%s: valid, %d owners, %d entries\n", file, result.Owners, result.Entries)
		return
	}
	printProblems(io.err, file, result.Problems)
	fmt.Fprintf(io.err, "carobkeel: %d problems\n", len(result.Problems))
}
