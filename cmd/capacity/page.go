package main

import (
	_ "embed" // for the section of the sweep
	"fmt"
	"strings"
)

// sweepSection has the loads and slopes on the users' platform.
//
//go:embed sweep.md
var sweepSection string

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

// render returns the page as Markdown.
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
	renderStoreCapacity(&page, r)
	renderScenarios(&page, r)
	page.WriteString(sweepSection)
	return page.String()
}

// total is the sum of the measured lines of one role and resource, with the
// numbers of lines that are measured and that are not.
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

// verdict compares the sum with the limit. While some lines are not measured,
// the sum can exceed the limit, but can't be shown to hold.
func (t total) verdict(limit float64) string {
	switch {
	case t.measured == 0:
		return "not measured"
	case t.missing == 0 || t.sum > limit:
		return verdict(t.sum, limit)
	}
	return fmt.Sprintf("open: %s%% of the limit, %d of %d lines not measured", formatNumber(100*t.sum/limit), t.missing, t.measured+t.missing)
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
				sum = formatNumber(t.sum) + " " + info.unit
			}
			fmt.Fprintf(page, "| %s | %s | %s | %s %s | %s |\n", role, info.name, sum, formatNumber(info.limit), info.unit, t.verdict(info.limit))
		}
	}
}

func renderAssumptions(page *strings.Builder) {
	page.WriteString("\n## Assumed sizes\n\nNobody gave these; they are to be replaced by what the fleets have.\n\n| size | because |\n|---|---|\n")
	for _, a := range assumptions() {
		fmt.Fprintf(page, "| %s | %s |\n", a.quantity.formula, a.reason)
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
			unit = fmt.Sprintf("%s %s (%s)", formatNumber(o.unit.value), o.unit.unit, o.unit.source)
			result = formatNumber(o.result) + " " + info.unit
			share = formatNumber(100*o.result/info.limit) + "%"
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %s | %s |\n",
			o.description, info.name, countText(o.count, o.cost), unit, result, share, o.assumption, o.mechanism)
	}
}

// countText returns the count with its formula. For a cost that is fitted over
// sizes, it adds the size N at which the cost is evaluated.
func countText(count quantity, ref figureRef) string {
	text := formatNumber(count.value)
	if !strings.HasPrefix(count.formula, text+" ") || strings.ContainsAny(count.formula, "×/") {
		text += " = " + count.formula
	} else {
		text = count.formula
	}
	if ref.size.formula != "" {
		text += "; N = " + formatNumber(ref.size.value)
	}
	return text
}

// renderStoreCapacity lists the highest rate of each store operation that the
// store's limits allow if nothing else uses the store.
func renderStoreCapacity(page *strings.Builder, r *results) {
	page.WriteString("\n## What the store's limits carry\n\nNobody gave the rate of this work. If nothing else used the store, it would carry:\n\n")
	page.WriteString("| what | resource | cost of one | carried a second, in all |\n|---|---|---|---|\n")
	for _, operation := range storeOperations() {
		info := operation.resource.info()
		unit, rate := "not measured: `"+operation.cost.figure+"`", "not measured"
		if found, ok := r.lookup(operation.cost); ok {
			unit = fmt.Sprintf("%s %s (%s)", formatNumber(found.value), found.unit, found.source)
			rate = "unbounded"
			if found.value > 0 {
				rate = formatNumber(info.limit / found.value)
			}
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s |\n", operation.description, info.name, unit, rate)
	}
}

func renderScenarios(page *strings.Builder, r *results) {
	page.WriteString("\n## Days that are not ordinary\n\nThe time on one core, or at the store's rate, against the time that it may take.\n")
	page.WriteString("What is not a sum of work, such as the time until a loss is noticed, is not here.\n")
	for _, scenario := range scenarios() {
		fmt.Fprintf(page, "\n### %s\n\n| step | count | cost of one | time | limit | verdict | carried by |\n|---|---|---|---|---|---|---|\n", scenario.name)
		for _, s := range scenario.steps {
			unit, duration, result := "not measured: `"+s.cost.figure+"`", "not measured", "not measured"
			if seconds, found, ok := r.stepSeconds(s); ok {
				unit = fmt.Sprintf("%s %s (%s)", formatNumber(found.value), found.unit, found.source)
				duration = formatNumber(seconds) + " s"
				result = verdict(seconds, s.timeLimit.value)
			}
			fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %s |\n",
				s.description, countText(s.count, s.cost), unit, duration, s.timeLimit.formula, result, s.mechanism)
		}
	}
}
