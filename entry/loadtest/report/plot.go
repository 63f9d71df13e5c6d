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
	// leastLatency is the lower end of the axis of latency, in milliseconds.
	leastLatency Millis = 0.01
	// legendRoom stretches the axis of time.
	legendRoom = 1.15
)

// Colours that people with the common colour-vision deficiencies can tell apart.
var (
	colourBlue   = color.RGBA{R: 0, G: 114, B: 178, A: 255}
	colourOrange = color.RGBA{R: 230, G: 159, B: 0, A: 255}
	colourRed    = color.RGBA{R: 213, G: 94, B: 0, A: 255}
	colourGreen  = color.RGBA{R: 0, G: 158, B: 115, A: 255}
	colourGrey   = color.RGBA{R: 225, G: 225, B: 225, A: 255}
	colourFlood  = color.RGBA{R: 240, G: 228, B: 200, A: 255}
)

// WritePlotFile writes the plots to a file whose extension, .svg or .png, says
// the format.
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

// IsPlotFile reports whether the file's extension names a format of plots.
func IsPlotFile(path string) bool {
	extension := strings.ToLower(filepath.Ext(path))
	return extension == ".svg" || extension == ".png"
}

// WritePlot writes, one below the other, the latency over time, the outcomes
// over time and the latency by percentile. The format is svg or png.
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

// series is one line of a plot. It is broken where there is nothing to show.
type series struct {
	name   string
	colour color.Color
	pieces []plotter.XYs
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
		for i, piece := range s.pieces {
			line, err := plotter.NewLine(piece)
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
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, decades{}
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

// setTimeAxis leaves room for the legend after the end of the run.
func (r *Report) setTimeAxis(p *plot.Plot) {
	p.X.Min, p.X.Max = 0, legendRoom*math.Max(float64(r.Settings.Duration), float64(r.Interval))
}

// latencies returns a piece for each run of slots with answers, so that an
// outage is a gap.
func (r *Report) latencies(value func(Slot) Millis) []plotter.XYs {
	var pieces []plotter.XYs
	goesOn := false
	for _, slot := range r.Timeline {
		if slot.Answered == 0 {
			goesOn = false
			continue
		}
		if !goesOn {
			pieces = append(pieces, nil)
		}
		goesOn = true
		last := len(pieces) - 1
		pieces[last] = append(pieces[last], plotter.XY{X: float64(slot.At), Y: float64(max(value(slot), leastLatency))})
	}
	return pieces
}

// latencyRange returns powers of ten around all latencies in milliseconds.
func (r *Report) latencyRange() (least, most float64) {
	low, high := math.Inf(1), float64(leastLatency)
	for _, slot := range r.Timeline {
		if slot.Answered > 0 {
			low = math.Min(low, float64(max(slot.P50, leastLatency)))
			high = math.Max(high, float64(slot.Max))
		}
	}
	if math.IsInf(low, 1) {
		return 1, 10
	}
	least = math.Pow(10, math.Floor(math.Log10(low)))
	most = math.Pow(10, math.Ceil(math.Log10(high)))
	return least, math.Max(most, least*10)
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
	p.Y.Min, p.Y.Max = 0, math.Max(1, r.greatestRate()*1.1)
	return p, err
}

func (r *Report) rates(value func(Slot) uint64) []plotter.XYs {
	var points plotter.XYs
	for _, slot := range r.Timeline {
		points = append(points, plotter.XY{X: float64(slot.At), Y: float64(value(slot)) / float64(r.Interval)})
	}
	return pieceOf(points)
}

// pieceOf returns the points as one piece, none where there are no points.
func pieceOf(points plotter.XYs) []plotter.XYs {
	if len(points) == 0 {
		return nil
	}
	return []plotter.XYs{points}
}

func (r *Report) greatestRate() float64 {
	var greatest uint64
	for _, slot := range r.Timeline {
		greatest = max(greatest, slot.Answered, slot.Refused, slot.Bad)
	}
	return float64(greatest) / float64(r.Interval)
}

// addFloods shades the time of each flood.
func (r *Report) addFloods(p *plot.Plot) error {
	least, most := r.latencyRange()
	if _, isLog := p.Y.Scale.(plot.LogScale); !isLog {
		least, most = 0, r.greatestRate()*1.1
	}
	for i, flood := range r.Settings.Floods {
		at, end := float64(flood.At), math.Min(float64(flood.End), float64(r.Settings.Duration))
		area, err := plotter.NewPolygon(plotter.XYs{{X: at, Y: least}, {X: end, Y: least}, {X: end, Y: most}, {X: at, Y: most}})
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
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, nines{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, decades{}
	addGrid(p)
	var points plotter.XYs
	for _, point := range r.Curve {
		if point.Percentile < 100 {
			points = append(points, plotter.XY{X: rarity(point.Percentile), Y: float64(max(point.Latency, leastLatency))})
		}
	}
	err := addSeries(p, series{"answered", colourBlue, pieceOf(points)})
	p.X.Min, p.X.Max = 1, 10
	if len(points) > 0 {
		p.X.Max = math.Max(10, points[len(points)-1].X)
	}
	p.Y.Min, p.Y.Max = r.latencyRange()
	return p, err
}

// rarity returns 1/(1-p), which spreads the percentiles near 100 apart.
func rarity(percentile float64) float64 { return 100 / (100 - percentile) }

// nines marks an axis of rarity with the percentiles 0, 50, 90, 99, 99.9, ….
type nines struct{}

// Ticks implements plot.Ticker.
func (nines) Ticks(least, most float64) []plot.Tick {
	var ticks []plot.Tick
	for _, percentile := range []float64{0, 50, 90, 99, 99.9, 99.99, 99.999, 99.9999} {
		if value := rarity(percentile); value >= least && value <= most*1.001 {
			ticks = append(ticks, plot.Tick{Value: value, Label: fmt.Sprintf("%g", percentile)})
		}
	}
	return ticks
}

// decades marks a logarithmic axis with powers of ten and unlabelled steps.
type decades struct{}

// Ticks implements plot.Ticker.
func (decades) Ticks(least, most float64) []plot.Tick {
	var ticks []plot.Tick
	for power := math.Floor(math.Log10(least)); math.Pow(10, power) <= most*1.001; power++ {
		decade := math.Pow(10, power)
		ticks = append(ticks, plot.Tick{Value: decade, Label: fmt.Sprintf("%g", decade)})
		for step := 2.0; step < 10 && step*decade < most; step++ {
			ticks = append(ticks, plot.Tick{Value: step * decade})
		}
	}
	return ticks
}
