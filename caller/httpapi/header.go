package httpapi

import (
	"net/http"
	"strings"

	"github.com/carobkeel/carobkeel"
)

// hopByHop lists the header fields that apply to a single connection and are not
// forwarded.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// requestFields returns the header fields of a request to forward to the upstream.
func requestFields(r *http.Request) []carobkeel.HeaderField {
	listed := connectionFields(r.Header)
	fields := make([]carobkeel.HeaderField, 0, len(r.Header)+1)
	fields = append(fields, carobkeel.HeaderField{Name: "Host", Value: r.Host})
	for name, values := range r.Header {
		if hopByHop[name] || listed[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, carobkeel.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// connectionFields returns the field names listed in the Connection field.
func connectionFields(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	listed := make(map[string]bool)
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// writeFields sets the header of the caller's answer from the upstream's fields.
func writeFields(w http.ResponseWriter, fields []carobkeel.HeaderField) {
	header := w.Header()
	var listed map[string]bool
	if value, ok := carobkeel.LookupHeader(fields, "Connection"); ok {
		listed = connectionFields(http.Header{"Connection": {value}})
	}
	for _, field := range fields {
		name := http.CanonicalHeaderKey(field.Name)
		if hopByHop[name] || listed[name] {
			continue
		}
		header[name] = append(header[name], field.Value)
	}
}
