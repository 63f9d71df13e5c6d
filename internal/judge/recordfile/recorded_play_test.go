package recordfile_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/internal/judge/recordfile"
)

// The play is of case 4 of the review, before its fault was fixed. The review's own stand-in
// found these six starts.
func TestJudgeFindsWhatTheReviewFoundInARecordedPlay(t *testing.T) {
	g := NewWithT(t)
	file, err := os.Open("testdata/late-beat.jsonl")
	g.Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	play, err := recordfile.Read(file)
	g.Expect(err).NotTo(HaveOccurred())
	starts := make(map[judge.RunID]bool)
	for _, f := range judge.Evaluate(play, judge.Bounds{}) {
		if f.Rule != judge.RuleTwice {
			continue
		}
		for _, number := range f.Events {
			if seen, ok := play.Events[number-1].Observation.(judge.RunStarted); ok && play.Events[number-1].At == f.At {
				starts[seen.RunID] = true
			}
		}
	}
	g.Expect(starts).To(HaveLen(6))
}
