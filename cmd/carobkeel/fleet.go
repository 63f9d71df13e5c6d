package main

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/members"
)

// fleetSource tells operators' decisions what an entry knows of the fleet from
// the announcements of sidecars.
type fleetSource struct {
	members   *members.Members
	catalogue func() *carobkeel.Catalogue
	// location is where the entry itself is.
	location carobkeel.Location
	// since is when the entry began to take announcements.
	since time.Time
	// storeAvailable reports whether the table service answered lately.
	storeAvailable func() bool
}

// Fleet implements store.FleetSource.
func (s *fleetSource) Fleet(context.Context) (operator.Fleet, error) {
	fleet := operator.Fleet{Since: s.since, At: time.Now()}
	view := s.members.View()
	for _, member := range view.Members() {
		fleet.Hosts = append(fleet.Hosts, member.Location)
		fleet.Instances = append(fleet.Instances, operator.Instance{
			Service:  member.Service,
			Location: member.Location,
			Serving:  view.IsServing(member),
			InFlight: inFlight(member),
		})
	}
	return fleet, nil
}

// inFlight returns what the sidecar says of itself, or what this entry has sent
// to it where that is more.
func inFlight(member *sidecar.Member) int {
	return int(max(member.Stats.ReportedRequests(), member.Stats.InFlight(carobkeel.ClassBatch)))
}

// Usage implements store.UsageSource. It counts the announced instances.
func (s *fleetSource) Usage(context.Context) (operator.Usage, error) {
	usage := operator.Usage{
		Owners:  make(map[carobkeel.Owner]carobkeel.Resources),
		Running: make(map[string]int),
	}
	catalogue := s.catalogue()
	for _, member := range s.members.View().Members() {
		entry, known := catalogue.Lookup(string(member.Service))
		if !known || member.State == sidecar.StateStopped {
			continue
		}
		usage.Running[entry.Name]++
		usage.Owners[entry.Owner] = usage.Owners[entry.Owner].Add(entry.Demand)
	}
	return usage, nil
}

// Status implements httpapi.StatusSource.
func (s *fleetSource) Status(context.Context) (operator.Status, error) {
	now := time.Now()
	status := operator.Status{At: now, StoreAvailable: s.storeAvailable(), Batch: []operator.BatchStatus{}}
	catalogue := s.catalogue()
	if catalogue != nil {
		status.Revision = catalogue.Revision
	}
	view := s.members.View()
	status.DataCentres = s.dataCentres(view, status.Revision, now)
	status.Services = services(view, catalogue, now)
	return status, nil
}

// dataCentres counts what is announced from each data centre. Its revision is
// the lowest that an entry there has reported. A data centre without an entry
// that reports has none.
func (s *fleetSource) dataCentres(view *sidecar.View, revision carobkeel.Revision, now time.Time) []operator.DataCentreStatus {
	found := map[carobkeel.DataCentre]*operator.DataCentreStatus{
		s.location.DataCentre: {Name: s.location.DataCentre, Revision: revision, Processes: 1},
	}
	heard := make(map[carobkeel.DataCentre]time.Time)
	for _, listing := range s.members.Entries() {
		name := listing.DataCentre
		if found[name] == nil {
			found[name] = &operator.DataCentreStatus{Name: name, Revision: listing.Revision}
		}
		found[name].Revision = min(found[name].Revision, listing.Revision)
		found[name].Processes++
		if listing.ReceivedAt.After(heard[name]) {
			heard[name] = listing.ReceivedAt
		}
	}
	for _, member := range view.Members() {
		name := member.Location.DataCentre
		if found[name] == nil {
			found[name] = &operator.DataCentreStatus{Name: name}
		}
		found[name].Processes++
		found[name].Upstreams++
		if !view.IsServing(member) {
			found[name].Draining++
		}
		if member.Stats.LastAnnounced().After(heard[name]) {
			heard[name] = member.Stats.LastAnnounced()
		}
	}
	for name, last := range heard {
		if name != s.location.DataCentre {
			found[name].StaleSeconds = now.Sub(last).Seconds()
		}
	}
	statuses := make([]operator.DataCentreStatus, 0, len(found))
	for _, status := range found {
		statuses = append(statuses, *status)
	}
	slices.SortFunc(statuses, func(a, b operator.DataCentreStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

// services counts the instances of each service that is in the catalogue.
func services(view *sidecar.View, catalogue *carobkeel.Catalogue, now time.Time) []operator.ServiceStatus {
	found := make(map[carobkeel.Service]*operator.ServiceStatus)
	for _, entry := range operator.DocumentOf(catalogue).Entries {
		if entry.Class == carobkeel.ClassLatencyCritical {
			name := carobkeel.Service(entry.Name)
			found[name] = &operator.ServiceStatus{Name: name, Owner: entry.Owner}
		}
	}
	for _, member := range view.Members() {
		status, known := found[member.Service]
		if !known {
			continue
		}
		status.Instances++
		status.InFlight += inFlight(member)
		if view.IsServing(member) {
			status.Serving++
			if member.Stats.IsEjected(now) {
				status.Ejected++
			}
		}
	}
	names := slices.Sorted(maps.Keys(found))
	statuses := make([]operator.ServiceStatus, 0, len(names))
	for _, name := range names {
		statuses = append(statuses, *found[name])
	}
	return statuses
}
