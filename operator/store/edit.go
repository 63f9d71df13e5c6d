package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"regexp"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/table"
)

// raceAttempts is how often an edit is planned anew after other edits came
// first.
const raceAttempts = 64

// editIDPattern is the form of an edit's id, which is part of a table key.
var editIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Result is what became of an edit.
type Result struct {
	// Revision is the catalogue's revision with the edit in it.
	Revision carobkeel.Revision
	// Change is what the edit changed. It has no items where the catalogue was
	// already as the edit wants it.
	Change operator.Change
	// Repeated says that the edit had been accepted before under the same id.
	Repeated bool
}

// Edit takes the edit wholly or not at all. A refusal is an operator.Problems
// or a carobkeel.Error. With CodeEditUnsettled the edit may be sent again under
// the same id, which has at most one effect.
func (s *Store) Edit(ctx context.Context, edit operator.Edit) (Result, error) {
	fresh := edit.ID == ""
	if fresh {
		edit.ID = operator.EditID(uuid.NewString())
	}
	if !editIDPattern.MatchString(string(edit.ID)) {
		return Result{}, carobkeel.NewError(carobkeel.CodeInvalidRequest, "edit id %q is not 1 to 64 of A-Z, a-z, 0-9, dot, dash and underscore", edit.ID)
	}
	digest, err := digestOf(edit)
	if err != nil {
		return Result{}, err
	}
	result, err := s.edit(ctx, identified{edit, digest, fresh})
	s.count(result, err)
	return result, withRepeatsInMind(err, fresh)
}

// withRepeatsInMind takes back the promise that nothing ran where the id came
// from outside: an earlier request under it may have had its effect.
func withRepeatsInMind(err error, fresh bool) error {
	var coded *carobkeel.Error
	if !fresh && errors.As(err, &coded) && coded.Code == carobkeel.CodeStoreUnavailable {
		return coded.WithRan(carobkeel.RanUnknown)
	}
	return err
}

// Plan returns what the edit would change now, without taking it.
func (s *Store) Plan(ctx context.Context, edit operator.Edit) (operator.Change, error) {
	current, _, err := s.refresh(ctx)
	if err != nil {
		return operator.Change{}, err
	}
	return s.plan(ctx, current, edit)
}

// Seed takes everything in the document where the table has no catalogue yet.
func (s *Store) Seed(ctx context.Context, doc operator.Document, by string) error {
	current, err := s.Load(ctx)
	if err != nil || current.Revision > 0 {
		return err
	}
	_, err = s.Edit(ctx, operator.EditOf(doc, "seed", by))
	return err
}

func (s *Store) plan(ctx context.Context, current *carobkeel.Catalogue, edit operator.Edit) (operator.Change, error) {
	var usage operator.Usage
	if s.usage != nil {
		var err error
		if usage, err = s.usage.Usage(ctx); err != nil {
			return operator.Change{}, unavailable(errors.Wrap(err, "the running work is not known"))
		}
	}
	return operator.Plan(current, edit, usage, s.now().UTC())
}

// identified is an edit with what tells it from others.
type identified struct {
	operator.Edit
	// digest is of the edit's content.
	digest string
	// fresh says that the id was drawn here, so that the edit is no repeat.
	fresh bool
}

func (e identified) marker() string { return editPrefix + string(e.ID) }

func (s *Store) edit(ctx context.Context, edit identified) (Result, error) {
	for attempt := range raceAttempts {
		current, version, err := s.refresh(ctx)
		if err != nil {
			return Result{}, err
		}
		change, err := s.plan(ctx, current, edit.Edit)
		if err != nil || len(change.Items) == 0 {
			return s.answerWithoutWrite(ctx, edit, current, err)
		}
		outcome, err := s.commitChange(ctx, change, edit, version)
		if err != nil {
			return Result{}, asEditError(edit, err)
		}
		if outcome.Applied {
			s.publishChange(current, change)
			return Result{Revision: change.Revision, Change: change}, nil
		}
		if marker, found := findRow(outcome.Conflicts, edit.marker()); found {
			return acceptedAs(marker, edit, change)
		}
		s.metrics.EditRaces.Inc(1)
		if err := s.wait(ctx, attempt); err != nil {
			return Result{}, unavailable(err)
		}
	}
	return Result{}, unavailable(errors.Errorf("%d other edits came first", raceAttempts))
}

func (s *Store) commitChange(ctx context.Context, change operator.Change, edit identified, version table.Version) (table.Outcome, error) {
	writes, err := writesOf(change, edit.digest)
	if err != nil {
		return table.Outcome{}, err
	}
	fence := table.Condition{Key: headKey, Version: version}
	txn := table.Transaction{
		ID: s.newID(),
		Conditions: []table.Condition{
			fence, {Key: edit.marker()}, {Key: revisionKey(changePrefix, change.Revision)},
		},
		Writes: writes,
	}
	return s.commitMarked(ctx, txn, fence, edit.marker())
}

// answerWithoutWrite answers an edit that is refused or changes nothing, unless
// it is the repeat of one that was accepted.
func (s *Store) answerWithoutWrite(ctx context.Context, edit identified, current *carobkeel.Catalogue, refusal error) (Result, error) {
	if !edit.fresh {
		row, found, err := s.table.Get(ctx, edit.marker())
		if err != nil {
			return Result{}, asEditError(edit, errUnsettled)
		}
		if found {
			return acceptedAs(row, edit, operator.Change{})
		}
	}
	if refusal != nil {
		return Result{}, refusal
	}
	return Result{Revision: current.Revision}, nil
}

// acceptedAs returns the result of an edit whose row is there. The change is
// what this process planned last.
func acceptedAs(row table.Row, edit identified, change operator.Change) (Result, error) {
	accepted, err := decodeEdit(row)
	if err != nil {
		return Result{}, err
	}
	if accepted.Digest != edit.digest {
		return Result{}, carobkeel.NewError(carobkeel.CodeKeyConflict, "edit id %q belongs to another edit", edit.ID)
	}
	if accepted.Revision == change.Revision {
		return Result{Revision: accepted.Revision, Change: change}, nil
	}
	return Result{Revision: accepted.Revision, Repeated: true}, nil
}

func findRow(rows []table.Row, key string) (table.Row, bool) {
	for _, row := range rows {
		if row.Key == key && row.Version != 0 {
			return row, true
		}
	}
	return table.Row{}, false
}

func (s *Store) publishChange(current *carobkeel.Catalogue, change operator.Change) {
	if next, err := operator.Apply(current, change); err == nil {
		s.publish(next)
	}
}

func asEditError(edit identified, err error) error {
	if errors.Is(err, errUnsettled) {
		return carobkeel.NewError(carobkeel.CodeEditUnsettled,
			"the table service does not say whether edit %q was taken; send it again under the same id", edit.ID)
	}
	return err
}

func (s *Store) count(result Result, err error) {
	s.metrics.Edits.Inc(codeOf(err))
	if result.Repeated {
		s.metrics.EditsRepeated.Inc(1)
	}
}

func codeOf(err error) carobkeel.Code {
	var problems operator.Problems
	if errors.As(err, &problems) {
		return carobkeel.CodeInvalidEntry
	}
	return carobkeel.CodeOf(err)
}

// digestOf returns a digest of the edit's items, without its id.
func digestOf(edit operator.Edit) (string, error) {
	data, err := encode(edit.Items)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
