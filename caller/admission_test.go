package caller_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

func TestRetriesAreSafeAndWithinBudget(t *testing.T) {
	cases := map[string]struct {
		request caller.Request
		refusal *carobkeel.Error
		may     bool
	}{
		"not run, not idempotent":       {caller.Request{}, carobkeel.NewError(carobkeel.CodeQueueFull, ""), true},
		"not run, caller's fault":       {caller.Request{Idempotent: true}, carobkeel.NewError(carobkeel.CodeBodyTooLarge, ""), false},
		"unknown, idempotent":           {caller.Request{Idempotent: true}, carobkeel.NewError(carobkeel.CodeUpstreamFailed, ""), true},
		"unknown, not idempotent":       {caller.Request{}, carobkeel.NewError(carobkeel.CodeUpstreamFailed, ""), false},
		"unknown, out of time":          {caller.Request{Idempotent: true}, carobkeel.NewError(carobkeel.CodeTimeoutUnknown, ""), false},
		"body is gone":                  {caller.Request{Body: strings.NewReader("x")}, carobkeel.NewError(carobkeel.CodeDraining, ""), false},
		"link lost, but surely not run": {caller.Request{}, carobkeel.NewError(carobkeel.CodeLinkLost, "").WithRan(carobkeel.RanNo), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			admission := caller.NewAdmission()
			account := admission.Account(c.request.OwnerClass())
			g.Expect(admission.MayRetry(account, &c.request, c.refusal)).To(Equal(c.may))
			for account.Withdraw() {
			}
			g.Expect(admission.MayRetry(account, &c.request, c.refusal)).To(BeFalse(), "without a budget")
		})
	}
}

// admissionWithLatency returns an admission with enough latency samples of the
// service echo to hedge its requests.
func admissionWithLatency() *caller.Admission {
	admission := caller.NewAdmission()
	for range 200 {
		admission.TailLatency("echo").Observe(20 * time.Millisecond)
	}
	return admission
}

func TestHedgesOnlyIdempotentRequestsWithKnownLatency(t *testing.T) {
	g := NewWithT(t)
	idempotent := &caller.Request{Service: "echo", Idempotent: true}
	admission := admissionWithLatency()
	g.Expect(admission.HedgeDelay(idempotent)).To(BeNumerically(">", 0))
	g.Expect(admission.HedgeDelay(&caller.Request{Service: "echo"})).To(BeZero())
	g.Expect(admission.HedgeDelay(&caller.Request{Service: "echo", Idempotent: true, Body: strings.NewReader("x")})).To(BeZero())
	g.Expect(admission.HedgeDelay(&caller.Request{Service: "new", Idempotent: true})).To(BeZero())
}

func TestNothingIsHedgedInAnOverload(t *testing.T) {
	g := NewWithT(t)
	admission := admissionWithLatency()
	overloading := admission.Account(carobkeel.OwnerClass{Owner: "flood", Class: carobkeel.ClassBatch})
	random := rand.New(rand.NewPCG(5, 0))
	request := &caller.Request{Service: "echo", Idempotent: true}
	for range 10 {
		offer(admission, overloading, random, 1_000, 100)
	}
	g.Expect(admission.Overloaded()).To(BeTrue())
	g.Expect(admission.HedgeDelay(request)).To(BeZero())
	for range 50 {
		offer(admission, overloading, random, 10, 100)
	}
	g.Expect(admission.Overloaded()).To(BeFalse())
	g.Expect(admission.HedgeDelay(request)).To(BeNumerically(">", 0))
}

func TestTailFindsThe95thPercentile(t *testing.T) {
	g := NewWithT(t)
	var latency caller.TailLatency
	random := rand.New(rand.NewPCG(6, 0))
	for range 20_000 {
		latency.Observe(time.Duration(random.Float64() * float64(100*time.Millisecond)))
	}
	g.Expect(latency.HedgeDelay()).To(BeNumerically("~", 95*time.Millisecond, 5*time.Millisecond))
}

func TestOnlyRetryableRefusalsGetARetryDelay(t *testing.T) {
	g := NewWithT(t)
	admission := caller.NewAdmission()
	account := admission.Account(dispatch)
	full := carobkeel.NewError(carobkeel.CodeQueueFull, "")
	g.Expect(admission.WithRetryDelay(account, full, 0.5).RetryAfter).To(Equal(2 * time.Second))
	advised := full.WithRetryAfter(9 * time.Second)
	g.Expect(admission.WithRetryDelay(account, advised, 0.5).RetryAfter).To(Equal(9 * time.Second))
	for _, code := range []carobkeel.Code{carobkeel.CodeLinkLost, carobkeel.CodeInvalidRequest} {
		g.Expect(admission.WithRetryDelay(account, carobkeel.NewError(code, ""), 0.5).RetryAfter).To(BeZero())
	}
}
