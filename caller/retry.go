package caller

import "github.com/carobkeel/carobkeel"

// MayRetry reports whether the request may be sent to another sidecar after an
// attempt ended with err. A request that has not run may be sent again if the error
// is retryable or the link was lost. One that may have run may be sent again only if
// it is idempotent and another sidecar may succeed.
func MayRetry(r *Request, err *carobkeel.Error) bool {
	if !r.CanResend() {
		return false
	}
	switch err.Ran {
	case carobkeel.RanNo:
		return err.Code.Info().Retryable || err.Code == carobkeel.CodeLinkLost
	case carobkeel.RanUnknown, carobkeel.RanYes:
		return r.Idempotent && retryMaySucceed(err.Code)
	}
	return false
}

// retryMaySucceed reports whether an attempt at another sidecar may succeed after one
// that ended with the code.
func retryMaySucceed(code carobkeel.Code) bool {
	switch code {
	case carobkeel.CodeLinkLost, carobkeel.CodeUpstreamFailed, carobkeel.CodeAnswerLost:
		return true
	}
	return false
}

// CombineAttempts returns the error for the caller after several attempts at one
// request. last is the error of the last attempt, before that of the earlier ones,
// nil if there were none. If an earlier attempt may have run the request, the
// result says so even if the last attempt did not run it.
func CombineAttempts(before, last *carobkeel.Error) *carobkeel.Error {
	if before == nil || before.Ran == carobkeel.RanNo || last.Ran == carobkeel.RanYes {
		return last
	}
	return last.WithRan(before.Ran)
}
