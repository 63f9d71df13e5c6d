// Package operator decides about the operators' edits of the catalogue and their
// planned stops: whether an entry is valid, whether an edit may be applied and
// what it changes, which revision may be accepted, and how a planned stop
// advances.
//
// The package does no input or output: its functions take a snapshot, an event
// and a time, and return a typed decision. The sub-packages hold the encoding
// (catalogfile), the rows in the table service (store) and the HTTP interface
// (httpapi).
package operator
