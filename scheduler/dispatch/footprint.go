package dispatch

import "github.com/carobkeel/carobkeel"

// Bounds of the bytes that a holder keeps for a job as long as its records exist, with those of a second copy
// of its row while the shard is taken over. Waiting tasks take none.
const (
	jobFootprint  = 2 << 10
	stepFootprint = 1 << 10
)

// footprint returns a bound of the bytes that a job takes in a holder.
func footprint(j *carobkeel.JobSpec) int64 {
	bytes := jobFootprint + 2*len(j.Payload)
	for i := range j.Steps {
		s := &j.Steps[i]
		bytes += stepFootprint + 2*(len(s.Image)+len(s.RequiredLabel)+len(s.DataRack))
	}
	return int64(bytes)
}

// Footprint returns a bound of the bytes that all jobs of the shard take, those that have ended included until
// their records are removed.
func (c *Core) Footprint() int64 { return c.footprint }
