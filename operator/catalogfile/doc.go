// Package catalogfile encodes and decodes the catalogue files of operators, in
// YAML or JSON with the same fields. Decoding is strict: all unknown fields,
// missing fields, bad units and values out of range are reported with entry,
// field and line, and no document is returned.
package catalogfile
