package operator

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const milliPerCore = 1000

const percent = 100

var (
	cpuPattern   = regexp.MustCompile(`^([0-9]{1,9})(?:\.([0-9]{1,3}))?$`)
	milliPattern = regexp.MustCompile(`^([0-9]{1,12})m$`)
	bytesPattern = regexp.MustCompile(`^([0-9]{1,18})(KiB|MiB|GiB|TiB|B)?$`)
)

type byteUnit struct {
	name string
	size int64
}

// byteUnits lists the units of memory, largest first.
var byteUnits = []byteUnit{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
}

// ParseCPU returns thousandths of a core for text like "500m", "2" or "1.5".
func ParseCPU(text string) (int64, error) {
	if parts := milliPattern.FindStringSubmatch(text); parts != nil {
		return strconv.ParseInt(parts[1], 10, 64)
	}
	parts := cpuPattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, errors.Errorf("%q is not an amount of processor time, want cores like 2 or 1.5, or thousandths like 500m", text)
	}
	cores, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	milli, err := strconv.ParseInt((parts[2] + "000")[:3], 10, 64)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return cores*milliPerCore + milli, nil
}

// FormatCPU returns the text that ParseCPU reads.
func FormatCPU(milli int64) string {
	if milli%milliPerCore == 0 {
		return strconv.FormatInt(milli/milliPerCore, 10)
	}
	return strconv.FormatInt(milli, 10) + "m"
}

// ParseBytes returns a number of bytes for text like "4GiB" or "4096".
func ParseBytes(text string) (int64, error) {
	parts := bytesPattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, errors.Errorf("%q is not a size, want a whole number with KiB, MiB, GiB, TiB or no unit for bytes", text)
	}
	count, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for _, unit := range byteUnits {
		if unit.name != parts[2] {
			continue
		}
		if count > math.MaxInt64/unit.size {
			return 0, errors.Errorf("%q is too large", text)
		}
		return count * unit.size, nil
	}
	return count, nil
}

// FormatBytes returns the text that ParseBytes reads, in the largest unit that
// divides the size.
func FormatBytes(size int64) string {
	for _, unit := range byteUnits {
		if size != 0 && size%unit.size == 0 {
			return strconv.FormatInt(size/unit.size, 10) + unit.name
		}
	}
	return strconv.FormatInt(size, 10)
}

// ParseDuration returns the duration for text like "800ms" or "1h30m".
func ParseDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, errors.Errorf("%q is not a duration, want a number with a unit like 800ms, 2s or 1h30m", text)
	}
	return duration, nil
}

// FormatDuration returns the text that ParseDuration reads, without trailing
// units that are zero.
func FormatDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// ParseShare returns the fraction for text like "0.25" or "25%".
func ParseShare(text string) (float64, error) {
	number, isPercent := strings.CutSuffix(text, "%")
	share, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(share) || math.IsInf(share, 0) {
		return 0, errors.Errorf("%q is not a share, want a number like 0.25 or 25%%", text)
	}
	if isPercent {
		share /= percent
	}
	return share, nil
}
