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

// fleetSource provides the state of the fleet to the operators' interface, as an
// entry knows it from the announcements of sidecars.
type fleetSource struct {
	members   *members.Members
	catalogue func() *carobkeel.Catalogue
	// location is the location of the entry itself.
	location carobkeel.Location
	// since is the time from which the entry has accepted announcements.
	since time.Time
	// storeAvailable reports whether the table service has answered recently.
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

// inFlight returns the number of requests in flight that the sidecar reports, or
// the number that this entry has in flight to it where that is greater.
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

// dataCentres counts the announced processes and upstreams of each data centre.
// The revision of a data centre is the lowest that an entry there has reported;
// it is 0 where no entry there has reported.
func (s *fleetSource) dataCentres(view *sidecar.View, revision carobkeel.Revision, now time.Time) []operator.DataCentreStatus {
	found := map[carobkeel.DataCentre]*operator.DataCentreStatus{
		s.location.DataCentre: {Name: s.location.DataCentre, Revision: revision, Processes: 1},
	}
	lastReceived := make(map[carobkeel.DataCentre]time.Time)
	for _, report := range s.members.Entries() {
		name := report.DataCentre
		if found[name] == nil {
			found[name] = &operator.DataCentreStatus{Name: name, Revision: report.Revision}
		}
		found[name].Revision = min(found[name].Revision, report.Revision)
		found[name].Processes++
		if report.ReceivedAt.After(lastReceived[name]) {
			lastReceived[name] = report.ReceivedAt
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
		if member.Stats.LastAnnounced().After(lastReceived[name]) {
			lastReceived[name] = member.Stats.LastAnnounced()
		}
	}
	for name, last := range lastReceived {
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

// services counts the instances of each service in the catalogue.
func services(view *sidecar.View, catalogue *carobkeel.Catalogue, now time.Time) []operator.ServiceStatus {
	found := make(map[carobkeel.Service]*operator.ServiceStatus)
	for _, entry := range operator.DocumentFromCatalogue(catalogue).Entries {
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
