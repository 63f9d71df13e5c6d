package wire

import "github.com/carobkeel/carobkeel"

// FromFields converts header fields to their form on a link.
func FromFields(fields []carobkeel.HeaderField) []Field {
	out := make([]Field, len(fields))
	for i, field := range fields {
		out[i] = Field{Name: field.Name, Value: field.Value}
	}
	return out
}

// ToFields converts header fields from their form on a link.
func ToFields(fields []Field) []carobkeel.HeaderField {
	out := make([]carobkeel.HeaderField, len(fields))
	for i, field := range fields {
		out[i] = carobkeel.HeaderField{Name: field.Name, Value: field.Value}
	}
	return out
}
