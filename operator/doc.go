// Package operator is about the people who edit the catalogue and plan stops.
// It holds the decisions about them: whether an entry is valid, whether an edit
// may be taken and what it changes, which revision may be accepted, and how a
// planned stop goes on.
//
// The package is pure: a snapshot, an event and a time in, a typed decision
// out. The sub-packages hold the encoding (catalogfile), the rows in the table
// service (store) and the HTTP interface (httpapi).
package operator
