package measurement

import (
	"math"

	"github.com/pkg/errors"
)

// MinPoints is the minimum number of points for a fit.
const MinPoints = 3

// Line is the linear function value = Base + Slope × size.
type Line struct{ Base, Slope float64 }

// At returns the line's value at a size, or zero where the line is negative.
func (l Line) At(size float64) float64 { return math.Max(0, l.Base+l.Slope*size) }

// Fit returns the line with the least sum of squared relative errors. Relative
// errors give small sizes the same weight as large ones.
func Fit(points []Point) (Line, error) {
	if len(points) < MinPoints {
		return Line{}, errors.Errorf("a fit needs at least %d points, got %d", MinPoints, len(points))
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
		return Line{}, errors.New("all points have the same size")
	}
	slope := (weights*products - sizes*values) / determinant
	return Line{Base: (values - slope*sizes) / weights, Slope: slope}, nil
}

// MaxRelativeError returns the maximum relative error of the line over the points.
func (l Line) MaxRelativeError(points []Point) float64 {
	worst := 0.0
	for _, p := range points {
		if p.Value != 0 {
			worst = math.Max(worst, math.Abs(l.At(p.Size)-p.Value)/math.Abs(p.Value))
		}
	}
	return worst
}
