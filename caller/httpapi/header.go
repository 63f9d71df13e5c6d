package httpapi

import (
	"net/http"
	"strings"

	"github.com/carobkeel/carobkeel"
)

// hopByHop lists the header fields that belong to one connection only.
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

// requestFields returns the fields of a request that go on to the upstream.
func requestFields(r *http.Request) []carobkeel.Field {
	named := connectionFields(r.Header)
	fields := make([]carobkeel.Field, 0, len(r.Header)+1)
	fields = append(fields, carobkeel.Field{Name: "Host", Value: r.Host})
	for name, values := range r.Header {
		if hopByHop[name] || named[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, carobkeel.Field{Name: name, Value: value})
		}
	}
	return fields
}

// connectionFields returns the names that the Connection field lists.
func connectionFields(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// writeFields gives the upstream's fields to the caller.
func writeFields(w http.ResponseWriter, fields []carobkeel.Field) {
	header := w.Header()
	var named map[string]bool
	if value, ok := carobkeel.Lookup(fields, "Connection"); ok {
		named = connectionFields(http.Header{"Connection": {value}})
	}
	for _, field := range fields {
		name := http.CanonicalHeaderKey(field.Name)
		if hopByHop[name] || named[name] {
			continue
		}
		header[name] = append(header[name], field.Value)
	}
}
