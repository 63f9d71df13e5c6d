package main

import (
	"context"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/pkg/errors"
)

const (
	queueRequests = 20_000
	queueCallers  = 10
	queueBody     = 256
	queueTimeout  = 30 * time.Second

	topicQueueRequests = "requests"
	topicQueueReplies  = "replies"
)

// queueSuite measures what it takes to hand a request over by a watermill queue
// and wait for the reply, next to a direct call of the same function.
func queueSuite() suite {
	return suite{name: "queue", run: runQueue}
}

func runQueue(ctx context.Context, _ options) ([]figure, error) {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	queue, err := newRequestQueue(ctx)
	if err != nil {
		return nil, err
	}
	defer queue.close()
	var figures []figure
	for _, callers := range []int{1, queueCallers} {
		suffix := "-" + strconv.Itoa(callers)
		for _, way := range []struct {
			name string
			call handOver
		}{{"direct", callDirectly}, {"queue", queue.call}} {
			run, err := measureHandOver(ctx, callers, way.call)
			if err != nil {
				return figures, errors.Wrap(err, way.name)
			}
			figures = append(figures, run.figures(way.name, suffix)...)
		}
	}
	return figures, nil
}

// handOver gives a request to the function that answers it, and returns the
// answer.
type handOver func(ctx context.Context, id string, body []byte) ([]byte, error)

// answerRequest is what is called in both ways.
//
//go:noinline
func answerRequest(body []byte) []byte { return body }

func callDirectly(_ context.Context, _ string, body []byte) ([]byte, error) {
	return answerRequest(body), nil
}

// requestQueue hands requests over by an in-process queue, with a reply for
// each on a second topic.
type requestQueue struct {
	pubSub  *gochannel.GoChannel
	waiting sync.Map // of message id to chan []byte
}

func newRequestQueue(ctx context.Context) (*requestQueue, error) {
	q := &requestQueue{pubSub: gochannel.NewGoChannel(
		gochannel.Config{OutputChannelBuffer: queueCallers}, watermill.NopLogger{})}
	requests, err := q.pubSub.Subscribe(ctx, topicQueueRequests)
	if err != nil {
		return nil, err
	}
	replies, err := q.pubSub.Subscribe(ctx, topicQueueReplies)
	if err != nil {
		return nil, err
	}
	go q.answer(requests)
	go q.deliver(replies)
	return q, nil
}

func (q *requestQueue) answer(requests <-chan *message.Message) {
	for m := range requests {
		reply := message.NewMessage(m.UUID, answerRequest(m.Payload))
		m.Ack()
		// A publication fails only on a closed queue, which ends the loop.
		_ = q.pubSub.Publish(topicQueueReplies, reply)
	}
}

func (q *requestQueue) deliver(replies <-chan *message.Message) {
	for m := range replies {
		if waiter, ok := q.waiting.LoadAndDelete(m.UUID); ok {
			waiter.(chan []byte) <- m.Payload
		}
		m.Ack()
	}
}

func (q *requestQueue) call(ctx context.Context, id string, body []byte) ([]byte, error) {
	answer := make(chan []byte, 1)
	q.waiting.Store(id, answer)
	if err := q.pubSub.Publish(topicQueueRequests, message.NewMessage(id, body)); err != nil {
		return nil, err
	}
	select {
	case payload := <-answer:
		return payload, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (q *requestQueue) close() { _ = q.pubSub.Close() }

// handOverRun is what was measured of one way.
type handOverRun struct {
	latencies   []time.Duration
	elapsed     time.Duration
	allocations uint64
}

func measureHandOver(ctx context.Context, callers int, call handOver) (handOverRun, error) {
	run := handOverRun{latencies: make([]time.Duration, queueRequests)}
	share := queueRequests / callers
	failures := make([]error, callers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			failures[i] = handOverMany(ctx, strconv.Itoa(i)+"-", run.latencies[i*share:(i+1)*share], call)
		})
	}
	group.Wait()
	run.elapsed = time.Since(start)
	runtime.ReadMemStats(&after)
	run.allocations = after.Mallocs - before.Mallocs
	slices.Sort(run.latencies)
	for _, err := range failures {
		if err != nil {
			return run, err
		}
	}
	return run, nil
}

// handOverMany hands a request over for each place of latencies, one after the
// other.
func handOverMany(ctx context.Context, prefix string, latencies []time.Duration, call handOver) error {
	body := make([]byte, queueBody)
	for i := range latencies {
		id := prefix + strconv.Itoa(i)
		start := time.Now()
		answer, err := call(ctx, id, body)
		if err != nil {
			return err
		}
		if len(answer) != len(body) {
			return errors.Errorf("answer of %d bytes to a body of %d", len(answer), len(body))
		}
		latencies[i] = time.Since(start)
	}
	return nil
}

func (r handOverRun) figures(way, suffix string) []figure {
	microseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	count := len(r.latencies)
	return []figure{
		measured(way+"-p50"+suffix, microseconds(r.latencies[count/2]), "us"),
		measured(way+"-p99"+suffix, microseconds(r.latencies[count*99/100]), "us"),
		measured(way+"-rate"+suffix, float64(count)/r.elapsed.Seconds(), "1/s"),
		measured(way+"-allocations"+suffix, float64(r.allocations)/float64(count), "1"),
	}
}
