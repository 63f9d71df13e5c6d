package wire_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/worker/interference"
)

// learnedImages returns records of images with pairs, the later ones seen later, whose names have the
// given length.
func learnedImages(images, pairs, name int) []interference.ImageRecord {
	named := func(prefix string, n int) string {
		return fmt.Sprintf("%s%03d", prefix, n) + strings.Repeat("x", name)
	}
	var records []interference.ImageRecord
	for i := range images {
		r := interference.ImageRecord{Image: named("i", i), Idle: 0.5, MeasuredAt: time.Duration(i)}
		for k := range pairs {
			r.Pairs = append(r.Pairs, interference.PairRecord{BestEffort: named("b", k), Sensitivity: 1, Variance: 1, UsedAt: time.Duration(i*pairs + k)})
		}
		records = append(records, r)
	}
	return records
}

// Guards against LOST: the row of learned images exceeded what the table service accepts.
func TestLearnedImagesFitInARow(t *testing.T) {
	const rowBytes = 48 << 10
	for _, name := range []int{0, 10, 60, 1000, 4000, 60_000} {
		t.Run(fmt.Sprint(name), func(t *testing.T) {
			g := NewWithT(t)
			records := learnedImages(32, 48, name)
			fitted, leftOut := wire.FitInterference(records, rowBytes)
			value, err := wire.FromInterference(fitted).MarshalMsg(nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(value)).To(BeNumerically("<=", rowBytes))
			g.Expect(leftOut > 0).To(Equal(name >= 10))
		})
	}
}

func TestLearnedImagesSeenLongestAgoAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	records := learnedImages(24, 40, 60)
	fitted, leftOut := wire.FitInterference(records, 48<<10)
	g.Expect(fitted).To(HaveLen(24))
	kept := 0
	oldest := time.Duration(24 * 40)
	for _, r := range fitted {
		for _, p := range r.Pairs {
			kept++
			oldest = min(oldest, p.UsedAt)
		}
	}
	g.Expect(kept + leftOut).To(Equal(24 * 40))
	g.Expect(oldest).To(BeNumerically("==", leftOut), "the newest ones stay")
	g.Expect(records[0].Pairs).To(HaveLen(40), "the records of the model stay as they are")
	all, leftOut := wire.FitInterference(records, 1<<20)
	g.Expect(leftOut).To(BeZero())
	g.Expect(all).To(Equal(records))
}
