package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/carobkeel/carobkeel/table"
)

// quantity is a number with the text that says how it comes about. Products and
// quotients of quantities carry their formula along.
type quantity struct {
	value float64
	text  string
}

// amount returns a quantity that is given, not computed.
func amount(value float64, what string) quantity {
	return quantity{value: value, text: number(value) + " " + what}
}

func (q quantity) times(other quantity) quantity {
	return quantity{value: q.value * other.value, text: q.text + " × " + other.text}
}

func (q quantity) over(other quantity) quantity {
	return quantity{value: q.value / other.value, text: q.text + " / " + other.text}
}

func (q quantity) plus(other quantity) quantity {
	return quantity{value: q.value + other.value, text: "(" + q.text + " + " + other.text + ")"}
}

// named returns the quantity under a name of its own, for use in formulas.
func (q quantity) named(what string) quantity { return amount(q.value, what) }

// number formats a value with three significant digits, and whole numbers from
// 1,000 in full with commas.
func number(value float64) string {
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

// resource is what a line uses up.
type resource uint8

const (
	processor resource = iota
	memory
	traffic
	storeWrites
	storeReads
	resourceCount = 5
)

// resourceInfo describes a resource: the unit of its results and its limit.
type resourceInfo struct {
	name, unit string
	limit      float64
	// scale converts the units of figures to the resource's unit.
	scale map[string]float64
}

const (
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
	// storeWritesPerSecond reads "several hundred writes" at its lower end.
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

// verdict compares a result with a limit.
func verdict(result, limit float64) string {
	if result <= limit {
		return fmt.Sprintf("holds, %s%% of the limit", number(100*result/limit))
	}
	return fmt.Sprintf("**does not hold, factor %s**", number(result/limit))
}
