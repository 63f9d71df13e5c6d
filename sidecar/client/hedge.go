package client

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/sidecar"
)

// observe notes how a request went at the member.
func (f *Forwarder) observe(m *sidecar.Member, r *caller.Request, answer *caller.Answer, refusal *carobkeel.Error, latency time.Duration) {
	switch {
	case refusal == nil && answer.Status < http.StatusInternalServerError:
		m.Live.Observe(latency - answer.Waited)
		f.config.Admission.Tail(r.Service).Observe(latency)
	case refusal == nil, isFault(refusal.Code):
		f.views.View().Pool(r.Service).Fail(m, time.Now())
	case refusal.Code == carobkeel.CodeDraining:
		m.Live.Drained()
	}
}

// isFault reports whether the code speaks against the sidecar or its upstream. A
// refusal for want of capacity does not: the load that came with it tells more.
func isFault(code carobkeel.Code) bool {
	switch code {
	case carobkeel.CodeLinkLost, carobkeel.CodeUpstreamFailed,
		carobkeel.CodeUpstreamUnreachable, carobkeel.CodeTimeoutUnknown:
		return true
	}
	return false
}

// attemptResult is how a request ended at one sidecar.
type attemptResult struct {
	// index numbers the attempts of one request.
	index   int
	answer  *caller.Answer
	refusal *carobkeel.Error
}

// race is one request at several sidecars at once.
type race struct {
	forwarder *Forwarder
	request   *caller.Request
	// results has room for all attempts, so that none waits for the race.
	results chan attemptResult
	cancels []context.CancelFunc
	// running is the number of attempts without a result.
	running int
}

// sendHedged sends the request to the last of the members tried and, where that
// takes unusually long and may be repeated, to a further one as well. The first
// answer counts. It returns the members tried.
func (f *Forwarder) sendHedged(ctx context.Context, account *caller.Account, r *caller.Request, tried []*sidecar.Member) (*caller.Answer, []*sidecar.Member, *carobkeel.Error) {
	first := tried[len(tried)-1]
	wait := f.config.Admission.HedgeAfter(r)
	if wait <= 0 || len(tried) >= f.config.Attempts {
		answer, refusal := f.send(ctx, first, r)
		return answer, tried, refusal
	}
	run := &race{forwarder: f, request: r, results: make(chan attemptResult, 2)}
	run.start(ctx, first)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var refused *carobkeel.Error
	for {
		select {
		case <-timer.C:
			second := f.pick(r, tried)
			if second == nil || second.IsBusy(r.Class) || !f.mayHedge(account) {
				continue
			}
			f.metrics.hedge()
			tried = append(tried, second)
			run.start(ctx, second)
		case got := <-run.results:
			run.running--
			if got.refusal == nil {
				return run.won(got), tried, nil
			}
			run.cancels[got.index]()
			refused = caller.Joined(refused, got.refusal)
			if run.running == 0 {
				return nil, tried, refused
			}
		}
	}
}

// mayHedge pays for a hedge, unless there is a flood by now.
func (f *Forwarder) mayHedge(account *caller.Account) bool {
	return !f.config.Admission.Flooded() && account.Spend()
}

// start sends the request to a member on a goroutine of its own.
func (run *race) start(ctx context.Context, m *sidecar.Member) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(run.cancels)
	run.cancels = append(run.cancels, cancel)
	run.running++
	go func() {
		answer, refusal := run.forwarder.send(ctx, m, run.request)
		run.results <- attemptResult{index: index, answer: answer, refusal: refusal}
	}()
}

// won ends the other attempts and returns the answer, whose own attempt ends
// when it is closed.
func (run *race) won(winner attemptResult) *caller.Answer {
	for index, cancel := range run.cancels {
		if index != winner.index {
			cancel()
		}
	}
	if run.running > 0 {
		go func() {
			if late := <-run.results; late.refusal == nil {
				_ = late.answer.Body.Close()
			}
		}()
	}
	winner.answer.Body = &racedBody{ReadCloser: winner.answer.Body, cancel: run.cancels[winner.index]}
	return winner.answer
}

// racedBody ends its attempt when the answer is closed.
type racedBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *racedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
