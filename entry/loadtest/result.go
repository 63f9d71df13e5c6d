package loadtest

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
)

// Outcome classifies how a request ended for its caller.
type Outcome uint8

const (
	// Answered is a correct answer of the upstream.
	Answered Outcome = iota
	// Refused is a refusal by the system itself.
	Refused
	// Failed is an answer with an unexpected status, or with a missing or invalid
	// result code or body.
	Failed
	// Mismatched is an answer to another request, or a truncated one.
	Mismatched
	// Lost is a request that was sent and had no complete answer in time.
	Lost
	// Unreachable is a request for which no connection could be established.
	Unreachable

	outcomeCount = 6
)

var outcomeNames = [outcomeCount]string{"answered", "refused", "failed", "mismatched", "lost", "unreachable"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) >= outcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// Reason describes the fault of a request that was not answered or refused as
// expected.
type Reason uint8

// Reasons of faults.
const (
	// ReasonNone means that no fault was found.
	ReasonNone Reason = iota
	ReasonNoConnection
	ReasonTimeout
	ReasonConnectionLost
	ReasonNoResultCode
	ReasonUnexpectedStatus
	ReasonBodyDiffers
	ReasonBodyTruncated
	ReasonNoJobID
	ReasonRanInvalid
	ReasonJobsDiffer

	reasonCount = 11
)

var reasonTexts = [reasonCount]string{
	"no reason",
	"no connection could be made",
	"no answer in time",
	"the connection was lost",
	"the answer has no valid Carobkeel-Result",
	"the answer has another status than expected",
	"the answer's body is not the request's",
	"the answer's body was cut",
	"the answer names no job",
	"the refusal does not say validly whether the request ran",
	"two submissions under one key made two jobs",
}

// String returns the reason as text, without a full stop.
func (r Reason) String() string {
	if int(r) >= reasonCount {
		return reasonTexts[ReasonNone]
	}
	return reasonTexts[r]
}

// Result is the result of one request.
type Result struct {
	Request plan.Request
	Share   plan.Share
	// Name is the value of the request's HeaderRequestName.
	Name    string
	Outcome Outcome
	Reason  Reason
	// Code is the result code of a refusal, and Ran its statement of whether the
	// request ran.
	Code carobkeel.Code
	Ran  carobkeel.Ran
	// RequestID is the id that the system assigned to the request, empty if none.
	RequestID string
	// Job is the id of the submitted job, empty if none.
	Job string
	// Runs is the number of times that the upstream ran requests with the key,
	// zero if the upstream does not report it.
	Runs int
	// RanTwice reports that requests with the same key ran more than once.
	RanTwice bool
	// Latency is the time from the intended start to the end of the request.
	Latency time.Duration
}
