package store

import (
	"context"
	"regexp"
	"sort"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/table"
)

// Rows of planned stops. Planning a stop and starting its draining both write
// the head, so that no two such decisions are based on the same state.
const (
	stopHeadKey = "stops/head"
	stopPrefix  = "stops/item/"
	// StopRetention is how long a finished stop remains listed.
	StopRetention = 7 * 24 * time.Hour
)

// stopIDPattern matches valid stop ids, which are part of a table key.
var stopIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// FleetSource returns snapshots of the hosts and their work.
type FleetSource interface {
	Fleet(ctx context.Context) (operator.Fleet, error)
}

// StopsConfig holds the dependencies of Stops. Only Table and Fleet are
// required; the defaults of the others are those of Config.
type StopsConfig struct {
	Table   table.Table
	Fleet   FleetSource
	Metrics *Metrics
	Now     func() time.Time
	NewID   func() table.TransactionID
	Wait    Wait
}

// Stops stores planned stops in the table service and advances them. Any process
// may advance any stop: a step is a conditional write, and taking it twice has
// one effect. Its methods are safe for concurrent use.
type Stops struct {
	base
	fleet FleetSource
}

// NewStops returns stops that use the table service. It does not read yet.
func NewStops(c StopsConfig) *Stops {
	s := &Stops{
		base: base{
			committer: committer{table: c.Table, wait: c.Wait},
			metrics:   c.Metrics, now: c.Now, newID: c.NewID,
		},
		fleet: c.Fleet,
	}
	s.setDefaults()
	return s
}

// stopRow is a stop with its row's version.
type stopRow struct {
	operator.Stop
	version table.Version
}

// Plan plans a stop. Repeating the request with the same id has no further
// effect.
func (s *Stops) Plan(ctx context.Context, request operator.StopRequest) (operator.Stop, error) {
	hasNewID := request.ID == ""
	if hasNewID {
		request.ID = operator.StopID(uuid.NewString())
	}
	if !stopIDPattern.MatchString(string(request.ID)) {
		return operator.Stop{}, carobkeel.NewError(carobkeel.CodeInvalidRequest, "stop id %q is not 1 to 64 of A-Z, a-z, 0-9, dot, dash and underscore", request.ID)
	}
	stop, err := s.plan(ctx, request)
	return stop, markPossiblyRun(err, hasNewID)
}

func (s *Stops) plan(ctx context.Context, request operator.StopRequest) (operator.Stop, error) {
	for attempt := range raceAttempts {
		head, _, err := s.table.Get(ctx, stopHeadKey)
		if err != nil {
			return operator.Stop{}, unavailable(err)
		}
		rows, err := s.rows(ctx)
		if err != nil {
			return operator.Stop{}, err
		}
		if known, found := findStop(rows, request.ID); found {
			return existingStop(known, request)
		}
		stop, err := s.decide(ctx, request, rows)
		if err != nil {
			return operator.Stop{}, err
		}
		done, err := s.write(ctx, stopRow{Stop: stop}, stop, &head.Version)
		if err != nil {
			return operator.Stop{}, asStopError(stop.ID, err)
		}
		if done {
			return stop, nil
		}
		if err := s.wait(ctx, attempt); err != nil {
			return operator.Stop{}, unavailable(err)
		}
	}
	return operator.Stop{}, unavailable(errors.Errorf("%d other changes came first", raceAttempts))
}

func (s *Stops) decide(ctx context.Context, request operator.StopRequest, rows []stopRow) (operator.Stop, error) {
	fleet, err := s.fleet.Fleet(ctx)
	if err != nil {
		return operator.Stop{}, unavailable(errors.Wrap(err, "the fleet is not known"))
	}
	return operator.PlanStop(request, fleet, stopsOf(rows), s.now().UTC())
}

// existingStop returns the stop that was already planned under the request's id.
// It refuses a request for another target.
func existingStop(known stopRow, request operator.StopRequest) (operator.Stop, error) {
	if known.Target != request.Target {
		return operator.Stop{}, carobkeel.NewError(carobkeel.CodeKeyConflict, "stop id %q belongs to a stop of %s", known.ID, known.Target)
	}
	return known.Stop, nil
}

// List returns the planned stops, sorted by start.
func (s *Stops) List(ctx context.Context) ([]operator.Stop, error) {
	rows, err := s.rows(ctx)
	if err != nil {
		return nil, err
	}
	stops := stopsOf(rows)
	sort.SliceStable(stops, func(i, j int) bool { return stops[i].Start.Before(stops[j].Start) })
	return stops, nil
}

// Get returns the stop with the given id.
func (s *Stops) Get(ctx context.Context, id operator.StopID) (operator.Stop, error) {
	row, err := s.get(ctx, id)
	return row.Stop, err
}

// Cancel cancels a stop.
func (s *Stops) Cancel(ctx context.Context, id operator.StopID, by string) (operator.Stop, error) {
	for attempt := range raceAttempts {
		row, err := s.get(ctx, id)
		if err != nil {
			return operator.Stop{}, err
		}
		next, err := row.Cancel(by, s.now().UTC())
		if err != nil || next == row.Stop {
			return next, err
		}
		done, err := s.write(ctx, row, next, nil)
		if err != nil {
			return operator.Stop{}, asStopError(id, err)
		}
		if done {
			return next, nil
		}
		if err := s.wait(ctx, attempt); err != nil {
			return operator.Stop{}, unavailable(err)
		}
	}
	return operator.Stop{}, unavailable(errors.Errorf("%d other changes came first", raceAttempts))
}

