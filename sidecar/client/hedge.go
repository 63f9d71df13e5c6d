package client

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/sidecar"
)

// observe records the outcome of a request at the member.
func (f *Forwarder) observe(m *sidecar.Member, r *caller.Request, answer *caller.Answer, refusal *carobkeel.Error, latency time.Duration) {
	switch {
	case refusal == nil && answer.Status < http.StatusInternalServerError:
		m.Stats.RecordLatency(latency - answer.QueueWait)
		f.config.Admission.TailLatency(r.Service).Observe(latency)
	case refusal == nil, countsAsFailure(refusal.Code):
		now := time.Now()
		f.views.View().Pool(r.Service).RecordFailureOf(m, now.Add(-latency), now)
	case refusal.Code == carobkeel.CodeDraining:
		m.Stats.MarkDraining()
	}
}

// countsAsFailure reports whether the code counts as a failure of the sidecar or its
// upstream. A refusal for lack of capacity does not: the load reported with it is the
// better signal.
func countsAsFailure(code carobkeel.Code) bool {
	switch code {
	case carobkeel.CodeLinkLost, carobkeel.CodeUpstreamFailed,
		carobkeel.CodeUpstreamUnreachable, carobkeel.CodeTimeoutUnknown:
		return true
	}
	return false
}

// errSuperseded cancels an attempt whose request another sidecar has answered.
var errSuperseded = errors.New("another sidecar answered first")

// Values of hedge.winner: the attempt whose answer is returned.
const (
	winnerNone int32 = iota
	winnerFirst
	winnerSecond
)

// hedge is the second attempt of a request. The first attempt runs on the request's
// own goroutine, so a request that needs no second one costs only a timer.
type hedge struct {
	forwarder   *Forwarder
	ctx         context.Context
	request     *caller.Request
	account     *caller.OwnerAdmission
	tried       []*sidecar.Member
	cancelFirst context.CancelCauseFunc

	winner       atomic.Int32
	cancelSecond atomic.Pointer[context.CancelFunc]
	// done is closed at the end of the second attempt, or when it is decided that
	// there is none. The fields below are set before that.
	done    chan struct{}
	second  *sidecar.Member
	answer  *caller.Answer
	refusal *carobkeel.Error
}

// sendHedged sends the request to the last of the members tried. If the answer takes
// unusually long and the request may be repeated, it also sends the request to a
// further member, and the first answer is returned along with the members tried.
// Contexts that the attempts derive from ctx are released when ctx ends.
func (f *Forwarder) sendHedged(ctx context.Context, account *caller.OwnerAdmission, r *caller.Request, tried []*sidecar.Member) (*caller.Answer, []*sidecar.Member, *carobkeel.Error) {
	first := tried[len(tried)-1]
	wait := f.config.Admission.HedgeDelay(r)
	if wait <= 0 || len(tried) >= f.config.Attempts {
		answer, refusal := f.send(ctx, first, r)
		return answer, tried, refusal
	}
	h := &hedge{forwarder: f, ctx: ctx, request: r, account: account, tried: tried, done: make(chan struct{})}
	firstCtx, cancel := context.WithCancelCause(ctx)
	h.cancelFirst = cancel
	timer := time.AfterFunc(wait, h.run)
	answer, refusal := f.send(firstCtx, first, r)
	if timer.Stop() {
		return answer, tried, refusal
	}
	return h.resolve(answer, refusal)
}

// run makes the second attempt, if a member is free and the budget allows it.
func (h *hedge) run() {
	defer close(h.done)
	f := h.forwarder
	second := f.pick(h.request, h.tried)
	if second == nil || second.IsBusy(h.request.Class) || !f.spendHedgeBudget(h.account) {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancelSecond.Store(&cancel)
	if h.winner.Load() != winnerNone {
		cancel()
		return
	}
	f.metrics.hedge()
	h.second = second
	h.answer, h.refusal = f.send(ctx, second, h.request)
	if h.refusal != nil {
		return
	}
	if h.winner.CompareAndSwap(winnerNone, winnerSecond) {
		h.cancelFirst(errSuperseded)
		return
	}
	_ = h.answer.Body.Close()
}

// spendHedgeBudget takes the cost of a second attempt from the account. It returns
// false if the budget is used up or there is an overload.
func (f *Forwarder) spendHedgeBudget(account *caller.OwnerAdmission) bool {
	return !f.config.Admission.Overloaded() && account.Withdraw()
}

// resolve returns the answer of the winning attempt, given the outcome of the first. If
// the first attempt failed, it waits for the second.
func (h *hedge) resolve(answer *caller.Answer, refusal *carobkeel.Error) (*caller.Answer, []*sidecar.Member, *carobkeel.Error) {
	if refusal == nil && h.winner.CompareAndSwap(winnerNone, winnerFirst) {
		if cancel := h.cancelSecond.Load(); cancel != nil {
			(*cancel)()
		}
		return answer, h.tried, nil
	}
	if refusal == nil {
		_ = answer.Body.Close()
	}
	<-h.done
	if h.second == nil {
		return nil, h.tried, refusal
	}
	tried := append(h.tried, h.second)
	if h.winner.Load() == winnerSecond {
		return h.answer, tried, nil
	}
	return nil, tried, caller.CombineAttempts(refusal, h.refusal)
}
