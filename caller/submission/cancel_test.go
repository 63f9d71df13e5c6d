package submission_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/submission"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/memory"
)

const (
	testShard = "shard"
	testJob   = carobkeel.JobID("00000000000000aa")
	// testBudget is the time that a caller allows for an answer.
	testBudget = time.Second
)

// entryOn returns the service of an entry that has no link to a holder.
func entryOn(rows table.Rows) *submission.Service {
	return submission.New(testShard, rows, noHolder{}, submission.NewMetrics(tally.NoopScope), logging.Discard().For("test"))
}

func withBudget(call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), testBudget)
	defer cancel()
	return call(ctx)
}

func submitTo(s *submission.Service, id carobkeel.JobID) error {
	return withBudget(func(ctx context.Context) error { return s.Submit(ctx, &carobkeel.JobSpec{ID: id}) })
}

func cancelAt(s *submission.Service, id carobkeel.JobID) error {
	return withBudget(func(ctx context.Context) error { return s.Cancel(ctx, id) })
}

// codeOf returns the code of the answer to a call.
func codeOf(err error) carobkeel.Code {
	if err == nil {
		return carobkeel.CodeOK
	}
	return carobkeel.AsError(err).Code
}

// mayStart reports whether a holder that reads the rows now starts the job.
func mayStart(g Gomega, rows table.Rows, id carobkeel.JobID) bool {
	has := func(key string) bool {
		_, found, err := rows.Get(context.Background(), table.RowID{Table: holder.TableJobs, Part: testShard, Key: key})
		g.Expect(err).NotTo(HaveOccurred())
		return found
	}
	return has(string(id)) && !has(string(id)+holder.CancelSuffix)
}

// releaseHeld has the store carry out the transactions that it held.
func releaseHeld(g Gomega, rows *faulty.Rows) {
	_, err := rows.ReleaseHeld(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against UNASKED: a cancelling was answered with 410 while the write of the submission was
// still under way, and the job started seconds later.
func TestCancelledJobIsNotStoredByALateWrite(t *testing.T) {
	for name, through := range map[string]int{"the same entry": 0, "another entry": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				rows := faulty.NewRows(memory.NewRows())
				entries := []*submission.Service{entryOn(rows), entryOn(rows)}
				rows.HoldNext(1000)
				g.Expect(codeOf(submitTo(entries[0], testJob))).To(Equal(carobkeel.CodeTimeoutUnknown))
				rows.HoldNext(0)
				g.Expect(codeOf(cancelAt(entries[through], testJob))).To(Equal(carobkeel.CodeUnknownJob))
				releaseHeld(g, rows)
				g.Expect(mayStart(g, rows, testJob)).To(BeFalse())
			})
		})
	}
}

func TestCancellingDuringASubmissionIsHeldTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows := faulty.NewRows(memory.NewRows())
		entries := []*submission.Service{entryOn(rows), entryOn(rows)}
		rows.HoldNext(3)
		answered := make(chan error)
		go func() { answered <- submitTo(entries[0], testJob) }()
		time.Sleep(70 * time.Millisecond) // the submission has been tried three times
		g.Expect(codeOf(cancelAt(entries[1], testJob))).To(Equal(carobkeel.CodeUnknownJob))
		g.Expect(codeOf(<-answered)).To(Equal(carobkeel.CodeJobCancelled))
		releaseHeld(g, rows)
		g.Expect(mayStart(g, rows, testJob)).To(BeFalse())
	})
}

func TestCancellingOfAJobThatIsStoredMeanwhileIsAcknowledged(t *testing.T) {
	g := NewWithT(t)
	rows := &lateReads{Rows: memory.NewRows()}
	rows.afterMiss = func() { g.Expect(submitTo(entryOn(rows.Rows), testJob)).To(Succeed()) }
	g.Expect(cancelAt(entryOn(rows), testJob)).To(Succeed())
	g.Expect(mayStart(g, rows.Rows, testJob)).To(BeFalse())
}

// lateReads are rows that change after the first read of an absent one.
type lateReads struct {
	table.Rows
	afterMiss func()
}

func (r *lateReads) Get(ctx context.Context, id table.RowID) (table.VersionedRow, bool, error) {
	row, found, err := r.Rows.Get(ctx, id)
	if change := r.afterMiss; !found && change != nil {
		r.afterMiss = nil
		change()
	}
	return row, found, err
}

func TestSubmissionAfterAnAcknowledgedCancellingIsRefused(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	jobs := entryOn(rows)
	g.Expect(codeOf(cancelAt(jobs, testJob))).To(Equal(carobkeel.CodeUnknownJob))
	err := submitTo(jobs, testJob)
	g.Expect(codeOf(err)).To(Equal(carobkeel.CodeJobCancelled))
	g.Expect(carobkeel.AsError(err).Ran).To(Equal(carobkeel.RanNo))
	g.Expect(mayStart(g, rows, testJob)).To(BeFalse())
}

func TestRepeatedSubmissionOfACancelledJobIsAcceptedIfTheFirstWasStored(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	jobs := entryOn(rows)
	g.Expect(submitTo(jobs, testJob)).To(Succeed())
	g.Expect(cancelAt(jobs, testJob)).To(Succeed())
	g.Expect(submitTo(jobs, testJob)).To(Succeed())
	g.Expect(mayStart(g, rows, testJob)).To(BeFalse())
}

// countedRows counts transactions.
type countedRows struct {
	table.Rows
	transactions int
}

func (r *countedRows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	r.transactions++
	return r.Rows.Transact(ctx, txn)
}

func TestCancellingsOfUnknownJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows := &countedRows{Rows: memory.NewRows()}
		jobs := entryOn(rows)
		answers := make(map[carobkeel.Code]int)
		for n := range 10_000 { // in ten seconds
			answers[codeOf(cancelAt(jobs, carobkeel.JobID(fmt.Sprintf("%016x", n))))]++
			time.Sleep(time.Millisecond)
		}
		const stored = 200 + 10*10
		g.Expect(answers[carobkeel.CodeUnknownJob]).To(BeNumerically("~", stored, 1))
		g.Expect(answers[carobkeel.CodeOverloaded]).To(Equal(10_000 - answers[carobkeel.CodeUnknownJob]))
		g.Expect(rows.transactions).To(Equal(answers[carobkeel.CodeUnknownJob]))
		time.Sleep(time.Second)
		g.Expect(codeOf(cancelAt(jobs, testJob))).To(Equal(carobkeel.CodeUnknownJob))
		g.Expect(submitTo(jobs, "ffffffffffffffff")).To(Succeed())
		g.Expect(cancelAt(jobs, "ffffffffffffffff")).To(Succeed(), "known jobs are cancelled beside it")
	})
}

func TestCancellingWithoutAStoreIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows := faulty.NewRows(memory.NewRows())
		rows.SetDown(true)
		g.Expect(codeOf(cancelAt(entryOn(rows), testJob))).To(Equal(carobkeel.CodeStoreUnavailable))
	})
}

// fate is what becomes of a transaction.
type fate int

const (
	fateDone fate = iota
	fateAnswerLost
	fateLate
	fateLost
	fateUnavailable
)

// lossyRows decides for each transaction whether it is carried out, now or late, and answered. The
// fates are used in turn.
type lossyRows struct {
	table.Rows
	fates []fate
	next  int
	late  []table.RowTransaction
}

func (r *lossyRows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	drawn := r.fates[r.next%len(r.fates)]
	r.next++
	switch drawn {
	case fateDone:
		return r.Rows.Transact(ctx, txn)
	case fateAnswerLost:
		_, _ = r.Rows.Transact(ctx, txn)
	case fateLate:
		r.late = append(r.late, txn)
	case fateUnavailable:
		return table.RowOutcome{}, table.ErrUnavailable
	}
	return table.RowOutcome{}, errors.Wrap(table.ErrUnsettled, "the answer is lost")
}

// carryOutLate carries out one of the late transactions.
func (r *lossyRows) carryOutLate(i int) {
	if len(r.late) == 0 {
		return
	}
	i %= len(r.late)
	_, _ = r.Rows.Transact(context.Background(), r.late[i])
	r.late = append(r.late[:i:i], r.late[i+1:]...)
}

// cancelStep is a step of a play: a submission, a cancelling or a late write.
type cancelStep struct {
	Kind, Entry, Late int
}

const (
	stepSubmit = iota
	stepCancel
	stepLate
)

// cancelPlay plays one job through two entries, and keeps what callers were told.
type cancelPlay struct {
	rows    *lossyRows
	entries []*submission.Service
	// accepted and cancelled report that a submission and a cancelling were acknowledged, and
	// cancelSent that one was sent. unsure reports a submission without a definite answer.
	accepted, cancelled, cancelSent, unsure bool
}

func (p *cancelPlay) take(s cancelStep) {
	switch s.Kind {
	case stepSubmit:
		err := submitTo(p.entries[s.Entry], testJob)
		p.accepted = p.accepted || err == nil
		p.unsure = p.unsure || (err != nil && carobkeel.AsError(err).Ran != carobkeel.RanNo)
	case stepCancel:
		p.cancelSent = true
		code := codeOf(cancelAt(p.entries[s.Entry], testJob))
		p.cancelled = p.cancelled || code == carobkeel.CodeOK || code == carobkeel.CodeUnknownJob
	case stepLate:
		p.rows.carryOutLate(s.Late)
	}
}

// check compares what a holder would do that reads the rows now, by the feed or at a takeover,
// with what callers were told. It returns what is not true.
func (p *cancelPlay) check(starts bool) string {
	switch {
	case starts && p.cancelled:
		return "the job starts although its cancelling was acknowledged"
	case !starts && p.accepted && !p.cancelSent:
		return "the accepted job is lost"
	case starts && !p.accepted && !p.unsure:
		return "the job starts although all its submissions were refused"
	}
	return ""
}

// Guards against UNASKED and LOST: whatever is lost or late, what callers are told stays true.
func TestAnswersToSubmissionsAndCancellingsStayTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{fateDone, fateDone, fateAnswerLost, fateLate, fateLost, fateUnavailable}), 1, 60).Draw(rt, "fates")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) cancelStep {
			return cancelStep{
				Kind: rapid.IntRange(stepSubmit, stepLate).Draw(rt, "kind"), Entry: rapid.IntRange(0, 1).Draw(rt, "entry"),
				Late: rapid.IntRange(0, 9).Draw(rt, "late"),
			}
		}), 1, 12).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { // callers repeat a try until their time is over
			rows := &lossyRows{Rows: memory.NewRows(), fates: fates}
			play := &cancelPlay{rows: rows, entries: []*submission.Service{entryOn(rows), entryOn(rows)}}
			for i, step := range steps {
				play.take(step)
				if untrue := play.check(mayStart(NewWithT(t), rows.Rows, testJob)); untrue != "" {
					t.Fatalf("step %d of %v: %s", i, steps, untrue)
				}
			}
		})
	})
}
