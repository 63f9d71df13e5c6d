package operator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/carobkeel/carobkeel"
)

// Action is what a change does to an entry or owner.
type Action string

// Actions of a change.
const (
	// ActionAdd adds an entry or owner that was absent.
	ActionAdd Action = "add"
	// ActionChange changes fields of an entry or owner.
	ActionChange Action = "change"
	// ActionRemove removes an entry or owner.
	ActionRemove Action = "remove"
)

// FieldDifference is one field before and after, as operators write it. A field
// that is absent is empty.
type FieldDifference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Difference is what a change does to one entry or owner.
type Difference struct {
	Kind   Kind              `json:"kind"`
	Name   string            `json:"name"`
	Action Action            `json:"action"`
	Fields []FieldDifference `json:"fields"`
}

// Differences returns what the change does to each of its items.
func (c Change) Differences() []Difference {
	differences := make([]Difference, 0, len(c.Items))
	for _, item := range c.Items {
		differences = append(differences, item.Difference())
	}
	return differences
}

// Difference returns what the item changes, field by field.
func (i ChangeItem) Difference() Difference {
	before, after := entryFields(i.EntryBefore), entryFields(i.EntryAfter)
	if i.Kind == KindOwner {
		before, after = quotaFields(i.QuotaBefore), quotaFields(i.QuotaAfter)
	}
	difference := Difference{Kind: i.Kind, Name: i.Name, Action: actionOf(before, after), Fields: []FieldDifference{}}
	for index, name := range fieldNames(before, after) {
		oldValue, newValue := valueAt(before, index), valueAt(after, index)
		if oldValue != newValue {
			difference.Fields = append(difference.Fields, FieldDifference{Field: name, Before: oldValue, After: newValue})
		}
	}
	return difference
}

// field is a field's path and value as operators write them.
type field struct{ name, value string }

func actionOf(before, after []field) Action {
	switch {
	case before == nil:
		return ActionAdd
	case after == nil:
		return ActionRemove
	default:
		return ActionChange
	}
}

func fieldNames(before, after []field) []string {
	fields := before
	if fields == nil {
		fields = after
	}
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return names
}

func valueAt(fields []field, index int) string {
	if fields == nil {
		return ""
	}
	return fields[index].value
}

func entryFields(entry *carobkeel.Entry) []field {
	if entry == nil {
		return nil
	}
	limits := entry.Limits
	return []field{
		{"owner", string(entry.Owner)},
		{"class", entry.Class.String()},
		{"limits.timeout", FormatDuration(limits.Timeout)},
		{"limits.concurrency", strconv.Itoa(limits.Concurrency)},
		{"limits.queue", strconv.Itoa(limits.Queue)},
		{"limits.floor", formatNumber(limits.GuaranteedShare)},
		{"limits.body", FormatBytes(limits.BodyBytes)},
		{"demand", FormatResources(entry.Demand)},
		{"instances", strconv.Itoa(entry.Instances)},
		{"run_time", FormatDuration(entry.RunTime)},
		{"idempotent_methods", strings.Join(entry.IdempotentMethods, " ")},
		{"non_idempotent_methods", strings.Join(entry.NonIdempotentMethods, " ")},
	}
}

func quotaFields(quota *carobkeel.Quota) []field {
	if quota == nil {
		return nil
	}
	return []field{
		{"guaranteed", FormatResources(quota.Guaranteed)},
		{"weight", formatNumber(quota.Weight)},
	}
}

// FormatResources returns the resources as one line of readable text.
func FormatResources(r carobkeel.Resources) string {
	text := fmt.Sprintf("cpu %s, memory %s", FormatCPU(r.MilliCPU), FormatBytes(r.MemoryBytes))
	if r.Accelerators != 0 {
		text += fmt.Sprintf(", accelerators %d", r.Accelerators)
	}
	return text
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
