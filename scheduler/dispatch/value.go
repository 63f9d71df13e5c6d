package dispatch

const (
	// lateValue and tooLateValue are the values of the completion of a late job to its
	// caller, where that of a job in time is 1.
	lateValue    = 0.15
	tooLateValue = 0.02
	// fixedValueWork is the work, in core-seconds, that has the same value as the part of a
	// job's value that does not depend on its size.
	fixedValueWork = 60.0
	// minWorkLeft is the least work that is assumed to be left, in core-seconds.
	minWorkLeft = 0.1
)

// valueRate returns the value that the completion of a step's job has to its caller for
// each core-second of work that is left. Under overload, jobs with a high rate go first:
// small ones, and those of which much is done, so that more of them are in time than if
// all progressed alike.
func (c *Core) valueRate(s *stepState) float64 {
	total, left := s.occurrence.work()
	value := fixedValueWork + total
	switch c.lateness(s) {
	case late:
		value *= lateValue
	case tooLate:
		value *= tooLateValue
	}
	return value / max(minWorkLeft, left)
}

// work returns the estimated work of an occurrence, and how much of it is left, in
// core-seconds.
func (o *occurrence) work() (total, left float64) {
	for _, s := range o.steps {
		each := s.taskWork()
		total += each * float64(len(s.tasks))
		left += each * float64(len(s.tasks)-s.done)
	}
	return total, left
}

// taskWork returns the estimated work of one task of the step, in core-seconds.
func (s *stepState) taskWork() float64 {
	return s.typicalDuration().Seconds() * float64(s.spec.Demand.MilliCPU) / 1000
}
