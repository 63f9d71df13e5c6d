package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/carobkeel/carobkeel/table"
)

// quantity is a number with the formula that it was computed by. Arithmetic on
// quantities extends the formula.
type quantity struct {
	value   float64
	formula string
}

// amount returns a quantity that is given rather than computed.
func amount(value float64, what string) quantity {
	return quantity{value: value, formula: formatNumber(value) + " " + what}
}

func (q quantity) times(other quantity) quantity {
	return quantity{value: q.value * other.value, formula: q.formula + " × " + other.formula}
}

func (q quantity) over(other quantity) quantity {
	return quantity{value: q.value / other.value, formula: q.formula + " / " + other.formula}
}

func (q quantity) plus(other quantity) quantity {
	return quantity{value: q.value + other.value, formula: "(" + q.formula + " + " + other.formula + ")"}
}

// named returns the quantity with its formula replaced by its value and a
// name.
func (q quantity) named(what string) quantity { return amount(q.value, what) }

// formatNumber formats a value with three significant digits. Values of
// magnitude 1,000 or more are rounded to integers, with commas between groups
// of digits.
func formatNumber(value float64) string {
	if value < 1000 && value > -1000 {
		return strconv.FormatFloat(value, 'g', 3, 64)
	}
	digits := strconv.FormatFloat(value, 'f', 0, 64)
	var groups []string
	for len(digits) > 3 {
		groups = append([]string{digits[len(digits)-3:]}, groups...)
		digits = digits[:len(digits)-3]
	}
	return strings.Join(append([]string{digits}, groups...), ",")
}

// resource identifies a limited resource that a line consumes.
type resource uint8

const (
	processor resource = iota
	memory
	traffic
	storeWrites
	storeReads
	resourceCount = 5
)

// resourceInfo describes a resource: its name, the unit of its results and its
// limit.
type resourceInfo struct {
	name, unit string
	limit      float64
	// scale maps the units of figures to the factor that converts them to the
	// resource's unit.
	scale map[string]float64
}

const (
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
	// storeWritesPerSecond is the low end of the store's stated limit, "several
	// hundred writes".
	storeWritesPerSecond = table.ServiceWritesPerSecond
	storeReadsPerSecond  = table.ServiceReadsPerSecond
)

var resources = [resourceCount]resourceInfo{
	processor:   {"processor", "% of a core", 3.1, map[string]float64{"ns": 1e-7, "us": 1e-4, "ms": 1e-1}},
	memory:      {"memory", "MB", 128, map[string]float64{"bytes": 1. / bytesPerMB, "KB": 1. / bytesPerKB, "MB": 1}},
	traffic:     {"traffic", "KB a second", 2, map[string]float64{"bytes": 1. / bytesPerKB, "KB": 1}},
	storeWrites: {"store writes", "writes a second", storeWritesPerSecond, map[string]float64{"writes": 1}},
	storeReads:  {"store reads", "reads a second", storeReadsPerSecond, map[string]float64{"reads": 1}},
}

func (r resource) info() resourceInfo { return resources[r] }

// verdict states whether a result is within its limit, and how far it is from
// it.
func verdict(result, limit float64) string {
	if result <= limit {
		return fmt.Sprintf("holds, %s%% of the limit", formatNumber(100*result/limit))
	}
	return fmt.Sprintf("**does not hold, factor %s**", formatNumber(result/limit))
}
