package main

import (
	"fmt"

	"github.com/carobkeel/carobkeel/internal/measurement"
)

// role is a part of the system that has a budget of its own.
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

// cost is what one unit of a line takes: a figure of the benchmark, or a slope
// over the sizes that a figure was measured at.
type cost struct {
	// figure is "suite/name", with N in place of the size for a slope.
	figure string
	// size is where a slope is read off. It is unset for a plain figure.
	size quantity
	// perUnit is set where the figure counts how many units one of its own
	// measure carries; the cost of a unit is then the inverse, in this unit.
	perUnit string
	// each is the measure that the figure is a number for, in the unit perUnit.
	each float64
}

// at returns the cost of a figure that was measured at several sizes.
func at(figure string, size quantity) cost { return cost{figure: figure, size: size} }

// plain returns the cost of a figure without a size.
func plain(figure string) cost { return cost{figure: figure} }

// rateAt returns the cost of one unit of a figure in units a second of a core.
func rateAt(figure string, size quantity) cost {
	return cost{figure: figure, size: size, perUnit: "us", each: microsPerSecond}
}

// batched returns the cost of one unit of a figure that says how many share a
// transaction.
func batched(figure string) cost { return cost{figure: figure, perUnit: "writes", each: 1} }

// line is one row of the page: how often something happens or is kept, and what
// one of it takes. A result is cost × count.
type line struct {
	role      role
	resource  resource
	what      string
	cost      cost
	count     quantity
	assumes   string
	mechanism string
}

// unitCost is what one unit takes, as measured.
type unitCost struct {
	value  float64
	unit   string
	source string
}

// results looks figures up.
type results struct {
	series map[string]measurement.Series
	latest map[string]measurement.Record
}

func newResults(records []measurement.Record) *results {
	return &results{series: measurement.GroupSeries(records), latest: measurement.Latest(records)}
}

const microsPerSecond = 1e6

// lookup returns the unit cost, or false where it is not measured.
func (r *results) lookup(c cost) (unitCost, bool) {
	if c.size.text == "" {
		record, ok := r.latest[c.figure]
		if !ok {
			return unitCost{}, false
		}
		unit := unitCost{record.Value, record.Unit, source(record.Figure(), record.Commit)}
		if c.perUnit != "" {
			unit.value, unit.unit = c.each/record.Value, c.perUnit
		}
		return unit, true
	}
	series, ok := r.series[c.figure]
	if !ok {
		return unitCost{}, false
	}
	points, unit := series.Points, series.Unit
	if c.perUnit != "" {
		points, unit = inverse(points, c.each), c.perUnit
	}
	fitted, err := measurement.Fit(points)
	if err != nil {
		return unitCost{}, false
	}
	text := fmt.Sprintf("%s: %s + %s × N %s", source(c.figure, series.Commit), number(fitted.Base), number(fitted.Slope), unit)
	if worst := fitted.MaxRelativeError(points); worst > noteworthyError {
		text += fmt.Sprintf("; the line is up to %s%% off its points", number(100*worst))
	}
	if largest := points[len(points)-1].Size; c.size.value > largest {
		text += fmt.Sprintf("; read off beyond the largest size, %s", number(largest))
	}
	return unitCost{fitted.At(c.size.value), unit, text}, true
}

// noteworthyError is the relative distance from a line that the page mentions.
const noteworthyError = 0.25

func inverse(points []measurement.Point, each float64) []measurement.Point {
	var inverted []measurement.Point
	for _, p := range points {
		if p.Value > 0 {
			inverted = append(inverted, measurement.Point{Size: p.Size, Value: each / p.Value})
		}
	}
	return inverted
}

func source(figure, commit string) string { return fmt.Sprintf("`%s` at %s", figure, commit) }

// outcome is a line with its result.
type outcome struct {
	line
	unit     unitCost
	measured bool
	// result is in the unit of the line's resource.
	result float64
}

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
