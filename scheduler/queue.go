package scheduler

import (
	"sort"

	"github.com/carobkeel/carobkeel"
)

// queue orders waiting tasks: by class first, then the owner that uses the
// least relative to its weight, then in the order of arrival.
type queue struct {
	classes [carobkeel.ClassCount]classQueue
	length  int
}

type classQueue struct {
	// owners holds an ownerQueue for each owner that ever waited.
	owners map[carobkeel.Owner]*ownerQueue
	// order lists the owners by name, so that equals are served alike in each run.
	order []*ownerQueue
}

type ownerQueue struct {
	owner carobkeel.Owner
	// ids[head:] wait. Those that left the queue otherwise are passed over when
	// they are taken.
	ids  []carobkeel.TaskID
	head int
	// running is the dominant share of what the owner's placed tasks reserve.
	running float64
	weight  float64
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

// pop takes the next task. The share that it is going to use is charged to its
// owner by the caller.
func (q *queue) pop() (carobkeel.TaskID, bool) {
	for class := range q.classes {
		if o := q.classes[class].next(); o != nil {
			q.length--
			return o.take(), true
		}
	}
	return "", false
}

// charge adds to what an owner uses; a negative share is given back.
func (q *queue) charge(class carobkeel.Class, owner carobkeel.Owner, share float64) {
	q.owner(class, owner).running += share
}

func (c *classQueue) next() *ownerQueue {
	var least *ownerQueue
	for _, o := range c.order {
		if o.head == len(o.ids) {
			continue
		}
		if least == nil || o.running/o.weight < least.running/least.weight {
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

// compactAfter is the number of taken ids from which a queue gives back their
// memory.
const compactAfter = 1024
