package carobkeel_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

func TestShareOfLimits(t *testing.T) {
	g := NewWithT(t)
	limits := carobkeel.Limits{GuaranteedShare: 0.25, Concurrency: 8, Queue: 64}
	g.Expect(limits.ShareLimits()).To(Equal(carobkeel.ShareLimits{GuaranteedShare: 0.25, Concurrency: 8, Queue: 64}))
	limits.Queue = 0
	g.Expect(limits.ShareLimits().Queue).To(Equal(carobkeel.NoQueue))
}
