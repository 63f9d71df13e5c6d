package caller_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

var dispatch = carobkeel.OwnerClass{Owner: "dispatch"}

// offer admits the requests of one tick to a fleet that accepts capacity of them,
// and returns how many were sent.
func offer(a *caller.Admission, account *caller.OwnerAdmission, random *rand.Rand, requests, capacity int) int {
	sent := 0
	for range requests {
		if a.Admit(account, random.Float64()) != nil {
			continue
		}
		sent++
		code := carobkeel.CodeOK
		if sent > capacity {
			code = carobkeel.CodeQueueFull
		}
		a.Finish(account, code)
	}
	a.Tick()
	return sent
}

func TestThrottleFollowsAcceptedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(20, 500).Draw(t, "capacity")
		factor := rapid.IntRange(2, 20).Draw(t, "factor")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		admission := caller.NewAdmission()
		account := admission.Account(dispatch)
		for range 20 {
			offer(admission, account, random, capacity, capacity)
		}
		for range 5 {
			offer(admission, account, random, factor*capacity, capacity)
		}
		total := 0
		const ticks = 20
		for range ticks {
			total += offer(admission, account, random, factor*capacity, capacity)
		}
		if mean := float64(total) / ticks; mean > 1.7*float64(capacity) || mean < 0.9*float64(capacity) {
			t.Fatalf("%g requests a tick for a capacity of %d", mean, capacity)
		}
	})
}

func TestThrottleEndsAfterAnOverload(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 0))
	admission := caller.NewAdmission()
	account := admission.Account(dispatch)
	for range 50 {
		offer(admission, account, random, 2_000, 200)
	}
	g.Expect(account.Overload()).To(BeNumerically(">", 5))
	offer(admission, account, random, 100, 200)
	for range 20 {
		g.Expect(offer(admission, account, random, 100, 200)).To(Equal(100))
	}
	g.Expect(account.Overload()).To(Equal(1.0))
}

func TestPauseBetweenBurstsDoesNotEndTheLimit(t *testing.T) {
	for name, between := range map[string]int{"no request": 0, "one request": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(5, 0))
			admission := caller.NewAdmission()
			account := admission.Account(dispatch)
			for range 20 {
				offer(admission, account, random, 2_000, 200)
			}
			for range 20 {
				offer(admission, account, random, between, 200)
				g.Expect(offer(admission, account, random, 2_000, 200)).To(BeNumerically("<", 2*200))
			}
		})
	}
}

func TestFirstLimitIsNotBelowWhatWasAccepted(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 0))
	admission := caller.NewAdmission()
	account := admission.Account(dispatch)
	offer(admission, account, random, 2_000, 200)
	g.Expect(offer(admission, account, random, 2_000, 200)).To(BeNumerically(">=", 200))
}

func TestLimitEndsWithoutRequests(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(6, 0))
	admission := caller.NewAdmission()
	account := admission.Account(dispatch)
	for range 20 {
		offer(admission, account, random, 2_000, 200)
	}
	for range 20 {
		admission.Tick()
	}
	g.Expect(account.Overload()).To(Equal(1.0))
	g.Expect(offer(admission, account, random, 1_000, 2_000)).To(Equal(1_000))
}

func TestOverloadByOneOwnerDoesNotAffectOthers(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(2, 0))
	admission := caller.NewAdmission()
	overloading := admission.Account(carobkeel.OwnerClass{Owner: "flood"})
	quiet := admission.Account(dispatch)
	for range 50 {
		for range 50 {
			g.Expect(admission.Admit(quiet, random.Float64())).To(BeNil())
			admission.Finish(quiet, carobkeel.CodeOK)
		}
		offer(admission, overloading, random, 2_000, 200)
	}
}

func TestARiseWithoutRefusalsIsNotThrottled(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 0))
	admission := caller.NewAdmission()
	account := admission.Account(dispatch)
	for _, requests := range []int{10, 10, 1_000, 0, 5_000} {
		g.Expect(offer(admission, account, random, requests, 10_000)).To(Equal(requests))
	}
}

func TestRetryAfterIsWholeSecondsAndSpread(t *testing.T) {
	g := NewWithT(t)
	rapid.Check(t, func(t *rapid.T) {
		overload := rapid.Float64Range(0, 1e6).Draw(t, "overload")
		after := caller.RetryAfter(overload, rapid.Float64Range(0, 1).Draw(t, "random"))
		if after < time.Second || after > 30*time.Second || after%time.Second != 0 {
			t.Fatalf("retry after %s", after)
		}
	})
	random := rand.New(rand.NewPCG(4, 0))
	for overload, values := range map[float64]int{1: 2, 10: 20, 1_000: 20} {
		seen := make(map[time.Duration]int)
		for range 10_000 {
			seen[caller.RetryAfter(overload, random.Float64())]++
		}
		g.Expect(len(seen)).To(BeNumerically(">=", values), "overload %g", overload)
	}
}
