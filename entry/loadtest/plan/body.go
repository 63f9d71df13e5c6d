package plan

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// SizeRange is a range of body sizes in bytes. It implements flag.Value.
type SizeRange struct{ Min, Max int }

// maxBodySize bounds the memory that the body of one request takes.
const maxBodySize = 64 << 20

// String implements flag.Value.
func (s *SizeRange) String() string {
	if s == nil || s.Min == s.Max {
		return strconv.Itoa(s.min())
	}
	return strconv.Itoa(s.Min) + "-" + strconv.Itoa(s.Max)
}

func (s *SizeRange) min() int {
	if s == nil {
		return 0
	}
	return s.Min
}

// Set implements flag.Value. The text is a size or a range MIN-MAX.
func (s *SizeRange) Set(text string) error {
	low, high, isRange := strings.Cut(text, "-")
	if !isRange {
		high = low
	}
	minimum, err := strconv.Atoi(low)
	if err != nil {
		return errors.Errorf("%q is not a number of bytes", low)
	}
	maximum, err := strconv.Atoi(high)
	if err != nil {
		return errors.Errorf("%q is not a number of bytes", high)
	}
	if minimum < 0 || maximum < minimum || maximum > maxBodySize {
		return errors.Errorf("want 0 <= MIN <= MAX <= %d", maxBodySize)
	}
	*s = SizeRange{Min: minimum, Max: maximum}
	return nil
}

// draw returns a random size from the range. Sizes are distributed evenly over the
// range's orders of magnitude.
func (s SizeRange) draw(random *rand.Rand) int {
	if s.Min == s.Max {
		return s.Min
	}
	low, high := math.Log(float64(s.Min+1)), math.Log(float64(s.Max+1))
	size := int(math.Exp(low+random.Float64()*(high-low))) - 1
	return min(max(size, s.Min), s.Max)
}

// Body returns the content of a request's body. It is determined by the seed, the
// sequence number and the size, and differs between requests, so that an answer to
// another request is detected.
func Body(seed, sequence uint64, size int) []byte {
	source := rand.NewPCG(seed, sequence)
	body := make([]byte, 0, size+8)
	for len(body) < size {
		body = binary.LittleEndian.AppendUint64(body, source.Uint64())
	}
	return body[:size]
}
