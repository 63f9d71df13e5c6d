package main

import (
	"flag"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// registerPolicyFlags adds the switches of the scheduling decisions that a deployment asks for.
func registerPolicyFlags(fs *flag.FlagSet) *dispatch.Policy {
	p := &dispatch.Policy{}
	fs.BoolVar(&p.FleetRecovery, "fleet-recovery", false, "raise the starts on workers that have just begun step by step")
	fs.BoolVar(&p.OverloadControl, "overload-control", false, "limit copies and moves of running tasks while the fleet is full")
	fs.BoolVar(&p.Admission, "admission", false, "refuse jobs that can't be done in useful time any more")
	fs.BoolVar(&p.LocalityWait, "locality-wait", false, "let tasks wait for room near their data or group as long as it pays")
	return p
}
