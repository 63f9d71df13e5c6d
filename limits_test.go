package carobkeel_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

func TestShareOfLimits(t *testing.T) {
	g := NewWithT(t)
	limits := carobkeel.Limits{Floor: 0.25, Concurrency: 8, Queue: 64}
	g.Expect(limits.Share()).To(Equal(carobkeel.ShareLimits{Floor: 0.25, Concurrency: 8, Queue: 64}))
	limits.Queue = 0
	g.Expect(limits.Share().Queue).To(Equal(carobkeel.NoQueue))
}
