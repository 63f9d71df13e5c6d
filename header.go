package carobkeel

import "strings"

// Field is one header field of a request or an answer. Their order
// and repeated names are preserved.
type Field struct {
	Name  string
	Value string
}

// Lookup returns the value of the first field with the name, ignoring case.
func Lookup(fields []Field, name string) (string, bool) {
	for _, field := range fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value, true
		}
	}
	return "", false
}
