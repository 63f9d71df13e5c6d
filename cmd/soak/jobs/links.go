package jobs

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel/internal/relay"
)

// linkKind is what a link connects.
type linkKind string

const (
	// entryLink carries what all others send to an entry.
	entryLink linkKind = "entry"
	// workerLink carries the calls of a sidecar to its worker.
	workerLink linkKind = "worker"
	// storeLink carries the calls of a process to the store.
	storeLink linkKind = "store"
)

// soundDelay is the one-way delay of links to entries without a trouble.
const soundDelay = 5 * time.Millisecond

// link is a relay to or from a process.
type link struct {
	*relay.Relay
	kind linkKind
	// host is the process at the one end, whose links these are.
	host string
}

// sound lets the link work without trouble.
func (l *link) sound() { l.Impair(l.soundState()) }

// listen makes the link refuse connections and resets the open ones, as where a process has
// ended, or accept connections again.
func (l *link) listen(listens bool) error {
	if listens {
		return l.Resume()
	}
	l.Refuse()
	l.Reset()
	return nil
}

func (l *link) soundState() relay.Impairment {
	if l.kind == entryLink {
		return relay.Impairment{Delay: soundDelay}
	}
	return relay.Impairment{}
}

// links are all links of a fleet.
type links []*link

// open adds a link from an address to a target.
func (l *links) open(kind linkKind, host, address, target string) error {
	r, err := relay.Listen(address, target)
	if err != nil {
		return err
	}
	opened := &link{Relay: r, kind: kind, host: host}
	opened.sound()
	*l = append(*l, opened)
	return nil
}

func (l links) close() {
	for _, one := range l {
		one.Close()
	}
}

// pick returns all links, those of one kind, or those of some hosts.
func (l links) pick(random *rand.Rand) links {
	switch random.IntN(3) {
	case 0:
		return l
	case 1:
		kinds := []linkKind{entryLink, workerLink, storeLink}
		kind := kinds[random.IntN(len(kinds))]
		return l.only(func(one *link) bool { return one.kind == kind })
	default:
		hosts := pick(random, l.hosts(), mostHosts)
		return l.only(func(one *link) bool { return slices.Contains(hosts, one.host) })
	}
}

func (l links) only(wanted func(*link) bool) links {
	var picked links
	for _, one := range l {
		if wanted(one) {
			picked = append(picked, one)
		}
	}
	return picked
}

// hosts returns the processes whose links these are.
func (l links) hosts() []string {
	var hosts []string
	for _, one := range l {
		if !slices.Contains(hosts, one.host) {
			hosts = append(hosts, one.host)
		}
	}
	return hosts
}

func (l links) each(do func(*link)) func() {
	return func() {
		for _, one := range l {
			do(one)
		}
	}
}
