// Package recordfile stores the record of a play as JSON lines: a header, then one line
// for each event.
package recordfile

import (
	"bufio"
	"encoding/json"
	"io"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/judge"
)

// header is the first line.
type header struct {
	Began time.Time `json:"began"`
	// End is how long the record lasts, in nanoseconds.
	End time.Duration `json:"end"`
}

// line is the line of an event.
type line struct {
	Number int `json:"number"`
	// At is the time since the record began, in nanoseconds.
	At   time.Duration   `json:"at"`
	Kind string          `json:"kind"`
	Seen json.RawMessage `json:"seen"`
}

// Write writes a play.
func Write(w io.Writer, play judge.Play) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(header{play.Began, play.End}); err != nil {
		return errors.Wrap(err, "write record")
	}
	for _, event := range play.Events {
		if err := writeEvent(encoder, event); err != nil {
			return errors.Wrapf(err, "write event %d", event.Number)
		}
	}
	return errors.Wrap(buffered.Flush(), "write record")
}

func writeEvent(encoder *json.Encoder, event judge.Event) error {
	seen, err := json.Marshal(event.Observation)
	if err != nil {
		return err
	}
	return encoder.Encode(line{event.Number, event.At, event.Kind(), seen})
}

// Read reads a play that Write wrote.
func Read(r io.Reader) (judge.Play, error) {
	decoder := json.NewDecoder(r)
	var h header
	if err := decoder.Decode(&h); err != nil {
		return judge.Play{}, errors.Wrap(err, "read the record's header")
	}
	var events []judge.Event
	for {
		event, err := readEvent(decoder)
		if errors.Is(err, io.EOF) {
			return judge.NewPlay(h.Began, h.End, events), nil
		}
		if err != nil {
			return judge.Play{}, errors.Wrapf(err, "read event %d", len(events)+1)
		}
		events = append(events, event)
	}
}

func readEvent(decoder *json.Decoder) (judge.Event, error) {
	var l line
	if err := decoder.Decode(&l); err != nil {
		return judge.Event{}, err
	}
	seen, known := judge.NewObservation(l.Kind)
	if !known {
		return judge.Event{}, errors.Errorf("no kind %q", l.Kind)
	}
	if err := json.Unmarshal(l.Seen, seen); err != nil {
		return judge.Event{}, err
	}
	observation := reflect.ValueOf(seen).Elem().Interface().(judge.Observation)
	return judge.Event{At: l.At, Observation: observation}, nil
}
