package carobkeel

import (
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
)

// Owner names who an entry of the catalogue belongs to.
type Owner string

// Service names a latency-critical entry of the catalogue.
type Service string

// JobID names one submitted run of a batch entry.
type JobID string

// TaskID names one task, an instance of a service or a part of a job.
type TaskID string

// DataCentre names a data centre.
type DataCentre string

// Revision numbers the states of the catalogue. It only grows.
type Revision uint64

// Epoch numbers the holders of a lease. Each new holder has a higher epoch than
// every earlier one, and an action under an older epoch is refused.
type Epoch uint64

// Location says where a process or worker is.
type Location struct {
	DataCentre DataCentre `json:"data_centre"`
	Rack       string     `json:"rack,omitempty"`
	Host       string     `json:"host,omitempty"`
}

// Incarnation identifies one start of one process. It is drawn at random when
// the process starts, so a restart under the same address has another one.
type Incarnation uint64

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// RequestID identifies one request to a service. It is never used twice: the
// entry's incarnation differs from start to start, and the sequence number
// grows within one.
type RequestID struct {
	Entry    Incarnation
	Sequence uint64
}

const (
	requestIDLength  = 33
	requestIDPartLen = 16
)

// String returns the id as two groups of 16 hexadecimal digits with a dash
// between them.
func (id RequestID) String() string {
	return fmt.Sprintf("%016x-%016x", uint64(id.Entry), id.Sequence)
}

// IsZero reports whether id names no request.
func (id RequestID) IsZero() bool { return id == RequestID{} }

// ParseRequestID parses the form that String returns.
func ParseRequestID(text string) (RequestID, error) {
	if len(text) != requestIDLength || text[requestIDPartLen] != '-' {
		return RequestID{}, errors.Errorf("request id %q has not the form 16 digits, dash, 16 digits", text)
	}
	entry, err := strconv.ParseUint(text[:requestIDPartLen], 16, 64)
	if err != nil {
		return RequestID{}, errors.Wrapf(err, "request id %q", text)
	}
	sequence, err := strconv.ParseUint(text[requestIDPartLen+1:], 16, 64)
	if err != nil {
		return RequestID{}, errors.Wrapf(err, "request id %q", text)
	}
	return RequestID{Entry: Incarnation(entry), Sequence: sequence}, nil
}

// Digest is a SHA-256 sum of a request's content.
type Digest [32]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
