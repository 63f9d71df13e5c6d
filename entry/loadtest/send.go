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

// maxAnswerBytes bounds how many bytes beyond the expected answer are read.
const maxAnswerBytes = 64 << 10

// repeatedPair is the state that a request and its repeat share: the id of the first
// job that was reported to one of them.
type repeatedPair struct{ job atomic.Pointer[string] }

// repeatedPairOf returns the pair of a request that is a repeat or has one, else nil.
func repeatedPairOf(pairs map[uint64]*repeatedPair, request plan.Request) *repeatedPair {
	switch {
	case request.HasRepeat:
		pairs[request.Sequence] = &repeatedPair{}
	case !request.IsRepeat:
		return nil
	}
	found := pairs[request.Sequence]
	if request.IsRepeat {
		delete(pairs, request.Sequence)
	}
	return found
}

// sameJob reports whether job is the first id reported for the pair or equal to it.
func (p *repeatedPair) sameJob(job string) bool {
	return p.job.CompareAndSwap(nil, &job) || *p.job.Load() == job
}

// send sends one request and checks the answer.
func (t *Test) send(request plan.Request, pair *repeatedPair) Result {
	share := t.config.Plan.Mix[request.Share]
	ctx, cancel := context.WithTimeout(context.Background(), t.config.ResponseTimeout)
	defer cancel()
	var body []byte
	if hasBody(share.Method) {
		body = plan.Body(t.config.Plan.Seed, request.Sequence, request.BodySize)
	}
	a, err := t.roundTrip(ctx, share, request, body)
	var result Result
	if err != nil {
		result = Result{Request: request, Share: share}
		result.Outcome, result.Reason = classifyError(err)
	} else {
		result = checkResponse(share, request, body, a)
	}
	if result.Job != "" && pair != nil && !pair.sameJob(result.Job) {
		result.RanTwice, result.Reason = true, ReasonJobsDiffer
	}
	result.Name = t.config.Plan.RequestName(request)
	result.Latency = time.Since(t.start) - request.At
	return result
}

func hasBody(method string) bool { return method != http.MethodGet && method != http.MethodHead }

// roundTrip sends the request and reads the complete response.
func (t *Test) roundTrip(ctx context.Context, share plan.Share, request plan.Request, body []byte) (answer, error) {
	method := share.Method
	if share.Class == carobkeel.ClassBatch {
		method = http.MethodPost
	}
	target := t.config.Targets[request.Target] + share.Path()
	message, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	message.Header.Set(HeaderRequestName, t.config.Plan.RequestName(request))
	if request.Key != "" {
		// With the canonical spelling, the transport would treat the request as
		// idempotent and retry it on its own, which would hide a lost answer.
		message.Header["idempotency-key"] = []string{request.Key}
	}
	if t.config.RequestTimeout > 0 {
		message.Header.Set(headerTimeout, t.config.RequestTimeout.String())
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

// classifyError distinguishes a request that was never sent from one that was lost.
func classifyError(err error) (Outcome, Reason) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Unreachable, ReasonNoConnection
	}
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return Lost, ReasonTimeout
	}
	return Lost, ReasonConnectionLost
}
