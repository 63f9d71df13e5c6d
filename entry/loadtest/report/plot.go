package report

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 27 * vg.Centimeter
	plotMargin = 4 * vg.Millimeter
	lineWidth  = 1.5 * vg.Millimeter / 3
	// minPlottedLatency is the lower end of the latency axis, in milliseconds.
	// Smaller latencies are drawn there.
	minPlottedLatency Millis = 0.01
	// legendStretch is the factor by which the time axis is longer than the run, to
	// make room for the legend.
	legendStretch = 1.15
)

// Colours that can be distinguished with the common colour-vision deficiencies.
var (
	colourBlue   = color.RGBA{R: 0, G: 114, B: 178, A: 255}
	colourOrange = color.RGBA{R: 230, G: 159, B: 0, A: 255}
	colourRed    = color.RGBA{R: 213, G: 94, B: 0, A: 255}
	colourGreen  = color.RGBA{R: 0, G: 158, B: 115, A: 255}
	colourGrey   = color.RGBA{R: 225, G: 225, B: 225, A: 255}
	colourFlood  = color.RGBA{R: 240, G: 228, B: 200, A: 255}
)

// WritePlotFile writes the plots to a file. The extension of the path, .svg or
// .png, determines the format.
func (r *Report) WritePlotFile(path string) error {
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(path)), ".")
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write the plot")
	}
	err = r.WritePlot(file, format)
	if closeErr := file.Close(); err == nil {
		err = errors.Wrap(closeErr, "write the plot")
	}
	return err
}

// IsPlotFile reports whether the extension of the path is that of a plot format.
func IsPlotFile(path string) bool {
	extension := strings.ToLower(filepath.Ext(path))
	return extension == ".svg" || extension == ".png"
}

// WritePlot writes three plots, one below the other: latency over time, outcomes
// over time and latency by percentile. The format is svg or png.
func (r *Report) WritePlot(w io.Writer, format string) error {
	if format != "svg" && format != "png" {
		return errors.Errorf("plot format %q: want svg or png", format)
	}
	latency, err := r.latencyOverTime()
	if err != nil {
		return err
	}
	outcomes, err := r.outcomesOverTime()
	if err != nil {
		return err
	}
	curve, err := r.latencyByPercentile()
	if err != nil {
		return err
	}
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight, format)
	if err != nil {
		return errors.Wrap(err, "draw the plot")
	}
	page := draw.New(canvas)
	page.SetColor(color.White)
	page.Fill(page.Rectangle.Path())
	tiles := draw.Tiles{
		Rows: 3, Cols: 1, PadY: plotMargin,
		PadTop: plotMargin, PadBottom: plotMargin, PadLeft: plotMargin, PadRight: plotMargin,
	}
	plots := [][]*plot.Plot{{latency}, {outcomes}, {curve}}
	for row, canvases := range plot.Align(plots, tiles, page) {
		plots[row][0].Draw(canvases[0])
	}
	_, err = canvas.WriteTo(w)
	return errors.Wrap(err, "write the plot")
}

// series is one line of a plot. It consists of several segments if there are gaps
// without data.
type series struct {
	name     string
	colour   color.Color
	segments []plotter.XYs
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = 2 * vg.Millimeter
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Padding = vg.Millimeter
	p.Legend.ThumbnailWidth = vg.Centimeter
	return p
}

func addGrid(p *plot.Plot) {
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = colourGrey, colourGrey
	p.Add(grid)
}

func addSeries(p *plot.Plot, all ...series) error {
	for _, s := range all {
		for i, segment := range s.segments {
			line, err := plotter.NewLine(segment)
			if err != nil {
				return errors.Wrapf(err, "draw %s", s.name)
			}
			line.Color, line.Width = s.colour, lineWidth
			p.Add(line)
			if i == 0 {
				p.Legend.Add(s.name, line)
			}
		}
	}
	return nil
}

func (r *Report) latencyOverTime() (*plot.Plot, error) {
	p := newPlot("Latency of answers by intended start", "time in the run (s)", "latency (ms)")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, decadeTicks{}
	p.Y.Min, p.Y.Max = r.latencyRange()
	if err := r.addFloods(p); err != nil {
		return nil, err
	}
	addGrid(p)
	err := addSeries(p,
		series{"max", colourRed, r.latencies(func(s Slot) Millis { return s.Max })},
		series{"p99", colourOrange, r.latencies(func(s Slot) Millis { return s.P99 })},
		series{"p50", colourBlue, r.latencies(func(s Slot) Millis { return s.P50 })},
	)
	r.setTimeAxis(p)
	p.Y.Min, p.Y.Max = r.latencyRange()
	return p, err
}

// setTimeAxis sets the range of the time axis: the run and the room for the legend.
func (r *Report) setTimeAxis(p *plot.Plot) {
	p.X.Min, p.X.Max = 0, legendStretch*math.Max(float64(r.Settings.Duration), float64(r.Interval))
}

// latencies returns a segment for each sequence of slots with answers, so that an
// outage appears as a gap.
func (r *Report) latencies(value func(Slot) Millis) []plotter.XYs {
	var segments []plotter.XYs
	connected := false
	for _, slot := range r.Timeline {
		if slot.Answered == 0 {
			connected = false
			continue
		}
		if !connected {
			segments = append(segments, nil)
		}
		connected = true
		last := len(segments) - 1
		segments[last] = append(segments[last], plotter.XY{X: float64(slot.At), Y: float64(max(value(slot), minPlottedLatency))})
	}
	return segments
}

