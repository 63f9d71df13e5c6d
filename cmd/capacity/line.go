package main

import (
	"fmt"

	"github.com/carobkeel/carobkeel/internal/measurement"
)

// role is a part of the system with a resource budget of its own.
type role string

const (
	roleEntry       role = "entry"
	roleSidecar     role = "sidecar"
	roleScheduling  role = "scheduling, a shard"
	roleTable       role = "table service"
	roleObjectStore role = "object store"
	roleWorker      role = "workers' side"
)

var roles = []role{roleEntry, roleSidecar, roleScheduling, roleTable, roleObjectStore, roleWorker}

// figureRef names the benchmark figure that gives the cost of one unit. It is
// either a single figure, or a series measured at several sizes, to which a
// straight line is fitted.
type figureRef struct {
	// figure is "suite/name"; the name of a series has N in place of the size.
	figure string
	// size is the size at which the fitted line is evaluated; unset for a single
	// figure.
	size quantity
	// inverseUnit is set if the figure is a number of units per something,
	// such as decisions per second. The cost of one unit is then numerator
	// divided by the figure, in inverseUnit.
	inverseUnit string
	// numerator is the amount that the figure counts units per, in inverseUnit: a
	// second in microseconds, or one write for a transaction.
	numerator float64
}

// costAtSize returns the cost given by a figure that was measured at several
// sizes, at one size.
func costAtSize(figure string, size quantity) figureRef { return figureRef{figure: figure, size: size} }

// constantCost returns the cost given by a figure that does not depend on a
// size.
func constantCost(figure string) figureRef { return figureRef{figure: figure} }

// inverseRateAtSize returns the cost of one unit, in microseconds, from a
// figure in units per second of one core, measured at several sizes.
func inverseRateAtSize(figure string, size quantity) figureRef {
	return figureRef{figure: figure, size: size, inverseUnit: "us", numerator: microsPerSecond}
}

// batchedWriteCost returns the cost of one unit, in writes, from a figure that
// counts the units that share a transaction.
func batchedWriteCost(figure string) figureRef {
	return figureRef{figure: figure, inverseUnit: "writes", numerator: 1}
}

// line is one row of the page: the cost of one unit and the number of units.
// The number is a rate for work, and an amount for what is kept in memory. The
// result is cost × count.
type line struct {
	role        role
	resource    resource
	description string
	cost        figureRef
	count       quantity
	assumption  string
	mechanism   string
}

// unitCost is the measured cost of one unit, with the figure that it comes
// from.
type unitCost struct {
	value  float64
	unit   string
	source string
}

// results holds the measured figures by name: the series over sizes, and the
// latest record of each single figure.
type results struct {
	series map[string]measurement.Series
	latest map[string]measurement.Record
}

func newResults(records []measurement.Record) *results {
	return &results{series: measurement.GroupSeries(records), latest: measurement.Latest(records)}
}

const microsPerSecond = 1e6

// lookup returns the cost of one unit. It returns false if the figure is not
// measured, or a series has too few usable points for a fit.
func (r *results) lookup(ref figureRef) (unitCost, bool) {
	if ref.size.formula == "" {
		record, ok := r.latest[ref.figure]
		if !ok {
			return unitCost{}, false
		}
		unit := unitCost{record.Value, record.Unit, source(record.Figure(), record.Commit)}
		if ref.inverseUnit != "" {
			unit.value, unit.unit = ref.numerator/record.Value, ref.inverseUnit
		}
		return unit, true
	}
	series, ok := r.series[ref.figure]
	if !ok {
		return unitCost{}, false
	}
	points, unit := series.Points, series.Unit
	if ref.inverseUnit != "" {
		points, unit = invertPoints(points, ref.numerator), ref.inverseUnit
	}
	fitted, err := measurement.Fit(points)
	if err != nil {
		return unitCost{}, false
	}
	text := fmt.Sprintf("%s: %s + %s × N %s", source(ref.figure, series.Commit), formatNumber(fitted.Base), formatNumber(fitted.Slope), unit)
	if worst := fitted.MaxRelativeError(points); worst > noteworthyError {
		text += fmt.Sprintf("; the line is up to %s%% off its points", formatNumber(100*worst))
	}
	if largest := points[len(points)-1].Size; ref.size.value > largest {
		text += fmt.Sprintf("; read off beyond the largest size, %s", formatNumber(largest))
	}
	return unitCost{fitted.At(ref.size.value), unit, text}, true
}

// noteworthyError is the relative error of a fitted line above which the page
// mentions it.
const noteworthyError = 0.25

// invertPoints returns the points with numerator divided by their values. It
// leaves out points whose value is not positive.
func invertPoints(points []measurement.Point, numerator float64) []measurement.Point {
	var inverted []measurement.Point
	for _, p := range points {
		if p.Value > 0 {
			inverted = append(inverted, measurement.Point{Size: p.Size, Value: numerator / p.Value})
		}
	}
	return inverted
}

func source(figure, commit string) string { return fmt.Sprintf("`%s` at %s", figure, commit) }

// outcome is a line with its result, if its cost is measured.
type outcome struct {
	line
	unit     unitCost
	measured bool
	// result is in the unit of the line's resource.
	result float64
}

// evaluate returns the result of a line. The line counts as not measured if
// its figure is missing or is in a unit that does not fit the resource.
func (r *results) evaluate(l line) outcome {
	unit, ok := r.lookup(l.cost)
	if !ok {
		return outcome{line: l}
	}
	scale, ok := l.resource.info().scale[unit.unit]
	if !ok {
		return outcome{line: l}
	}
	return outcome{line: l, unit: unit, measured: true, result: unit.value * scale * l.count.value}
}
