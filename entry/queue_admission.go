package entry

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// expectedWait estimates how long a new request of the share will wait: the
// service time of the requests that precede it, divided by the slots.
func (q *Queue[T]) expectedWait(target *shareQueue[T]) time.Duration {
	var work time.Duration
	for _, each := range q.shareQueues {
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
	if target.share.isBelowGuaranteed(limit) {
		return min(wait, q.guaranteedWait(target, limit))
	}
	return wait
}

// guaranteedWait estimates the wait of a share that uses only its guaranteed
// slots.
func (q *Queue[T]) guaranteedWait(target *shareQueue[T], limit int64) time.Duration {
	slots := max(target.share.guaranteedSlots(limit), 1)
	own := time.Duration(len(target.items)) * target.share.ServiceTime()
	return time.Duration(float64(own) / slots)
}

// refuseOther refuses a waiting request in favour of a new one of target. It
// returns false if there is none to refuse.
func (q *Queue[T]) refuseOther(target *shareQueue[T]) bool {
	victim := q.victimFor(target)
	if victim == nil {
		return false
	}
	item := q.removeAt(victim, victim.latestPosition())
	q.refuse(item.value, carobkeel.NewError(carobkeel.CodeQueueFull, "the queue of %d is full of requests that go before", q.capacity))
	return true
}

// victimFor returns the share's queue from which a request is refused in favour
// of a new one of target: among those of the least urgent class, the queue with
// the most requests. The guaranteed share of the slots also applies to the queue:
// each share keeps that part of a full queue, and at least one request.
func (q *Queue[T]) victimFor(target *shareQueue[T]) *shareQueue[T] {
	protected := len(target.items) < q.guaranteedLength(target)
	var victim *shareQueue[T]
	for _, each := range q.shareQueues {
		if each == target || len(each.items) <= q.guaranteedLength(each) || !(protected || target.mayReplace(each)) {
			continue
		}
		if victim == nil || each.isRefusedBefore(victim) {
			victim = each
		}
	}
	return victim
}

// guaranteedLength is the number of requests that the share keeps in a full
// queue.
func (q *Queue[T]) guaranteedLength(l *shareQueue[T]) int {
	return max(int(l.share.guaranteed.Load())*q.capacity/thousandths, 1)
}

// mayReplace reports whether a new request of l may replace one of other.
func (l *shareQueue[T]) mayReplace(other *shareQueue[T]) bool {
	if l.share.Class != other.share.Class {
		return l.share.Class < other.share.Class
	}
	return len(l.items)+1 < len(other.items)
}

func (l *shareQueue[T]) isRefusedBefore(other *shareQueue[T]) bool {
	if l.share.Class != other.share.Class {
		return l.share.Class > other.share.Class
	}
	return len(l.items) > len(other.items)
}

// latestPosition returns the position of the request with the latest deadline.
func (l *shareQueue[T]) latestPosition() int {
	last := len(l.items) - 1
	for i := len(l.items) / 2; i < len(l.items); i++ {
		if l.items.Less(last, i) {
			last = i
		}
	}
	return last
}
