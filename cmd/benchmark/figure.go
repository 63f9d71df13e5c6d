package main

import (
	"fmt"
	"strconv"
)

// bound says on which side of a target a figure has to be.
type bound uint8

const (
	noTarget bound = iota
	atMost
	atLeast
)

// figure is one measured value. Its target comes from the requirements.
type figure struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Bound   bound   `json:"bound"`
	Target  float64 `json:"target,omitempty"`
	Verdict string  `json:"verdict"`
}

// targeted returns a figure that is judged against its target.
func targeted(name string, value float64, unit string, side bound, target float64) figure {
	f := figure{Name: name, Value: value, Unit: unit, Bound: side, Target: target, Verdict: "miss"}
	if (side == atMost && value <= target) || (side == atLeast && value >= target) {
		f.Verdict = "met"
	}
	return f
}

// measured returns a figure that has no target.
func measured(name string, value float64, unit string) figure {
	return figure{Name: name, Value: value, Unit: unit, Verdict: "measured"}
}

// line returns the figure as "name value unit target verdict".
func (f figure) line() string {
	return fmt.Sprintf("%s %s %s %s %s", f.Name, number(f.Value), f.Unit, f.targetText(), f.Verdict)
}

func (f figure) targetText() string {
	switch f.Bound {
	case atMost:
		return "<=" + number(f.Target)
	case atLeast:
		return ">=" + number(f.Target)
	}
	return "-"
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }
