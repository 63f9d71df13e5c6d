package operator

import (
	"fmt"
	"strings"
)

// Problem is one reason why a catalogue entry or owner is not valid.
type Problem struct {
	// Entry is the name of the entry or owner, or empty if it has none.
	Entry string `json:"entry"`
	// Field is the path of the field, as in "limits.timeout".
	Field string `json:"field"`
	// Line is the line in the file, or zero if there is no file.
	Line int `json:"line,omitempty"`
	// Reason describes what is wrong and which values are valid.
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

// Problems lists all reasons why a document is not valid.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// AsError returns p as an error, or nil if there is no problem.
func (p Problems) AsError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
