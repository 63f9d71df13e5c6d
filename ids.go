package carobkeel

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Owner is the name of the owner of a catalogue entry.
type Owner string

// Service is the name of a latency-critical entry of the catalogue.
type Service string

// JobID identifies one submitted job of a batch entry.
type JobID string

// IsValid reports whether the ID can be part of the name of a task.
func (id JobID) IsValid() bool { return id != "" && !strings.Contains(string(id), taskNameSeparator) }

// TaskID identifies one task, an instance of a service or a part of a job.
type TaskID string

// DataCentre is the name of a data centre.
type DataCentre string

// Revision is the version number of the catalogue. It never decreases.
type Revision uint64

// Epoch is the fencing token of a lease. Each new holder has a higher epoch than
// every earlier one, and an action under an older epoch is rejected.
type Epoch uint64

// Location is the place of a process or worker.
type Location struct {
	DataCentre DataCentre `json:"data_centre"`
	Rack       string     `json:"rack,omitempty"`
	Host       string     `json:"host,omitempty"`
}

// Incarnation identifies one start of one process. It is drawn at random when
// the process starts, so a restart under the same address gets another one.
type Incarnation uint64

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// RequestID identifies one request to a service. It is unique: each
// incarnation of the entry has its own number, and the sequence number increases
// within one.
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

// IsZero reports whether id is unset.
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