// Advance takes one step of every stop that can advance, and deletes finished
// stops after StopRetention. It returns the resulting stops. Each process that
// advances stops calls it every few seconds.
func (s *Stops) Advance(ctx context.Context) ([]operator.Stop, error) {
	head, _, err := s.table.Get(ctx, stopHeadKey)
	if err != nil {
		return nil, unavailable(err)
	}
	rows, err := s.rows(ctx)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, nil
	}
	fleet, err := s.fleet.Fleet(ctx)
	if err != nil {
		return stopsOf(rows), unavailable(errors.Wrap(err, "the fleet is not known"))
	}
	a := &advance{stops: s, fleet: fleet, headVersion: head.Version, now: s.now().UTC()}
	for i := range rows {
		if err := a.step(ctx, rows, i); err != nil {
			return stopsOf(rows), err
		}
	}
	return stopsOf(rows), nil
}

// advance is one pass over the stops.
type advance struct {
	stops       *Stops
	fleet       operator.Fleet
	headVersion table.Version
	now         time.Time
	// headWritten reports that this pass has tried to write the head, so that
	// headVersion is outdated and the start of another stop has to wait for the
	// next pass.
	headWritten bool
}

func (a *advance) step(ctx context.Context, rows []stopRow, index int) error {
	row := rows[index]
	if row.State.IsFinal() {
		if a.now.Sub(row.ChangedAt) > StopRetention {
			return a.stops.deleteStop(ctx, row)
		}
		return nil
	}
	others := append(stopsOf(rows[:index]), stopsOf(rows[index+1:])...)
	next := row.Step(a.fleet, others, a.now)
	if next == row.Stop {
		return nil
	}
	starts := row.State == operator.StopPlanned && next.State == operator.StopDraining
	var head *table.Version
	if starts {
		if a.headWritten {
			return nil
		}
		a.headWritten = true
		head = &a.headVersion
	}
	done, err := a.stops.write(ctx, row, next, head)
	switch {
	case errors.Is(err, errOutcomeUnknown):
		// The next pass reads the outcome and continues from it.
		return nil
	case err != nil:
		return err
	case !done:
		a.stops.metrics.StopRaces.Inc(1)
		return nil
	}
	a.stops.metrics.StopSteps.Inc(1)
	rows[index].Stop = next
	return nil
}

func (s *Stops) deleteStop(ctx context.Context, row stopRow) error {
	key := stopPrefix + string(row.ID)
	_, _, err := s.commit(ctx, table.Transaction{
		ID:         s.newID(),
		Conditions: []table.Condition{{Key: key, Version: row.version}},
		Writes:     []table.Write{{Key: key, Delete: true}},
	})
	return err
}

// write replaces row by next. If head is given, the transaction also requires
// that version of the head and writes the head. The result is false if another
// process wrote first. If the outcome is unknown, write reads the row back to
// see whether its content is next.
func (s *Stops) write(ctx context.Context, row stopRow, next operator.Stop, head *table.Version) (bool, error) {
	value, err := wrap(next)
	if err != nil {
		return false, err
	}
	key := stopPrefix + string(next.ID)
	txn := table.Transaction{
		ID:         s.newID(),
		Conditions: []table.Condition{{Key: key, Version: row.version}},
		Writes:     []table.Write{{Key: key, Value: value}},
	}
	if head != nil {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: stopHeadKey, Version: *head})
		txn.Writes = append(txn.Writes, table.Write{Key: stopHeadKey, Value: value})
	}
	outcome, known, err := s.commit(ctx, txn)
	if known {
		return outcome.Applied, err
	}
	return s.resolveWrite(ctx, row, next)
}

func (s *Stops) resolveWrite(ctx context.Context, row stopRow, next operator.Stop) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	present, err := s.get(ctx, next.ID)
	if err != nil || present.version == row.version {
		return false, errOutcomeUnknown
	}
	return present.Stop == next, nil
}

func (s *Stops) get(ctx context.Context, id operator.StopID) (stopRow, error) {
	row, found, err := s.table.Get(ctx, stopPrefix+string(id))
	if err != nil {
		return stopRow{}, unavailable(err)
	}
	if !found {
		return stopRow{}, carobkeel.NewError(carobkeel.CodeUnknownStop, "there is no stop %q", id)
	}
	stop, err := unwrap[operator.Stop](row)
	return stopRow{Stop: stop, version: row.Version}, err
}

func (s *Stops) rows(ctx context.Context) ([]stopRow, error) {
	var stops []stopRow
	after := ""
	for {
		rows, err := s.table.Range(ctx, stopPrefix, after, pageRows)
		if err != nil {
			return nil, unavailable(err)
		}
		for _, row := range rows {
			stop, err := unwrap[operator.Stop](row)
			if err != nil {
				return nil, err
			}
			stops = append(stops, stopRow{Stop: stop, version: row.Version})
			after = row.Key
		}
		if len(rows) < pageRows {
			return stops, nil
		}
	}
}

func stopsOf(rows []stopRow) []operator.Stop {
	stops := make([]operator.Stop, 0, len(rows))
	for _, row := range rows {
		stops = append(stops, row.Stop)
	}
	return stops
}

func findStop(rows []stopRow, id operator.StopID) (stopRow, bool) {
	for _, row := range rows {
		if row.ID == id {
			return row, true
		}
	}
	return stopRow{}, false
}

func asStopError(id operator.StopID, err error) error {
	if errors.Is(err, errOutcomeUnknown) {
		return carobkeel.NewError(carobkeel.CodeEditUnsettled,
			"the table service does not say whether stop %q was changed; send it again under the same id", id)
	}
	return err
}
