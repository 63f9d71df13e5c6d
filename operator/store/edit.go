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

// raceAttempts is how often an edit is planned and sent while other edits are
// committed first.
const raceAttempts = 64

// editIDPattern matches valid edit ids, which are part of a table key.
var editIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Result is the outcome of an accepted edit.
type Result struct {
	// Revision is the catalogue's revision with the edit in it.
	Revision carobkeel.Revision
	// Change is the change that the edit made. It has no items if the catalogue
	// already had the requested content, or if the edit is a repeat.
	Change operator.Change
	// Repeated reports that the edit had been accepted before under the same
	// id.
	Repeated bool
}

// Edit applies the edit atomically. A refusal is an operator.Problems or a
// carobkeel.Error. After CodeEditUnsettled the edit may be sent again under the
// same id; it takes effect at most once.
func (s *Store) Edit(ctx context.Context, edit operator.Edit) (Result, error) {
	hasNewID := edit.ID == ""
	if hasNewID {
		edit.ID = operator.EditID(uuid.NewString())
	}
	if !editIDPattern.MatchString(string(edit.ID)) {
		return Result{}, carobkeel.NewError(carobkeel.CodeInvalidRequest, "edit id %q is not 1 to 64 of A-Z, a-z, 0-9, dot, dash and underscore", edit.ID)
	}
	digest, err := digestOf(edit)
	if err != nil {
		return Result{}, err
	}
	result, err := s.edit(ctx, identifiedEdit{edit, digest, hasNewID})
	s.count(result, err)
	return result, markPossiblyRun(err, hasNewID)
}

// markPossiblyRun marks a request that failed as unavailable as possibly run
// if its id came from the client: an earlier request under the same id may have
// taken effect.
func markPossiblyRun(err error, hasNewID bool) error {
	var coded *carobkeel.Error
	if !hasNewID && errors.As(err, &coded) && coded.Code == carobkeel.CodeStoreUnavailable {
		return coded.WithRan(carobkeel.RanUnknown)
	}
	return err
}

// Plan returns the change that the edit would make now, without applying it.
func (s *Store) Plan(ctx context.Context, edit operator.Edit) (operator.Change, error) {
	current, _, err := s.refresh(ctx)
	if err != nil {
		return operator.Change{}, err
	}
	return s.plan(ctx, current, edit)
}

// Seed writes the document's content if the table has no catalogue yet.
func (s *Store) Seed(ctx context.Context, doc operator.Document, by string) error {
	current, err := s.Load(ctx)
	if err != nil || current.Revision > 0 {
		return err
	}
	_, err = s.Edit(ctx, operator.EditFromDocument(doc, "seed", by))
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

// identifiedEdit is an edit with the data that detects repeats.
type identifiedEdit struct {
	operator.Edit
	// digest is the digest of the edit's content.
	digest string
	// hasNewID reports that this process drew the id, so that the edit can't be
	// a repeat.
	hasNewID bool
}

func (e identifiedEdit) marker() string { return editPrefix + string(e.ID) }

func (s *Store) edit(ctx context.Context, edit identifiedEdit) (Result, error) {
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
			return acceptedResult(marker, edit, change)
		}
		s.metrics.EditRaces.Inc(1)
		if err := s.wait(ctx, attempt); err != nil {
			return Result{}, unavailable(err)
		}
	}
	return Result{}, unavailable(errors.Errorf("%d other edits came first", raceAttempts))
}

func (s *Store) commitChange(ctx context.Context, change operator.Change, edit identifiedEdit, version table.Version) (table.Outcome, error) {
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

// answerWithoutWrite returns the result of an edit that is refused or changes
// nothing. If the edit repeats an accepted one, it returns the result of that.
func (s *Store) answerWithoutWrite(ctx context.Context, edit identifiedEdit, current *carobkeel.Catalogue, refusal error) (Result, error) {
	if !edit.hasNewID {
		row, found, err := s.table.Get(ctx, edit.marker())
		if err != nil {
			return Result{}, asEditError(edit, errOutcomeUnknown)
		}
		if found {
			return acceptedResult(row, edit, operator.Change{})
		}
	}
	if refusal != nil {
		return Result{}, refusal
	}
	return Result{Revision: current.Revision}, nil
}

// acceptedResult returns the result of an edit whose row exists. The change is
// the one that this process planned last.
func acceptedResult(row table.Row, edit identifiedEdit, change operator.Change) (Result, error) {
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

func asEditError(edit identifiedEdit, err error) error {
	if errors.Is(err, errOutcomeUnknown) {
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
