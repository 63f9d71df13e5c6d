package caller_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

func refusal(code carobkeel.Code, ran carobkeel.Ran) *carobkeel.Error {
	return carobkeel.NewError(code, "").WithRan(ran)
}

func TestCombineAttemptsKeepsThatARequestMayHaveRun(t *testing.T) {
	const no, yes, unknown = carobkeel.RanNo, carobkeel.RanYes, carobkeel.RanUnknown
	for _, c := range []struct{ before, last, want carobkeel.Ran }{
		{no, no, no},
		{no, unknown, unknown},
		{no, yes, yes},
		{unknown, no, unknown},
		{unknown, unknown, unknown},
		{unknown, yes, yes},
		{yes, no, yes},
		{yes, unknown, yes},
		{yes, yes, yes},
	} {
		got := caller.CombineAttempts(refusal(carobkeel.CodeLinkLost, c.before), refusal(carobkeel.CodeQueueFull, c.last))
		NewWithT(t).Expect(got.Ran).To(Equal(c.want), "%s, then %s", c.before, c.last)
	}
	NewWithT(t).Expect(caller.CombineAttempts(nil, refusal(carobkeel.CodeQueueFull, no)).Ran).To(Equal(no))
}

func TestMayRetry(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		code       carobkeel.Code
		ran        carobkeel.Ran
		want       bool
	}{
		{false, carobkeel.CodeQueueFull, carobkeel.RanNo, true},
		{false, carobkeel.CodeLinkLost, carobkeel.RanNo, true},
		{false, carobkeel.CodeLinkLost, carobkeel.RanUnknown, false},
		{false, carobkeel.CodeAnswerLost, carobkeel.RanYes, false},
		{true, carobkeel.CodeLinkLost, carobkeel.RanUnknown, true},
		{true, carobkeel.CodeUpstreamFailed, carobkeel.RanUnknown, true},
		{true, carobkeel.CodeTimeoutUnknown, carobkeel.RanUnknown, false},
		{true, carobkeel.CodeKeyConflict, carobkeel.RanNo, false},
	} {
		r := &caller.Request{Idempotent: c.idempotent}
		NewWithT(t).Expect(caller.MayRetry(r, refusal(c.code, c.ran))).To(Equal(c.want), "%+v", c)
	}
}
