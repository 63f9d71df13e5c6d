package sidecar

import (
	"cmp"
	"slices"

	"github.com/carobkeel/carobkeel"
)

// Pool is an immutable list of the members of one service that take new work.
type Pool struct {
	// members is in the order of the addresses.
	members []*Member
	// local holds the members of each data centre.
	local []dataCentreMembers
}

type dataCentreMembers struct {
	name    carobkeel.DataCentre
	members []*Member
}

// emptyPool is the pool of a service without members.
var emptyPool = &Pool{}

// NewPool returns a pool of the members.
func NewPool(members []*Member) *Pool {
	p := &Pool{members: slices.Clone(members)}
	slices.SortFunc(p.members, func(a, b *Member) int { return cmp.Compare(a.Address, b.Address) })
	for _, member := range p.members {
		p.add(member)
	}
	return p
}

func (p *Pool) add(m *Member) {
	for i := range p.local {
		if p.local[i].name == m.Location.DataCentre {
			p.local[i].members = append(p.local[i].members, m)
			return
		}
	}
	p.local = append(p.local, dataCentreMembers{name: m.Location.DataCentre, members: []*Member{m}})
}

// Members returns all members in the order of their addresses. The slice must
// not be changed.
func (p *Pool) Members() []*Member { return p.members }

// in returns the members of one data centre.
func (p *Pool) in(name carobkeel.DataCentre) []*Member {
	for i := range p.local {
		if p.local[i].name == name {
			return p.local[i].members
		}
	}
	return nil
}
