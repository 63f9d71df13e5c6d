package loadtest

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
)

// Outcome is how a request ended for its caller.
type Outcome uint8

const (
	// Answered is the upstream's right answer.
	Answered Outcome = iota
	// Refused is an answer of the system itself.
	Refused
	// Failed is an answer with an unexpected status or without a result code.
	Failed
	// Mismatched is an answer to another request, or a cut one.
	Mismatched
	// Lost is a request that was sent and had no whole answer in time.
	Lost
	// Unreachable is a request for which no connection could be made.
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

// Reason says what was seen of a request that was neither answered nor refused.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	ReasonConnectionRefused
	ReasonTimeout
	ReasonConnectionLost
	ReasonNoResultCode
	ReasonUnexpectedStatus
	ReasonBodyDiffers
	ReasonBodyCut
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

// String returns the reason as a sentence without its full stop.
func (r Reason) String() string {
	if int(r) >= reasonCount {
		return reasonTexts[ReasonNone]
	}
	return reasonTexts[r]
}

// Result is what became of one request.
type Result struct {
	Request plan.Request
	Share   plan.Share
	// Name is the request's name in HeaderRequest.
	Name    string
	Outcome Outcome
	Reason  Reason
	// Code and Ran are what a refusal says.
	Code carobkeel.Code
	Ran  carobkeel.Ran
	// RequestID is the id that the system gave the request, empty for none.
	RequestID string
	// Job is the id of the submitted job.
	Job string
	// Runs is how often the upstream says that it ran the key, zero where it
	// does not say.
	Runs int
	// Doubled says that one key was run more than once.
	Doubled bool
	// Latency counts from the intended start.
	Latency time.Duration
}
