package scheduler

import (
	"sort"

	"github.com/carobkeel/carobkeel"
)

// queue orders waiting tasks by class, then by the owner that uses least in
// proportion to its weight, then by arrival.
type queue struct {
	classes [carobkeel.ClassCount]classQueue
	length  int
}

type classQueue struct {
	// owners holds an ownerQueue for each owner that has had a task in the queue
	// or has used a share.
	owners map[carobkeel.Owner]*ownerQueue
	// order lists the owners by name, so that ties are resolved the same way each
	// time.
	order []*ownerQueue
}

type ownerQueue struct {
	owner carobkeel.Owner
	// ids[head:] are the waiting tasks. A task that no longer waits is skipped by
	// the caller of pop.
	ids  []carobkeel.TaskID
	head int
	// usedShare is the dominant share of what the owner's placed tasks reserve.
	usedShare float64
	weight    float64
}

func (q *queue) owner(class carobkeel.Class, owner carobkeel.Owner) *ownerQueue {
	c := &q.classes[class]
	if found, ok := c.owners[owner]; ok {
		return found
	}
	if c.owners == nil {
		c.owners = make(map[carobkeel.Owner]*ownerQueue)
	}
	added := &ownerQueue{owner: owner, weight: 1}
	c.owners[owner] = added
	c.order = append(c.order, added)
	sort.Slice(c.order, func(i, j int) bool { return c.order[i].owner < c.order[j].owner })
	return added
}

func (q *queue) push(class carobkeel.Class, owner carobkeel.Owner, id carobkeel.TaskID) {
	o := q.owner(class, owner)
	o.ids = append(o.ids, id)
	q.length++
}

// pop removes and returns the next task. The caller adds the share that the task
// will use to the usage of its owner.
func (q *queue) pop() (carobkeel.TaskID, bool) {
	for class := range q.classes {
		if o := q.classes[class].next(); o != nil {
			q.length--
			return o.take(), true
		}
	}
	return "", false
}

// addUsage adds a share to the usage of an owner. A negative share reduces it.
func (q *queue) addUsage(class carobkeel.Class, owner carobkeel.Owner, share float64) {
	q.owner(class, owner).usedShare += share
}

func (c *classQueue) next() *ownerQueue {
	var least *ownerQueue
	for _, o := range c.order {
		if o.head == len(o.ids) {
			continue
		}
		if least == nil || o.usedShare/o.weight < least.usedShare/least.weight {
			least = o
		}
	}
	return least
}

func (o *ownerQueue) take() carobkeel.TaskID {
	id := o.ids[o.head]
	o.head++
	if o.head == len(o.ids) {
		o.ids, o.head = o.ids[:0], 0
	}
	if o.head >= compactAfter && o.head > len(o.ids)/2 {
		o.ids, o.head = append([]carobkeel.TaskID(nil), o.ids[o.head:]...), 0
	}
	return id
}

// compactAfter is the number of removed ids from which a queue frees their memory.
const compactAfter = 1024
