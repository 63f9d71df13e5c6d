package wire

import (
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

//go:generate go tool msgp -file stops.go -o stops_gen.go -tests=false

// No array or map has more elements than a frame has bytes.
//
//msgp:limit arrays:262144 maps:262144

// Stops contains the planned stops that an entry holds.
type Stops struct {
	Stops []Stop `msg:"s"`
}

// Stop is one planned stop. Its author and reason are stored only in the table
// service.
type Stop struct {
	ID            string `msg:"i"`
	DataCentre    string `msg:"dc,omitempty"`
	Rack          string `msg:"rk,omitempty"`
	Host          string `msg:"h,omitempty"`
	State         string `msg:"s"`
	StartMicros   int64  `msg:"st"`
	ChangedMicros int64  `msg:"c"`
}

// EncodeStops encodes planned stops as a payload.
func EncodeStops(list []operator.Stop) ([]byte, error) {
	var m Stops
	for _, s := range list {
		m.Stops = append(m.Stops, Stop{
			ID:            string(s.ID),
			DataCentre:    string(s.Target.DataCentre),
			Rack:          s.Target.Rack,
			Host:          s.Target.Host,
			State:         string(s.State),
			StartMicros:   s.Start.UnixMicro(),
			ChangedMicros: s.ChangedAt.UnixMicro(),
		})
	}
	payload, err := m.MarshalMsg(nil)
	return payload, errors.Wrap(err, "encode stops")
}

// DecodeStops decodes a payload of EncodeStops.
func DecodeStops(payload []byte) ([]operator.Stop, error) {
	var m Stops
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, errors.Wrap(err, "decode stops")
	}
	list := make([]operator.Stop, 0, len(m.Stops))
	for _, s := range m.Stops {
		list = append(list, operator.Stop{
			ID:        operator.StopID(s.ID),
			Target:    operator.StopTarget{DataCentre: carobkeel.DataCentre(s.DataCentre), Rack: s.Rack, Host: s.Host},
			State:     operator.StopState(s.State),
			Start:     time.UnixMicro(s.StartMicros),
			ChangedAt: time.UnixMicro(s.ChangedMicros),
		})
	}
	return list, nil
}
