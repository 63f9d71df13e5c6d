package loadtest

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
)

// maxAnswerBytes bounds what is read beyond an expected answer.
const maxAnswerBytes = 64 << 10

// pair is what the first and the repeated request of one key share.
type pair struct{ job atomic.Pointer[string] }

// pairOf returns the pair of a request that is or was sent twice, else nil.
func pairOf(pairs map[uint64]*pair, request plan.Request) *pair {
	switch {
	case request.Repeated:
		pairs[request.Sequence] = &pair{}
	case !request.Repeat:
		return nil
	}
	found := pairs[request.Sequence]
	if request.Repeat {
		delete(pairs, request.Sequence)
	}
	return found
}

// sameJob reports whether both requests of the pair got the same job.
func (p *pair) sameJob(job string) bool {
	return p.job.CompareAndSwap(nil, &job) || *p.job.Load() == job
}

// send sends one request and judges its answer.
func (t *Test) send(request plan.Request, jobs *pair) Result {
	share := t.config.Plan.Mix[request.Share]
	ctx, cancel := context.WithTimeout(context.Background(), t.config.GiveUp)
	defer cancel()
	var body []byte
	if hasBody(share.Method) {
		body = plan.Body(t.config.Plan.Seed, request.Sequence, request.BodySize)
	}
	a, err := t.exchange(ctx, share, request, body)
	var result Result
	if err != nil {
		result = Result{Request: request, Share: share}
		result.Outcome, result.Reason = judgeError(err)
	} else {
		result = judge(share, request, body, a)
	}
	if result.Job != "" && jobs != nil && !jobs.sameJob(result.Job) {
		result.Doubled, result.Reason = true, ReasonJobsDiffer
	}
	result.Name = t.config.Plan.RequestName(request)
	result.Latency = time.Since(t.start) - request.At
	return result
}

func hasBody(method string) bool { return method != http.MethodGet && method != http.MethodHead }

// exchange sends the request and reads the whole answer.
func (t *Test) exchange(ctx context.Context, share plan.Share, request plan.Request, body []byte) (answer, error) {
	method := share.Method
	if share.Class == carobkeel.ClassBatch {
		method = http.MethodPost
	}
	target := t.config.Targets[request.Target] + share.Path()
	message, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	message.Header.Set(HeaderRequest, t.config.Plan.RequestName(request))
	if request.Key != "" {
		// The canonical spelling would let the transport repeat the request by
		// itself, which would hide a lost answer.
		message.Header["idempotency-key"] = []string{request.Key}
	}
	if t.config.Timeout > 0 {
		message.Header.Set(headerTimeout, t.config.Timeout.String())
	}
	response, err := t.transports[request.Target].RoundTrip(message)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	defer response.Body.Close()
	limit := int64(max(len(body), share.Size) + maxAnswerBytes)
	content, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	return answer{status: response.StatusCode, header: response.Header, body: content}, nil
}

// judgeError tells a request that was never sent from one that was lost.
func judgeError(err error) (Outcome, Reason) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Unreachable, ReasonConnectionRefused
	}
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return Lost, ReasonTimeout
	}
	return Lost, ReasonConnectionLost
}
