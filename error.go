package carobkeel

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is a failure with a result code. Every error that crosses a package
// boundary for a caller or operator to see is one.
type Error struct {
	Code Code
	// Detail says what happened in this case, in one sentence.
	Detail string
	// Ran is what is known of the request, at least as strong as the code says.
	Ran Ran
	// RetryAfter is when a repeat has a chance. Zero means no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, uint16(e.Code), e.Detail)
}

// NewError returns an Error with the code's own statement of whether the
// request ran.
func NewError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Ran: code.Info().Ran}
}

// WithRetryAfter returns a copy of e that advises when to repeat.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	next := *e
	next.RetryAfter = after
	return &next
}

// WithRan returns a copy of e with another statement of whether it ran.
func (e *Error) WithRan(ran Ran) *Error {
	next := *e
	next.Ran = ran
	return &next
}

// AsError returns the Error in err's chain, or one with CodeLinkLost and an
// unknown outcome where there is none.
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
