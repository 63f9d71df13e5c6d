package caller

import "github.com/carobkeel/carobkeel"

// MayRetry reports whether the request may be sent to another sidecar after it
// ended with err. A request that has not run may always be sent again, one that
// may have run only if running it twice is harmless.
func MayRetry(r *Request, err *carobkeel.Error) bool {
	if !r.Repeatable() {
		return false
	}
	switch err.Ran {
	case carobkeel.RanNo:
		return err.Code.Info().Retryable || err.Code == carobkeel.CodeLinkLost
	case carobkeel.RanUnknown, carobkeel.RanYes:
		return r.Idempotent && repeatMayHelp(err.Code)
	}
	return false
}

// repeatMayHelp reports whether another sidecar may do better after the code.
func repeatMayHelp(code carobkeel.Code) bool {
	switch code {
	case carobkeel.CodeLinkLost, carobkeel.CodeUpstreamFailed, carobkeel.CodeAnswerLost:
		return true
	}
	return false
}

// Joined returns what a caller is told after several attempts at one request, of
// which the last ended with last and the ones before with before, nil where
// there were none. A request may have run at any of them.
func Joined(before, last *carobkeel.Error) *carobkeel.Error {
	if before == nil || before.Ran == carobkeel.RanNo || last.Ran == carobkeel.RanYes {
		return last
	}
	return last.WithRan(before.Ran)
}
