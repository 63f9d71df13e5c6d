package catalogfile

import (
	"strconv"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// documentForm is the encoded form of a document.
type documentForm struct {
	Revision uint64               `json:"revision,omitempty" yaml:"revision,omitempty"`
	Owners   map[string]quotaForm `json:"owners,omitempty" yaml:"owners,omitempty"`
	Entries  []entryForm          `json:"entries" yaml:"entries"`
}

// quotaForm is the encoded form of an owner's quota. The owner's name is its
// key in the document.
type quotaForm struct {
	Revision   uint64        `json:"revision,omitempty" yaml:"revision,omitempty"`
	Guaranteed resourcesForm `json:"guaranteed" yaml:"guaranteed"`
	Weight     float64       `json:"weight" yaml:"weight"`
}

// entryForm is the encoded form of an entry.
type entryForm struct {
	Name                 string        `json:"name" yaml:"name"`
	Owner                string        `json:"owner" yaml:"owner"`
	Class                string        `json:"class" yaml:"class"`
	Revision             uint64        `json:"revision,omitempty" yaml:"revision,omitempty"`
	Limits               limitsForm    `json:"limits" yaml:"limits"`
	Demand               resourcesForm `json:"demand,omitzero" yaml:"demand,omitempty"`
	Instances            int           `json:"instances,omitempty" yaml:"instances,omitempty"`
	RunTime              string        `json:"run_time,omitempty" yaml:"run_time,omitempty"`
	IdempotentMethods    []string      `json:"idempotent_methods,omitempty" yaml:"idempotent_methods,omitempty,flow"`
	NonIdempotentMethods []string      `json:"non_idempotent_methods,omitempty" yaml:"non_idempotent_methods,omitempty,flow"`
}

type limitsForm struct {
	Timeout     string  `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	Concurrency int     `json:"concurrency" yaml:"concurrency"`
	Queue       int     `json:"queue" yaml:"queue"`
	Floor       float64 `json:"floor" yaml:"floor"`
	Body        string  `json:"body" yaml:"body"`
}

type resourcesForm struct {
	CPU          string `json:"cpu,omitempty" yaml:"cpu,omitempty"`
	Memory       string `json:"memory,omitempty" yaml:"memory,omitempty"`
	Accelerators int64  `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
}

func formOfDocument(doc operator.Document) documentForm {
	form := documentForm{Revision: uint64(doc.Revision), Entries: []entryForm{}}
	if len(doc.Quotas) > 0 {
		form.Owners = make(map[string]quotaForm, len(doc.Quotas))
	}
	for _, quota := range doc.Quotas {
		form.Owners[string(quota.Owner)] = formOfQuota(quota)
	}
	for _, entry := range doc.Entries {
		form.Entries = append(form.Entries, formOfEntry(entry))
	}
	return form
}

func formOfQuota(quota carobkeel.Quota) quotaForm {
	return quotaForm{
		Revision:   uint64(quota.Revision),
		Guaranteed: formOfResources(quota.Guaranteed),
		Weight:     quota.Weight,
	}
}

func formOfEntry(entry carobkeel.Entry) entryForm {
	form := entryForm{
		Name:                 entry.Name,
		Owner:                string(entry.Owner),
		Class:                entry.Class.String(),
		Revision:             uint64(entry.Revision),
		Limits:               formOfLimits(entry.Limits),
		Demand:               formOfResources(entry.Demand),
		Instances:            entry.Instances,
		IdempotentMethods:    entry.IdempotentMethods,
		NonIdempotentMethods: entry.NonIdempotentMethods,
	}
	if entry.RunTime != 0 {
		form.RunTime = operator.FormatDuration(entry.RunTime)
	}
	return form
}

func formOfLimits(limits carobkeel.Limits) limitsForm {
	form := limitsForm{
		Concurrency: limits.Concurrency,
		Queue:       limits.Queue,
		Floor:       limits.GuaranteedShare,
		Body:        operator.FormatBytes(limits.BodyBytes),
	}
	if limits.Timeout != 0 {
		form.Timeout = operator.FormatDuration(limits.Timeout)
	}
	return form
}

func formOfResources(r carobkeel.Resources) resourcesForm {
	form := resourcesForm{Accelerators: r.Accelerators}
	if r.MilliCPU != 0 {
		form.CPU = operator.FormatCPU(r.MilliCPU)
	}
	if r.MemoryBytes != 0 {
		form.Memory = operator.FormatBytes(r.MemoryBytes)
	}
	return form
}

func parseInteger(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) }
