package operator

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Status is what one process knows of the fleet, for operators.
type Status struct {
	// Revision is the catalogue's revision in force at the process.
	Revision carobkeel.Revision `json:"revision"`
	// At is when the status was taken.
	At time.Time `json:"at"`
	// StoreAvailable says whether the table service answered lately.
	StoreAvailable bool               `json:"store_available"`
	DataCentres    []DataCentreStatus `json:"data_centres"`
	Services       []ServiceStatus    `json:"services"`
	Batch          []BatchStatus      `json:"batch"`
}

// DataCentreStatus is the state of one data centre as the process knows it.
type DataCentreStatus struct {
	Name carobkeel.DataCentre `json:"name"`
	// Revision is the lowest revision in force at its processes.
	Revision carobkeel.Revision `json:"revision"`
	// StaleSeconds is the time since it was last heard of, in seconds.
	StaleSeconds float64 `json:"stale_seconds"`
	// Processes is the number of the system's own processes there.
	Processes int `json:"processes"`
	// Upstreams is the number of announced instances there.
	Upstreams int `json:"upstreams"`
	// Draining is the number of instances there that take no new requests.
	Draining int `json:"draining"`
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Name      carobkeel.Service `json:"name"`
	Owner     carobkeel.Owner   `json:"owner"`
	Instances int               `json:"instances"`
	// Serving is the number of instances that take new requests.
	Serving int `json:"serving"`
	// Ejected is how many of those this entry passes over for now, because it
	// can't reach them or they fail.
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
