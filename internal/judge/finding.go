package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// Rule names a rule, in the words of the users' reports.
type Rule string

// Rules.
const (
	RuleTwice         Rule = "TWICE"
	RuleLost          Rule = "LOST"
	RuleUnasked       Rule = "UNASKED"
	RuleOrder         Rule = "ORDER"
	RuleCapacity      Rule = "LIMIT"
	RuleAttempts      Rule = "BUDGET"
	RuleRefused       Rule = "REFUSED"
	RulePlacement     Rule = "ROUTE"
	RuleConfiguration Rule = "CONFIG"
	RuleDrain         Rule = "DRAIN"
	RuleAcknowledged  Rule = "Acks"
	RuleShown         Rule = "MIXED"
)

// Finding is one case of a broken rule.
type Finding struct {
	Rule Rule `json:"rule"`
	// Job and Task are empty where the case has none.
	Job  carobkeel.JobID `json:"job,omitempty"`
	Task string          `json:"task,omitempty"`
	// At is when the rule was broken, since the record began.
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
	// Events are the numbers of the events that the case rests on.
	Events []int `json:"events"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	subject := f.Task
	if subject == "" {
		subject = string(f.Job)
	}
	return fmt.Sprintf("%8.3f  %s %s: %s", f.At.Seconds(), f.Rule, subject, f.Text)
}

// compare orders findings by time, then by what they rest on.
func (f Finding) compare(o Finding) int {
	if f.At != o.At {
		return cmp.Compare(f.At, o.At)
	}
	return slices.Compare(f.Events, o.Events)
}
