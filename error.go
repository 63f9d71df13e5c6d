package carobkeel

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is a failure with a result code. Every error that a package returns for
// a caller or operator to see is an Error.
type Error struct {
	Code Code
	// Detail describes this particular failure in one sentence.
	Detail string
	// Ran tells whether the request was executed, at least as definitely as the
	// code does.
	Ran Ran
	// RetryAfter is the recommended delay before a retry. Zero means no
	// recommendation.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, uint16(e.Code), e.Detail)
}

// NewError returns an Error whose Ran is the default of the code.
func NewError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Ran: code.Info().Ran}
}

// WithRetryAfter returns a copy of e with a recommended delay before a retry.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	next := *e
	next.RetryAfter = after
	return &next
}

// WithRan returns a copy of e with another value of Ran.
func (e *Error) WithRan(ran Ran) *Error {
	next := *e
	next.Ran = ran
	return &next
}

// AsError returns the Error in err's chain, or an Error with CodeLinkLost and an
// unknown outcome if there is none.
func AsError(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return NewError(CodeLinkLost, "%v", err)
}

// CodeOf returns the result code of err, CodeOK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	return AsError(err).Code
}