// latencyRange returns the powers of ten that enclose all latencies of the timeline,
// in milliseconds.
func (r *Report) latencyRange() (lower, upper float64) {
	low, high := math.Inf(1), float64(minPlottedLatency)
	for _, slot := range r.Timeline {
		if slot.Answered > 0 {
			low = math.Min(low, float64(max(slot.P50, minPlottedLatency)))
			high = math.Max(high, float64(slot.Max))
		}
	}
	if math.IsInf(low, 1) {
		return 1, 10
	}
	lower = math.Pow(10, math.Floor(math.Log10(low)))
	upper = math.Pow(10, math.Ceil(math.Log10(high)))
	return lower, math.Max(upper, lower*10)
}

func (r *Report) outcomesOverTime() (*plot.Plot, error) {
	p := newPlot("Outcomes by intended start", "time in the run (s)", "requests a second")
	if err := r.addFloods(p); err != nil {
		return nil, err
	}
	addGrid(p)
	err := addSeries(p,
		series{"answered", colourGreen, r.rates(func(s Slot) uint64 { return s.Answered })},
		series{"refused", colourOrange, r.rates(func(s Slot) uint64 { return s.Refused })},
		series{"other", colourRed, r.rates(func(s Slot) uint64 { return s.Bad })},
	)
	r.setTimeAxis(p)
	p.Y.Min, p.Y.Max = 0, math.Max(1, r.maxRate()*1.1)
	return p, err
}

func (r *Report) rates(value func(Slot) uint64) []plotter.XYs {
	var points plotter.XYs
	for _, slot := range r.Timeline {
		points = append(points, plotter.XY{X: float64(slot.At), Y: float64(value(slot)) / float64(r.Interval)})
	}
	return segmentOf(points)
}

// segmentOf returns the points as one segment, or no segment if there are no points.
func segmentOf(points plotter.XYs) []plotter.XYs {
	if len(points) == 0 {
		return nil
	}
	return []plotter.XYs{points}
}

func (r *Report) maxRate() float64 {
	var highest uint64
	for _, slot := range r.Timeline {
		highest = max(highest, slot.Answered, slot.Refused, slot.Bad)
	}
	return float64(highest) / float64(r.Interval)
}

// addFloods shades the time span of each flood.
func (r *Report) addFloods(p *plot.Plot) error {
	lower, upper := r.latencyRange()
	if _, isLog := p.Y.Scale.(plot.LogScale); !isLog {
		lower, upper = 0, r.maxRate()*1.1
	}
	for i, flood := range r.Settings.Floods {
		at, end := float64(flood.At), math.Min(float64(flood.End), float64(r.Settings.Duration))
		area, err := plotter.NewPolygon(plotter.XYs{{X: at, Y: lower}, {X: end, Y: lower}, {X: end, Y: upper}, {X: at, Y: upper}})
		if err != nil {
			return errors.Wrap(err, "draw a flood")
		}
		area.Color, area.LineStyle.Width = colourFlood, 0
		p.Add(area)
		if i == 0 {
			p.Legend.Add("flood", area)
		}
	}
	return nil
}

func (r *Report) latencyByPercentile() (*plot.Plot, error) {
	p := newPlot("Latency of answers by percentile", "percentile", "latency (ms)")
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, percentileTicks{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, decadeTicks{}
	addGrid(p)
	var points plotter.XYs
	for _, point := range r.Curve {
		if point.Percentile < 100 {
			points = append(points, plotter.XY{X: inverseTail(point.Percentile), Y: float64(max(point.Latency, minPlottedLatency))})
		}
	}
	err := addSeries(p, series{"answered", colourBlue, segmentOf(points)})
	p.X.Min, p.X.Max = 1, 10
	if len(points) > 0 {
		p.X.Max = math.Max(10, points[len(points)-1].X)
	}
	p.Y.Min, p.Y.Max = r.latencyRange()
	return p, err
}

// inverseTail returns 1/(1-p), where p is the percentile as a fraction. On this
// scale, percentiles near 100 are spread apart.
func inverseTail(percentile float64) float64 { return 100 / (100 - percentile) }

// percentileTicks labels an axis in units of inverseTail with the percentiles 0, 50,
// 90, 99, 99.9 and so on.
type percentileTicks struct{}

// Ticks implements plot.Ticker.
func (percentileTicks) Ticks(lower, upper float64) []plot.Tick {
	var ticks []plot.Tick
	for _, percentile := range []float64{0, 50, 90, 99, 99.9, 99.99, 99.999, 99.9999} {
		if value := inverseTail(percentile); value >= lower && value <= upper*1.001 {
			ticks = append(ticks, plot.Tick{Value: value, Label: fmt.Sprintf("%g", percentile)})
		}
	}
	return ticks
}

// decadeTicks labels the powers of ten on a logarithmic axis and marks the steps
// between them.
type decadeTicks struct{}

// Ticks implements plot.Ticker.
func (decadeTicks) Ticks(lower, upper float64) []plot.Tick {
	var ticks []plot.Tick
	for power := math.Floor(math.Log10(lower)); math.Pow(10, power) <= upper*1.001; power++ {
		decade := math.Pow(10, power)
		ticks = append(ticks, plot.Tick{Value: decade, Label: fmt.Sprintf("%g", decade)})
		for step := 2.0; step < 10 && step*decade < upper; step++ {
			ticks = append(ticks, plot.Tick{Value: step * decade})
		}
	}
	return ticks
}
