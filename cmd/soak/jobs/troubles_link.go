package jobs

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel/internal/relay"
)

// Troubles of links.
const (
	leastDelay = 20 * time.Millisecond
	mostDelay  = 300 * time.Millisecond
	// mostHosts is how many hosts one trouble takes the links of.
	mostHosts = 4
)

// linkAction returns the action of troubles of links.
func (p *player) linkAction(kind Kind, random *rand.Rand) action {
	picked := p.fleet.links.pick(random)
	a := action{hosts: picked.hosts(), end: picked.each((*link).sound)}
	switch kind {
	case ResetLinks:
		a.begin = picked.each(func(l *link) { l.Reset() })
	case SilentLinks:
		a.begin = picked.each(func(l *link) { l.Silence() })
	default:
		state := impairment(kind, random)
		a.begin = picked.each(func(l *link) { l.Impair(state) })
	}
	if slices.ContainsFunc(picked, func(l *link) bool { return l.kind == entryLink }) {
		a.hosts = p.fleet.links.hosts() // all others are at the far ends of links to entries
	}
	return a
}

// impairment draws the state of links with a trouble.
func impairment(kind Kind, random *rand.Rand) relay.Impairment {
	switch kind {
	case DeafLinks:
		return relay.Impairment{Delay: soundDelay, Lose: relay.LoseToServer + relay.Loss(random.IntN(2))}
	case CutLinks:
		return relay.Impairment{Cut: relay.CutRefusing + relay.Cut(random.IntN(2))}
	default:
		delay := leastDelay + time.Duration(random.Int64N(int64(mostDelay-leastDelay)))
		return relay.Impairment{Delay: delay, Jitter: delay}
	}
}
