package sidecar

import (
	"cmp"
	"slices"

	"github.com/carobkeel/carobkeel"
)

// Pool is an immutable list of the members of one service that accept new work.
type Pool struct {
	// members is sorted by address.
	members []*Member
	// byDataCentre holds the members of each data centre, sorted by address.
	byDataCentre []dataCentreMembers
}

type dataCentreMembers struct {
	name    carobkeel.DataCentre
	members []*Member
}

// emptyPool is returned for services without members.
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
	for i := range p.byDataCentre {
		if p.byDataCentre[i].name == m.Location.DataCentre {
			p.byDataCentre[i].members = append(p.byDataCentre[i].members, m)
			return
		}
	}
	p.byDataCentre = append(p.byDataCentre, dataCentreMembers{name: m.Location.DataCentre, members: []*Member{m}})
}

// Members returns all members, sorted by address. The slice must not be changed.
func (p *Pool) Members() []*Member { return p.members }

// inDataCentre returns the members in the data centre.
func (p *Pool) inDataCentre(name carobkeel.DataCentre) []*Member {
	for i := range p.byDataCentre {
		if p.byDataCentre[i].name == name {
			return p.byDataCentre[i].members
		}
	}
	return nil
}
