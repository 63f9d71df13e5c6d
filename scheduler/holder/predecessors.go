package holder

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel/scheduler/wire"
)

// predecessors are the earlier holders that may still extend leases of workers.
type predecessors []predecessor

type predecessor struct {
	row wire.HolderRow
	// extendsUntil is the time from which it certainly extends no lease.
	extendsUntil time.Duration
	// unknown reports that its row can't be read, or that a row that can't be read may have hidden
	// it.
	unknown bool
}

// add adds a holder whose row was replaced by the given time.
func (p *predecessors) add(row wire.HolderRow, replaced time.Duration) {
	*p = append(*p, predecessor{row: row, extendsUntil: replaced + leaseAuthority + leaseAuthoritySlack})
}

// addUnknown adds a holder whose row can't be read, or that such a row may have hidden.
func (p *predecessors) addUnknown(row wire.HolderRow, replaced time.Duration) {
	p.add(row, replaced)
	(*p)[len(*p)-1].unknown = true
}

// shorten applies the last promise of the holder before this one, read with the service's clock: that
// holder extends leases no longer than it promised, and all before it no longer than they may
// after it had replaced them.
func (p predecessors) shorten(promised wire.AuthorityRow, read storeInstant) {
	since, until := time.Duration(promised.Since)*time.Millisecond, time.Duration(promised.Until)*time.Millisecond
	if read.at == 0 || since <= 0 || since > read.at || until < since {
		return // by another clock
	}
	for i := range p {
		old := &p[i]
		end := read.localAfter(since + leaseAuthority + leaseAuthoritySlack)
		if old.row.Epoch == promised.Epoch {
			end = read.localAfter(until)
		}
		if !old.unknown && old.row.Epoch <= promised.Epoch && end < old.extendsUntil {
			old.extendsUntil = end
		}
	}
}

// prune drops the holders whose leases have expired.
func (p *predecessors) prune(now, lease time.Duration) {
	*p = slices.DeleteFunc(*p, func(old predecessor) bool { return old.extendsUntil+lease < now })
}

// observe records that a process runs on a host and follows the holder of an
// epoch. It returns whether that shows that an earlier holder has ended or stepped
// down. A message of a process that knew an earlier epoch only may have been sent before
// that holder's process began.
func (p predecessors) observe(host string, incarnation, epoch uint64, now time.Duration) bool {
	ended := false
	for i := range p {
		old := &p[i]
		if old.row.Host != host || epoch < old.row.Epoch {
			continue
		}
		if old.row.Incarnation == incarnation && epoch == old.row.Epoch {
			continue
		}
		if now < old.extendsUntil {
			old.extendsUntil = now
			ended = true
		}
	}
	return ended
}

// remainingLease returns how long leases that the earlier holders extended can still
// run, where a lease has the given duration.
func (p predecessors) remainingLease(now, lease time.Duration) time.Duration {
	remaining := time.Duration(0)
	for _, old := range p {
		remaining = max(remaining, old.extendsUntil+lease-now)
	}
	return remaining
}
