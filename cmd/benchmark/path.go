package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	pathWorkers   = 64
	pathBodyBytes = 256
	closedTime    = 3 * time.Second
	openTime      = 6 * time.Second
	// Targets of the path against a direct call to the same upstream.
	maxLatencyRatio       = 2.5
	minRequestsCoreRatio  = 0.35
	microsecondsPerMinute = 60_000_000
)

// pathSuite measures what the path from caller to upstream adds to a direct call
// in the same run.
func pathSuite() suite {
	return suite{name: "path", run: func(ctx context.Context, o options) ([]figure, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		path, err := startLocalPath(ctx)
		if err != nil {
			return nil, err
		}
		return measurePath(ctx, path, o)
	}}
}

func measurePath(ctx context.Context, path *localPath, o options) ([]figure, error) {
	sender := newSender()
	routes := []string{path.direct + "/", path.through + "/services/" + pathService + "/"}
	var closed [2]closedResult
	for i, url := range routes {
		var err error
		if closed[i], err = closedLoop(ctx, sender, url); err != nil {
			return nil, err
		}
	}
	rate := closed[1].perSecond / 2
	var open [2]openResult
	for i, url := range routes {
		var err error
		if open[i], err = openLoop(ctx, sender, url, rate, o.seed); err != nil {
			return nil, err
		}
	}
	ratio := func(q float64) float64 {
		return float64(open[1].latency.ValueAtPercentile(q)) / float64(open[0].latency.ValueAtPercentile(q))
	}
	return []figure{
		measured("direct-requests", closed[0].perSecond, "1/s"),
		measured("through-requests", closed[1].perSecond, "1/s"),
		measured("direct-requests-a-core", closed[0].perCoreSecond, "1/s"),
		measured("through-requests-a-core", closed[1].perCoreSecond, "1/s"),
		targeted("requests-a-core-ratio", closed[1].perCoreSecond/closed[0].perCoreSecond, "x", atLeast, minRequestsCoreRatio),
		measured("open-loop-rate", rate, "1/s"),
		measured("direct-failed", float64(open[0].failed), "requests"),
		measured("through-failed", float64(open[1].failed), "requests"),
		measured("direct-p50", float64(open[0].latency.ValueAtPercentile(50)), "us"),
		measured("through-p50", float64(open[1].latency.ValueAtPercentile(50)), "us"),
		measured("direct-p99", float64(open[0].latency.ValueAtPercentile(99)), "us"),
		measured("through-p99", float64(open[1].latency.ValueAtPercentile(99)), "us"),
		targeted("p50-ratio", ratio(50), "x", atMost, maxLatencyRatio),
		targeted("p99-ratio", ratio(99), "x", atMost, maxLatencyRatio),
	}, nil
}

// sender posts one fixed body and checks that it comes back.
type sender struct {
	transport *http.Transport
	body      []byte
}

func newSender() *sender {
	return &sender{
		transport: &http.Transport{MaxIdleConnsPerHost: 4 * pathWorkers, DisableCompression: true},
		body:      bytes.Repeat([]byte("carobkeel-path-b"), pathBodyBytes/16),
	}
}

func (s *sender) send(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(s.body))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK || !bytes.Equal(got, s.body) {
		return errors.Errorf("status %d: %.200s", response.StatusCode, got)
	}
	return nil
}

// closedResult is what a closed loop reached. The processor time is that of all
// parts in this process, the load's own among them.
type closedResult struct {
	perSecond     float64
	perCoreSecond float64
}

// closedLoop sends from a fixed number of workers as fast as answers come.
func closedLoop(ctx context.Context, s *sender, url string) (closedResult, error) {
	var count atomic.Int64
	var failure atomic.Pointer[error]
	var workers sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, closedTime)
	defer cancel()
	before, started := processorTime(), time.Now()
	for range pathWorkers {
		workers.Go(func() {
			for ctx.Err() == nil {
				if err := s.send(ctx, url); err != nil && ctx.Err() == nil {
					failure.Store(&err)
					return
				}
				count.Add(1)
			}
		})
	}
	workers.Wait()
	if err := failure.Load(); err != nil {
		return closedResult{}, *err
	}
	n := float64(count.Load())
	return closedResult{
		perSecond:     n / time.Since(started).Seconds(),
		perCoreSecond: n / (processorTime() - before).Seconds(),
	}, nil
}

// openResult is what an open loop met. Latency is in microseconds from when each
// request was to be sent.
type openResult struct {
	latency *hdrhistogram.Histogram
	failed  int64
}

// openLoop sends at a rate whatever the answers do.
func openLoop(ctx context.Context, s *sender, url string, rate float64, seed uint64) (openResult, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	latencies := make(chan int64, int(rate*openTime.Seconds()*2))
	var failed, inFlight atomic.Int64
	var pending sync.WaitGroup
	next := time.Now()
	for end := next.Add(openTime); next.Before(end); {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		if inFlight.Load() >= openInFlight {
			failed.Add(1)
			continue
		}
		intended := next
		inFlight.Add(1)
		pending.Go(func() {
			defer inFlight.Add(-1)
			if err := s.send(ctx, url); err != nil {
				failed.Add(1)
				return
			}
			latencies <- time.Since(intended).Microseconds()
		})
	}
	pending.Wait()
	close(latencies)
	result := openResult{latency: hdrhistogram.New(1, microsecondsPerMinute, 3), failed: failed.Load()}
	for latency := range latencies {
		if err := result.latency.RecordValue(max(latency, 1)); err != nil {
			return openResult{}, errors.WithStack(err)
		}
	}
	return result, nil
}

// openInFlight bounds the requests of an open loop that are under way. Those
// beyond it count as failed.
const openInFlight = 512

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
