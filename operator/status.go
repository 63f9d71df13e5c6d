package operator

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Status is the state of the fleet as one process sees it, for operators.
type Status struct {
	// Revision is the catalogue revision that the process uses.
	Revision carobkeel.Revision `json:"revision"`
	// At is when the status was taken.
	At time.Time `json:"at"`
	// StoreAvailable reports whether the table service answered recently.
	StoreAvailable bool               `json:"store_available"`
	DataCentres    []DataCentreStatus `json:"data_centres"`
	Services       []ServiceStatus    `json:"services"`
	Batch          []BatchStatus      `json:"batch"`
}

// DataCentreStatus is the state of one data centre as the process sees it.
type DataCentreStatus struct {
	Name carobkeel.DataCentre `json:"name"`
	// Revision is the lowest catalogue revision that a process there uses.
	Revision carobkeel.Revision `json:"revision"`
	// StaleSeconds is the time since the last announcement from there, in
	// seconds.
	StaleSeconds float64 `json:"stale_seconds"`
	// Processes is the number of the system's own processes there.
	Processes int `json:"processes"`
	// Upstreams is the number of announced instances there.
	Upstreams int `json:"upstreams"`
	// Draining is the number of instances there that accept no new requests.
	Draining int `json:"draining"`
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Name      carobkeel.Service `json:"name"`
	Owner     carobkeel.Owner   `json:"owner"`
	Instances int               `json:"instances"`
	// Serving is the number of instances that accept new requests.
	Serving int `json:"serving"`
	// Ejected is the number of those that this entry does not use at present,
	// because it can't reach them or their requests fail.
	Ejected  int `json:"ejected"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// BatchStatus is the state of the jobs of one batch entry.
type BatchStatus struct {
	Name    string          `json:"name"`
	Owner   carobkeel.Owner `json:"owner"`
	Queued  int             `json:"queued"`
	Running int             `json:"running"`
	Held    int             `json:"held"`
}
