package plan

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Sizes is a range of body sizes in bytes. It implements flag.Value.
type Sizes struct{ Min, Max int }

// maxBodySize bounds what one request holds in memory.
const maxBodySize = 64 << 20

// String implements flag.Value.
func (s *Sizes) String() string {
	if s == nil || s.Min == s.Max {
		return strconv.Itoa(s.min())
	}
	return strconv.Itoa(s.Min) + "-" + strconv.Itoa(s.Max)
}

func (s *Sizes) min() int {
	if s == nil {
		return 0
	}
	return s.Min
}

// Set implements flag.Value. It takes a size or a range MIN-MAX.
func (s *Sizes) Set(text string) error {
	low, high, isRange := strings.Cut(text, "-")
	if !isRange {
		high = low
	}
	least, err := strconv.Atoi(low)
	if err != nil {
		return errors.Errorf("%q is not a number of bytes", low)
	}
	most, err := strconv.Atoi(high)
	if err != nil {
		return errors.Errorf("%q is not a number of bytes", high)
	}
	if least < 0 || most < least || most > maxBodySize {
		return errors.Errorf("want 0 <= MIN <= MAX <= %d", maxBodySize)
	}
	*s = Sizes{Min: least, Max: most}
	return nil
}

// draw returns a size, spread evenly over the range's orders of magnitude.
func (s Sizes) draw(random *rand.Rand) int {
	if s.Min == s.Max {
		return s.Min
	}
	low, high := math.Log(float64(s.Min+1)), math.Log(float64(s.Max+1))
	size := int(math.Exp(low+random.Float64()*(high-low))) - 1
	return min(max(size, s.Min), s.Max)
}

// Body returns the content of a request's body. It depends on the seed, the
// sequence number and the size alone, so an answer to another request differs.
func Body(seed, sequence uint64, size int) []byte {
	source := rand.NewPCG(seed, sequence)
	body := make([]byte, 0, size+8)
	for len(body) < size {
		body = binary.LittleEndian.AppendUint64(body, source.Uint64())
	}
	return body[:size]
}
