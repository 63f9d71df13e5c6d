package main

import (
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// catalogueCommand reads and edits the catalogue.
func catalogueCommand() command {
	return commandGroup("catalogue", "read and edit the catalogue",
		catalogueValidateCommand(),
		catalogueApplyCommand(),
		catalogueGetCommand(),
		catalogueHistoryCommand(),
	)
}

// readFile returns the content of a file, or of standard input where the name
// is "-".
func readFile(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(in)
		return data, errors.WithStack(err)
	}
	data, err := os.ReadFile(name)
	return data, errors.WithStack(err)
}

func printEntries(w io.Writer, entries []carobkeel.Entry) error {
	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, []string{
			e.Name, string(e.Owner), e.Class.String(), formatRevision(e.Revision),
			formatOptional(operator.FormatDuration(e.Limits.Timeout), e.Limits.Timeout == 0),
			strconv.Itoa(e.Limits.Concurrency), strconv.Itoa(e.Limits.Queue),
			strconv.FormatFloat(e.Limits.GuaranteedShare, 'g', -1, 64),
			formatOptional(operator.FormatResources(e.Demand), e.Demand.IsZero()),
		})
	}
	return printTable(w, []string{"name", "owner", "class", "revision", "timeout", "concurrency", "queue", "floor", "demand"}, rows)
}

func printQuotas(w io.Writer, quotas []carobkeel.Quota) error {
	rows := make([][]string, 0, len(quotas))
	for _, q := range quotas {
		rows = append(rows, []string{
			string(q.Owner), formatRevision(q.Revision), strconv.FormatFloat(q.Weight, 'g', -1, 64),
			operator.FormatResources(q.Guaranteed),
		})
	}
	return printTable(w, []string{"owner", "revision", "weight", "guaranteed"}, rows)
}

func printDifferences(w io.Writer, differences []operator.Difference) error {
	rows := make([][]string, 0, len(differences))
	for _, d := range differences {
		rows = append(rows, []string{string(d.Action), string(d.Kind), d.Name, formatFields(d.Action, d.Fields)})
	}
	return printTable(w, []string{"action", "kind", "name", "fields"}, rows)
}

// formatFields returns the changed fields of an entry or owner on one line, or a
// dash where the action is not a change.
func formatFields(action operator.Action, fields []operator.FieldDifference) string {
	if action != operator.ActionChange {
		return "-"
	}
	parts := make([]string, 0, len(fields))
	for _, f := range fields {
		parts = append(parts, f.Field+": "+formatOptional(f.Before, f.Before == "")+" -> "+formatOptional(f.After, f.After == ""))
	}
	return strings.Join(parts, "; ")
}

func formatRevision(revision carobkeel.Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}

// formatOptional returns text, or a dash where the value is unset.
func formatOptional(text string, unset bool) string {
	if unset {
		return "-"
	}
	return text
}
