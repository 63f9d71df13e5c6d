// Package measurement defines the machine-readable results of the benchmark:
// records, series over an input size, and lines fitted to the series.
package measurement

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Record is one measured figure. It contains no information about the host.
type Record struct {
	Time   time.Time `json:"time"`
	Commit string    `json:"commit"`
	Seed   uint64    `json:"seed"`
	Suite  string    `json:"suite"`
	Name   string    `json:"name"`
	Value  float64   `json:"value"`
	Unit   string    `json:"unit"`
	// Target is the bound with its comparison operator, as in "<=78.8", or "-"
	// for none.
	Target  string `json:"target"`
	Verdict string `json:"verdict"`
}

// Figure returns the suite and name of the record.
func (r Record) Figure() string { return r.Suite + "/" + r.Name }

// Write writes the records as one JSON object per line.
func Write(w io.Writer, records []Record) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return errors.Wrap(err, "write measurement")
		}
	}
	return nil
}

// Read reads records written by Write.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var record Record
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		records = append(records, record)
	}
	return records, errors.Wrap(lines.Err(), "read measurements")
}

// ReadFile reads a file of records written by Write.
func ReadFile(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read measurements")
	}
	defer file.Close()
	records, err := Read(file)
	return records, errors.Wrap(err, path)
}

// sizedName matches the name of a figure with an input size, as in
// "apply-change-1000-entries".
var sizedName = regexp.MustCompile(`^(.+)-(\d+)-(.+)$`)

// Point is the value of a figure at one size.
type Point struct{ Size, Value float64 }

// Series holds the values of a figure measured at several sizes.
type Series struct {
	// Name has N in place of the size, as in "catalogue/apply-change-N-entries".
	Name   string
	Unit   string
	Commit string
	// Points are ordered by size. Of several values for a size the latest is
	// kept.
	Points []Point
}

// GroupSeries groups the records with a size in their name into series, by the
// series' name.
func GroupSeries(records []Record) map[string]Series {
	ordered := append([]Record(nil), records...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Time.Before(ordered[j].Time) })
	all := make(map[string]Series)
	for _, record := range ordered {
		match := sizedName.FindStringSubmatch(record.Name)
		if match == nil {
			continue
		}
		size, err := strconv.ParseFloat(match[2], 64)
		if err != nil {
			continue
		}
		name := record.Suite + "/" + match[1] + "-N-" + match[3]
		series := all[name]
		series.Name, series.Unit, series.Commit = name, record.Unit, record.Commit
		series.Points = withPoint(series.Points, Point{Size: size, Value: record.Value})
		all[name] = series
	}
	return all
}

func withPoint(points []Point, point Point) []Point {
	for i := range points {
		if points[i].Size == point.Size {
			points[i].Value = point.Value
			return points
		}
	}
	points = append(points, point)
	sort.Slice(points, func(i, j int) bool { return points[i].Size < points[j].Size })
	return points
}

// Latest returns the latest record of each figure.
func Latest(records []Record) map[string]Record {
	latest := make(map[string]Record)
	for _, record := range records {
		if previous, ok := latest[record.Figure()]; !ok || !record.Time.Before(previous.Time) {
			latest[record.Figure()] = record
		}
	}
	return latest
}
