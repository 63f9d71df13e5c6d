package main

import (
	"fmt"
	"strings"
)

const pageHeader = `# Capacity

What each role needs at the size that the project is designed for
([developers' page](../DEVELOPERS.md)), worked out from figures that were
measured on this code. ` + "`make capacity`" + ` computes this page from
[MEASUREMENTS.md](MEASUREMENTS.md); no product on it is typed by hand. A line
whose figure is missing says "not measured" and has no result. The model is in
cmd/capacity; a line is one element of a list there.

A slope is the line through the values at three sizes or more, with the least
relative error. "At" names the commit that was measured; ` + "`make bench`" + `
measures all figures, ` + "`go run ./cmd/benchmark -only SUITE`" + ` those of one
suite. The figures come from one small host, and a share of a core is of that
host's core.

Limits for each node: 3.1% of a core, 128 MB and 2 KB a second for control.
Limits of the stores: 2,000 reads a second, and several hundred writes, taken
as 300.
`

// render returns the page.
func render(r *results) string {
	var page strings.Builder
	page.WriteString(pageHeader)
	var outcomes []outcome
	for _, l := range lines() {
		outcomes = append(outcomes, r.evaluate(l))
	}
	renderSummary(&page, outcomes)
	renderAssumptions(&page)
	for _, role := range roles {
		renderRole(&page, role, outcomes)
	}
	renderCarried(&page, r)
	renderEvents(&page, r)
	return page.String()
}

// total is the sum of a role's lines of one resource.
type total struct {
	sum               float64
	measured, missing int
}

func totalOf(outcomes []outcome, role role, resource resource) total {
	var t total
	for _, o := range outcomes {
		if o.role != role || o.resource != resource {
			continue
		}
		if !o.measured {
			t.missing++
			continue
		}
		t.measured++
		t.sum += o.result
	}
	return t
}

// verdict judges the sum. A sum with lines that are not measured can fail, but
// can't hold.
func (t total) verdict(limit float64) string {
	switch {
	case t.measured == 0:
		return "not measured"
	case t.missing == 0 || t.sum > limit:
		return verdict(t.sum, limit)
	}
	return fmt.Sprintf("open: %s%% of the limit, %d of %d lines not measured", number(100*t.sum/limit), t.missing, t.measured+t.missing)
}

func renderSummary(page *strings.Builder, outcomes []outcome) {
	page.WriteString("\n## Verdicts, ordinary day\n\n| role | resource | sum of measured lines | limit | verdict |\n|---|---|---|---|---|\n")
	for _, role := range roles {
		for i, info := range resources {
			t := totalOf(outcomes, role, resource(i))
			if t.measured+t.missing == 0 {
				continue
			}
			sum := "not measured"
			if t.measured > 0 {
				sum = number(t.sum) + " " + info.unit
			}
			fmt.Fprintf(page, "| %s | %s | %s | %s %s | %s |\n", role, info.name, sum, number(info.limit), info.unit, t.verdict(info.limit))
		}
	}
}

func renderAssumptions(page *strings.Builder) {
	page.WriteString("\n## Assumed sizes\n\nNobody gave these; they are to be replaced by what the fleets have.\n\n| size | because |\n|---|---|\n")
	for _, a := range assumptions() {
		fmt.Fprintf(page, "| %s | %s |\n", a.quantity.text, a.because)
	}
}

func renderRole(page *strings.Builder, role role, outcomes []outcome) {
	title := strings.ToUpper(string(role[:1])) + string(role[1:])
	fmt.Fprintf(page, "\n## %s\n\n", title)
	page.WriteString("| what | resource | count | cost of one | result | of the limit | assumes | carried by |\n|---|---|---|---|---|---|---|---|\n")
	for _, o := range outcomes {
		if o.role != role {
			continue
		}
		info := o.resource.info()
		unit, result, share := "not measured: `"+o.cost.figure+"`", "not measured", "-"
		if o.measured {
			unit = fmt.Sprintf("%s %s (%s)", number(o.unit.value), o.unit.unit, o.unit.source)
			result = number(o.result) + " " + info.unit
			share = number(100*o.result/info.limit) + "%"
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %s | %s |\n",
			o.what, info.name, countText(o.count, o.cost), unit, result, share, o.assumes, o.mechanism)
	}
}

// countText returns the formula of the count, with the size that a slope is
// read off at.
func countText(count quantity, c cost) string {
	text := number(count.value)
	if !strings.HasPrefix(count.text, text+" ") || strings.ContainsAny(count.text, "×/") {
		text += " = " + count.text
	} else {
		text = count.text
	}
	if c.size.text != "" {
		text += "; N = " + number(c.size.value)
	}
	return text
}

// renderCarried lists the rates that the store's limits carry where nothing else
// uses it.
func renderCarried(page *strings.Builder, r *results) {
	page.WriteString("\n## What the store's limits carry\n\nNobody gave the rate of this work. If nothing else used the store, it would carry:\n\n")
	page.WriteString("| what | resource | cost of one | carried a second, in all |\n|---|---|---|---|\n")
	for _, c := range carriedWork() {
		info := c.resource.info()
		unit, rate := "not measured: `"+c.cost.figure+"`", "not measured"
		if found, ok := r.lookup(c.cost); ok {
			unit = fmt.Sprintf("%s %s (%s)", number(found.value), found.unit, found.source)
			rate = "unbounded"
			if found.value > 0 {
				rate = number(info.limit / found.value)
			}
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s |\n", c.what, info.name, unit, rate)
	}
}

func renderEvents(page *strings.Builder, r *results) {
	page.WriteString("\n## Days that are not ordinary\n\nThe time on one core, or at the store's rate, against the time that it may take.\n")
	page.WriteString("What is not a sum of work, such as the time until a loss is noticed, is not here.\n")
	for _, e := range events() {
		fmt.Fprintf(page, "\n### %s\n\n| step | count | cost of one | time | limit | verdict | carried by |\n|---|---|---|---|---|---|---|\n", e.name)
		for _, s := range e.steps {
			unit, took, judged := "not measured: `"+s.cost.figure+"`", "not measured", "not measured"
			if seconds, found, ok := r.seconds(s); ok {
				unit = fmt.Sprintf("%s %s (%s)", number(found.value), found.unit, found.source)
				took = number(seconds) + " s"
				judged = verdict(seconds, s.within.value)
			}
			fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %s |\n",
				s.what, countText(s.count, s.cost), unit, took, s.within.text, judged, s.mechanism)
		}
	}
}
