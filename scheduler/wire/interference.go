package wire

import (
	"cmp"
	"slices"

	"github.com/carobkeel/carobkeel/worker/interference"
)

// listOverhead bounds the bytes of a list's header, and of that of the map around it.
const listOverhead = 8

// FitInterference returns the records of images whose row has at most the given size, and how many images
// and pairs it leaves out: those that were seen longest ago.
func FitInterference(records []interference.ImageRecord, rowBytes int) (fitted []interference.ImageRecord, leftOut int) {
	left := rowBytes - listOverhead
	fitted = slices.Clone(records)
	slices.SortStableFunc(fitted, func(a, b interference.ImageRecord) int { return cmp.Compare(b.MeasuredAt, a.MeasuredAt) })
	for i := range fitted {
		if left -= imageBytes(&fitted[i]); left < 0 {
			leftOut, fitted = len(fitted)-i, fitted[:i]
			left = 0
			break
		}
	}
	leftOut += fitPairs(fitted, left)
	slices.SortFunc(fitted, func(a, b interference.ImageRecord) int { return cmp.Compare(a.Image, b.Image) })
	return fitted, leftOut
}

// fitPairs leaves the pairs of records out that were seen longest ago, so that the others have at most the
// given size, and returns how many it leaves out.
func fitPairs(records []interference.ImageRecord, left int) (leftOut int) {
	type pairOf struct {
		image int
		pair  interference.PairRecord
	}
	var pairs []pairOf
	for i := range records {
		for _, p := range records[i].Pairs {
			pairs = append(pairs, pairOf{i, p})
		}
		records[i].Pairs = nil
	}
	slices.SortStableFunc(pairs, func(a, b pairOf) int { return cmp.Compare(b.pair.UsedAt, a.pair.UsedAt) })
	for n, p := range pairs {
		if left -= pairBytes(&p.pair); left < 0 {
			leftOut = len(pairs) - n
			break
		}
		records[p.image].Pairs = append(records[p.image].Pairs, p.pair)
	}
	for i := range records {
		slices.SortFunc(records[i].Pairs, func(a, b interference.PairRecord) int { return cmp.Compare(a.BestEffort, b.BestEffort) })
	}
	return leftOut
}

// imageBytes bounds the encoded size of an image without its pairs.
func imageBytes(r *interference.ImageRecord) int {
	encoded := ImageInterference{Image: r.Image, Idle: r.Idle}
	return encoded.Msgsize()
}

// pairBytes bounds the encoded size of a pair.
func pairBytes(p *interference.PairRecord) int {
	encoded := fromPair(p)
	return encoded.Msgsize()
}
