package catalogfile

import (
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// readEntry decodes one entry. Problems name the entry by the label if it has no
// name.
func readEntry(label string, node *yaml.Node) (carobkeel.Entry, *section) {
	s := newSection(label)
	o := newObject(s, "", node)
	if name, ok := o.fields["name"]; ok && name.Kind == yaml.ScalarNode && name.Value != "" {
		s.label = name.Value
	}
	for _, name := range []string{"name", "owner", "class", "limits"} {
		o.required(name)
	}
	entry := carobkeel.Entry{
		Name:                 o.text("name"),
		Owner:                carobkeel.Owner(o.text("owner")),
		Class:                value(o, "class", carobkeel.ParseClass),
		Revision:             carobkeel.Revision(value(o, "revision", parseRevision)),
		Instances:            value(o, "instances", parseCount),
		IdempotentMethods:    o.strings("idempotent_methods"),
		NonIdempotentMethods: o.strings("non_idempotent_methods"),
		RunTime:              value(o, "run_time", operator.ParseDuration),
	}
	if limits, ok := o.child("limits"); ok {
		entry.Limits = readLimits(limits)
	}
	if demand, ok := o.child("demand"); ok {
		entry.Demand = readResources(demand)
	}
	o.reportUnknown()
	s.addProblems(node.Line, operator.ValidateEntry(entry))
	return entry, s
}

func readLimits(o *object) carobkeel.Limits {
	o.required("concurrency")
	limits := carobkeel.Limits{
		Timeout:         value(o, "timeout", operator.ParseDuration),
		Concurrency:     value(o, "concurrency", parseCount),
		Queue:           value(o, "queue", parseCount),
		GuaranteedShare: value(o, "floor", operator.ParseShare),
		BodyBytes:       value(o, "body", operator.ParseBytes),
	}
	o.reportUnknown()
	return limits
}

func readResources(o *object) carobkeel.Resources {
	resources := carobkeel.Resources{
		MilliCPU:     value(o, "cpu", operator.ParseCPU),
		MemoryBytes:  value(o, "memory", operator.ParseBytes),
		Accelerators: value(o, "accelerators", parseInteger),
	}
	o.reportUnknown()
	return resources
}

// readQuota decodes the quota of the named owner.
func readQuota(owner carobkeel.Owner, node *yaml.Node) (carobkeel.Quota, *section) {
	s := newSection(string(owner))
	o := newObject(s, "", node)
	o.required("weight")
	quota := carobkeel.Quota{
		Owner:    owner,
		Revision: carobkeel.Revision(value(o, "revision", parseRevision)),
		Weight:   value(o, "weight", operator.ParseShare),
	}
	if guaranteed, ok := o.child("guaranteed"); ok {
		quota.Guaranteed = readResources(guaranteed)
	}
	o.reportUnknown()
	s.addProblems(node.Line, operator.ValidateQuota(quota))
	return quota, s
}

// addProblems adds the problems that the validation found. It omits fields that
// already have a problem, such as a value that could not be parsed.
func (s *section) addProblems(line int, found operator.Problems) {
	reported := s.problems
	for _, problem := range found {
		if hasProblem(reported, problem.Field) {
			continue
		}
		problem.Entry = s.label
		problem.Line = s.lineOf(problem.Field, line)
		s.problems = append(s.problems, problem)
	}
}

func hasProblem(reported operator.Problems, field string) bool {
	for _, problem := range reported {
		if problem.Field == field || problem.Field == "" ||
			strings.HasPrefix(problem.Field, field+".") || strings.HasPrefix(field, problem.Field+".") {
			return true
		}
	}
	return false
}

// lineOf returns the line of the field or, if the field is missing, of the
// innermost mapping around it that is present. The given line is the default.
func (s *section) lineOf(field string, line int) int {
	for field != "" {
		if found, ok := s.lines[field]; ok {
			return found
		}
		cut := strings.LastIndexByte(field, '.')
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return line
}
