package operator

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel"
)

// Ranges of the values in an entry.
const (
	// MinTimeout and MaxTimeout are the limits of a caller's time-out.
	MinTimeout = time.Millisecond
	MaxTimeout = time.Hour
	// MaxConcurrency is the largest limit on concurrent requests or tasks.
	MaxConcurrency = 100_000
	// MaxQueue is the largest limit on requests queued for one upstream.
	MaxQueue = 100_000
	// MaxBodyBytes is the largest limit on a request's body, in bytes.
	MaxBodyBytes = int64(1) << 30
	// MaxInstances is the largest number of instances of one service.
	MaxInstances = 35_000
	// MaxRunTime is the longest declared run time of a batch task.
	MaxRunTime = 30 * 24 * time.Hour
	// MaxWeight is the largest weight of an owner.
	MaxWeight = 1000.0
	// maxMethods is the largest length of each list of HTTP methods.
	maxMethods = 16
)

// MaxDemand holds the largest resources that one instance or task may demand.
var MaxDemand = carobkeel.Resources{MilliCPU: 1_000_000, MemoryBytes: 1 << 45, Accelerators: 64}

// MaxQuota holds the largest resources that one owner may be guaranteed.
var MaxQuota = carobkeel.Resources{MilliCPU: 10_000_000_000, MemoryBytes: 1 << 55, Accelerators: 1_000_000}

// namePattern matches valid names of entries and owners. It excludes slashes, so
// that a name is a single segment of a table key and of a URL path.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)

const nameForm = "want 1 to 63 of a-z, 0-9, dot and dash, with a letter or digit at both ends"

// checker collects the problems of one entry or owner.
type checker struct {
	name     string
	problems Problems
}

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Entry: c.name, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(field, name string) {
	if name == "" {
		c.add(field, "is missing")
		return
	}
	if !namePattern.MatchString(name) {
		c.add(field, "%q is not a name, %s", name, nameForm)
	}
}

func (c *checker) checkCount(field string, value, least, most int) {
	if value < least || value > most {
		c.add(field, "%d is out of range, want %d to %d", value, least, most)
	}
}

func (c *checker) checkDuration(field string, value, least, most time.Duration) {
	if value < least || value > most {
		c.add(field, "%s is out of range, want %s to %s", FormatDuration(value), FormatDuration(least), FormatDuration(most))
	}
}

func (c *checker) checkResources(field string, value, most carobkeel.Resources) {
	if value.MilliCPU < 0 || value.MilliCPU > most.MilliCPU {
		c.add(field+".cpu", "%s is out of range, want 0 to %s", FormatCPU(value.MilliCPU), FormatCPU(most.MilliCPU))
	}
	if value.MemoryBytes < 0 || value.MemoryBytes > most.MemoryBytes {
		c.add(field+".memory", "%s is out of range, want 0 to %s", FormatBytes(value.MemoryBytes), FormatBytes(most.MemoryBytes))
	}
	if value.Accelerators < 0 || value.Accelerators > most.Accelerators {
		c.add(field+".accelerators", "%d is out of range, want 0 to %d", value.Accelerators, most.Accelerators)
	}
}

// ValidateEntry returns all problems of the entry's values.
func ValidateEntry(entry carobkeel.Entry) Problems {
	c := &checker{name: entry.Name}
	c.checkName("name", entry.Name)
	c.checkName("owner", string(entry.Owner))
	c.checkLimits(entry)
	c.checkResources("demand", entry.Demand, MaxDemand)
	c.checkMethods("idempotent_methods", entry.IdempotentMethods)
	c.checkMethods("non_idempotent_methods", entry.NonIdempotentMethods)
	c.checkContradictingMethods(entry)
	switch entry.Class {
	case carobkeel.ClassLatencyCritical:
		c.checkService(entry)
	case carobkeel.ClassBatch:
		c.checkBatch(entry)
	default:
		c.add("class", "class %d is not known, want latency-critical or batch", uint8(entry.Class))
	}
	return c.problems
}

