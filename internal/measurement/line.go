package measurement

import (
	"math"

	"github.com/pkg/errors"
)

// MinimumPoints is the number of sizes that a slope needs.
const MinimumPoints = 3

// Line is value = Base + Slope × size.
type Line struct{ Base, Slope float64 }

// At returns the line's value at a size, never below zero.
func (l Line) At(size float64) float64 { return math.Max(0, l.Base+l.Slope*size) }

// Fit returns the line through the points with the least sum of squared
// relative errors, so that small sizes count as much as large ones.
func Fit(points []Point) (Line, error) {
	if len(points) < MinimumPoints {
		return Line{}, errors.Errorf("a slope needs %d sizes, have %d", MinimumPoints, len(points))
	}
	var weights, sizes, values, squares, products float64
	for _, p := range points {
		weight := 1.0
		if p.Value != 0 {
			weight = 1 / (p.Value * p.Value)
		}
		weights += weight
		sizes += weight * p.Size
		values += weight * p.Value
		squares += weight * p.Size * p.Size
		products += weight * p.Size * p.Value
	}
	determinant := weights*squares - sizes*sizes
	if determinant == 0 {
		return Line{}, errors.New("all points have one size")
	}
	slope := (weights*products - sizes*values) / determinant
	return Line{Base: (values - slope*sizes) / weights, Slope: slope}, nil
}

// WorstError returns the greatest relative distance of a point from the line.
func (l Line) WorstError(points []Point) float64 {
	worst := 0.0
	for _, p := range points {
		if p.Value != 0 {
			worst = math.Max(worst, math.Abs(l.At(p.Size)-p.Value)/math.Abs(p.Value))
		}
	}
	return worst
}
