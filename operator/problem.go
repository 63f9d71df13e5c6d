package operator

import (
	"fmt"
	"strings"
)

// Problem is one reason why a catalogue entry or owner is not valid.
type Problem struct {
	// Entry is the name of the entry or owner, empty where it has none.
	Entry string `json:"entry"`
	// Field is the path of the field, as in "limits.timeout".
	Field string `json:"field"`
	// Line is the line in the file, zero where there is no file.
	Line int `json:"line,omitempty"`
	// Reason says what is wrong and what is wanted.
	Reason string `json:"reason"`
}

// Error implements error.
func (p Problem) Error() string {
	parts := make([]string, 0, 4)
	if p.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", p.Line))
	}
	if p.Entry != "" {
		parts = append(parts, fmt.Sprintf("entry %q", p.Entry))
	}
	if p.Field != "" {
		parts = append(parts, fmt.Sprintf("field %q", p.Field))
	}
	return strings.Join(append(parts, p.Reason), ": ")
}

// Problems is every reason why a document is not valid.
type Problems []Problem

// Error implements error with a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// AsError returns p as an error, nil where there is no problem.
func (p Problems) AsError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
