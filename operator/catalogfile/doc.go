// Package catalogfile reads and writes catalogues as operators write them, in
// YAML or JSON. Both have the same fields. Reading is strict: every unknown
// field, missing field, bad unit and value out of range is reported with its
// entry, field and line, and no document is returned.
package catalogfile
