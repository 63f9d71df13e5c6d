package entry

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// expectedWait estimates how long a new request of the line waits: the work that
// goes before it, spread over the slots.
func (q *Queue[T]) expectedWait(target *line[T]) time.Duration {
	var work time.Duration
	for _, each := range q.lines {
		ahead := len(each.items)
		if each != target && each.share.Class == target.share.Class {
			ahead = min(ahead, len(target.items)+1)
		}
		if each.share.Class > target.share.Class {
			ahead = 0
		}
		work += time.Duration(ahead) * each.share.ServiceTime()
	}
	limit := q.slots.limit.Load()
	wait := work / time.Duration(max(limit, 1))
	if target.share.isBelowFloor(limit) {
		return min(wait, q.ownWait(target, limit))
	}
	return wait
}

// ownWait estimates the wait of a line that has its floor's slots for itself.
func (q *Queue[T]) ownWait(target *line[T], limit int64) time.Duration {
	slots := max(target.share.floorSlots(limit), 1)
	own := time.Duration(len(target.items)) * target.share.ServiceTime()
	return time.Duration(float64(own) / slots)
}

// makeRoom refuses a request that a new one of the line goes before. It returns
// false where there is none.
func (q *Queue[T]) makeRoom(target *line[T]) bool {
	victim := q.longest(target)
	if victim == nil {
		return false
	}
	item := q.take(victim, victim.lastPosition())
	q.refuse(item.value, carobkeel.NewError(carobkeel.CodeQueueFull, "the queue of %d is full of requests that go before", q.room))
	return true
}

// longest returns the line that gives up a request for a new one of target: of
// the least urgent class the line with the most requests. A line keeps the
// share of the queue that its floor is of the slots, and one request at least.
func (q *Queue[T]) longest(target *line[T]) *line[T] {
	protected := len(target.items) < q.kept(target)
	var victim *line[T]
	for _, each := range q.lines {
		if each == target || len(each.items) <= q.kept(each) || !(protected || target.mayReplace(each)) {
			continue
		}
		if victim == nil || each.yieldsBefore(victim) {
			victim = each
		}
	}
	return victim
}

// kept is the number of requests that the line keeps in a full queue.
func (q *Queue[T]) kept(l *line[T]) int {
	return max(int(l.share.floor.Load())*q.room/thousandths, 1)
}

// mayReplace reports whether a new request of l may take the place of one of
// other.
func (l *line[T]) mayReplace(other *line[T]) bool {
	if l.share.Class != other.share.Class {
		return l.share.Class < other.share.Class
	}
	return len(l.items)+1 < len(other.items)
}

func (l *line[T]) yieldsBefore(other *line[T]) bool {
	if l.share.Class != other.share.Class {
		return l.share.Class > other.share.Class
	}
	return len(l.items) > len(other.items)
}

// lastPosition returns the position of the request with the latest deadline.
func (l *line[T]) lastPosition() int {
	last := len(l.items) - 1
	for i := len(l.items) / 2; i < len(l.items); i++ {
		if l.items.Less(last, i) {
			last = i
		}
	}
	return last
}
