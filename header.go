package carobkeel

import "strings"

// HeaderField is one header field of a request or an answer. Their order
// and repeated names are preserved.
type HeaderField struct {
	Name  string
	Value string
}

// LookupHeader returns the value of the first field with the name, ignoring case.
func LookupHeader(fields []HeaderField, name string) (string, bool) {
	for _, field := range fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value, true
		}
	}
	return "", false
}
