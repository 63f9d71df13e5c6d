package dispatch

// Policy switches the decisions that a deployment asks for. The zero value leaves all of them
// out.
type Policy struct {
	// FleetRecovery starts little on workers that have just begun until they have accepted a
	// start, and raises that step by step.
	FleetRecovery bool
	// OverloadControl limits the copies and moves of running tasks while the fleet is full.
	OverloadControl bool
	// Admission lets entries refuse jobs that can't be done in useful time any more.
	Admission bool
	// LocalityWait lets tasks wait for room near their data or group as long as it pays. It has
	// no effect where RemoteFactor is not above 1.
	LocalityWait bool
	// RemoteFactor is how many times as long a task takes away from its data, or a gang on more
	// than one rack.
	RemoteFactor float64
}
