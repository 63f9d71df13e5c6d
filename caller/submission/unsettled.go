package submission

import (
	"hash/maphash"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// unsettledSlots bounds the number of submissions that are remembered.
	unsettledSlots = 1024
	// unsettledTime is how long a submission is remembered: callers repeat theirs for
	// some seconds.
	unsettledTime = time.Minute
)

// unsettledJobs remembers the submissions that may have been stored although their
// answers are missing. A newer one may replace an older one in its slot.
type unsettledJobs struct {
	seed  maphash.Seed
	slots [unsettledSlots]atomic.Pointer[unsettledJob]
}

type unsettledJob struct {
	id    carobkeel.JobID
	until time.Time
}

func newUnsettledJobs() *unsettledJobs { return &unsettledJobs{seed: maphash.MakeSeed()} }

func (u *unsettledJobs) slot(id carobkeel.JobID) *atomic.Pointer[unsettledJob] {
	return &u.slots[maphash.String(u.seed, string(id))%unsettledSlots]
}

// add records that a submission may have been stored.
func (u *unsettledJobs) add(id carobkeel.JobID, now time.Time) {
	u.slot(id).Store(&unsettledJob{id: id, until: now.Add(unsettledTime)})
}

// contains reports whether an earlier submission of the job may have been stored.
func (u *unsettledJobs) contains(id carobkeel.JobID, now time.Time) bool {
	job := u.slot(id).Load()
	return job != nil && job.id == id && now.Before(job.until)
}
