// Package judge holds a record of what callers, workers and the operator saw of a play,
// and the judges that find broken rules in it.
//
// The judges know nothing of the code that they judge: they share its core types only,
// and rest on observations from outside. They do no I/O and read no clock. Encoding is in
// internal/judge/recordfile.
package judge
