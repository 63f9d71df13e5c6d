package jobs

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel/internal/judge"
)

// bounds are the times that the rules name.
var bounds = judge.Bounds{
	Contact:        3 * time.Second,
	Acknowledge:    4 * time.Second,
	Cancel:         3 * time.Second,
	StopGrace:      400 * time.Millisecond,
	Visible:        3 * time.Second,
	Early:          250 * time.Millisecond,
	ConfigApply:    2 * time.Second,
	ConfigRollback: 250 * time.Millisecond,
	Drain:          2 * time.Second,
	Finish:         14 * time.Second,
	Status:         2 * time.Minute,
}

func countRuns(seen judge.Play) int {
	n := 0
	for _, e := range seen.Events {
		if _, ok := e.Observation.(judge.RunStarted); ok {
			n++
		}
	}
	return n
}

// countByRule returns how often each rule was broken, as text.
func countByRule(findings []judge.Finding) string {
	if len(findings) == 0 {
		return "nothing"
	}
	counts := make(map[judge.Rule]int)
	for _, f := range findings {
		counts[f.Rule]++
	}
	var texts []string
	for _, rule := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%s %d", rule, counts[rule]))
	}
	return strings.Join(texts, ", ")
}