func (c *checker) checkLimits(entry carobkeel.Entry) {
	limits := entry.Limits
	c.checkCount("limits.concurrency", limits.Concurrency, 1, MaxConcurrency)
	c.checkCount("limits.queue", limits.Queue, 0, MaxQueue)
	if math.IsNaN(limits.GuaranteedShare) || limits.GuaranteedShare < 0 || limits.GuaranteedShare > 1 {
		c.add("limits.floor", "%g is out of range, want a share from 0 to 1", limits.GuaranteedShare)
	}
	if limits.BodyBytes < 0 || limits.BodyBytes > MaxBodyBytes {
		c.add("limits.body", "%s is out of range, want 0 to %s", FormatBytes(limits.BodyBytes), FormatBytes(MaxBodyBytes))
	}
}

func (c *checker) checkService(entry carobkeel.Entry) {
	c.checkDuration("limits.timeout", entry.Limits.Timeout, MinTimeout, MaxTimeout)
	c.checkCount("instances", entry.Instances, 0, MaxInstances)
	if entry.RunTime != 0 {
		c.add("run_time", "a service has no run time")
	}
	if entry.Instances > 0 && entry.Demand.MilliCPU == 0 {
		c.add("demand.cpu", "is missing, and the service has instances to place")
	}
}

func (c *checker) checkBatch(entry carobkeel.Entry) {
	if entry.Limits.Timeout != 0 {
		c.checkDuration("limits.timeout", entry.Limits.Timeout, MinTimeout, MaxTimeout)
	}
	c.checkDuration("run_time", entry.RunTime, time.Millisecond, MaxRunTime)
	if entry.Instances != 0 {
		c.add("instances", "a batch task has no instances")
	}
	if entry.Demand.IsZero() {
		c.add("demand", "is missing, and a batch task is placed by it")
	}
}

func (c *checker) checkMethods(field string, methods []string) {
	if len(methods) > maxMethods {
		c.add(field, "%d methods, want at most %d", len(methods), maxMethods)
	}
	for i, method := range methods {
		if !methodPattern.MatchString(method) {
			c.add(field, "%q is not an HTTP method, want capital letters", method)
		}
		if slices.Contains(methods[:i], method) {
			c.add(field, "%s is listed twice", method)
		}
	}
}

func (c *checker) checkContradictingMethods(entry carobkeel.Entry) {
	for _, method := range entry.IdempotentMethods {
		if slices.Contains(entry.NonIdempotentMethods, method) {
			c.add("non_idempotent_methods", "%s is in idempotent_methods too", method)
		}
	}
}

// ValidateQuota returns all problems of the owner's quota.
func ValidateQuota(quota carobkeel.Quota) Problems {
	c := &checker{name: string(quota.Owner)}
	c.checkName("owner", string(quota.Owner))
	c.checkResources("guaranteed", quota.Guaranteed, MaxQuota)
	if math.IsNaN(quota.Weight) || quota.Weight <= 0 || quota.Weight > MaxWeight {
		c.add("weight", "%g is out of range, want more than 0 and at most %g", quota.Weight, MaxWeight)
	}
	return c.problems
}

// Validate returns all problems that show in the document alone.
func (d Document) Validate() Problems {
	var problems Problems
	for _, quota := range d.Quotas {
		problems = append(problems, ValidateQuota(quota)...)
	}
	for _, entry := range d.Entries {
		problems = append(problems, ValidateEntry(entry)...)
	}
	return append(problems, d.ValidateReferences()...)
}

// ValidateReferences reports duplicate entry names. If the document lists
// owners, it also reports entries whose owner is not listed.
func (d Document) ValidateReferences() Problems {
	var problems Problems
	owners := make(map[carobkeel.Owner]bool, len(d.Quotas))
	for _, quota := range d.Quotas {
		owners[quota.Owner] = true
	}
	names := make(map[string]bool, len(d.Entries))
	for _, entry := range d.Entries {
		c := &checker{name: entry.Name}
		if entry.Name != "" && names[entry.Name] {
			c.add("name", "stands twice")
		}
		names[entry.Name] = true
		if d.OwnersListed && entry.Owner != "" && !owners[entry.Owner] {
			c.add("owner", "owner %q is not listed, the owners are %s", entry.Owner, d.ownerNames())
		}
		problems = append(problems, c.problems...)
	}
	return problems
}

func (d Document) ownerNames() string {
	if len(d.Quotas) == 0 {
		return "none"
	}
	names := make([]string, 0, len(d.Quotas))
	for _, quota := range d.Quotas {
		names = append(names, string(quota.Owner))
	}
	return strings.Join(names, ", ")
}
