package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
)

// linksSuite measures what one end of an idle link takes.
func linksSuite() suite {
	return suite{name: "links", run: func(ctx context.Context, _ options) ([]figure, error) {
		ping, err := new(frame.Writer).Append(nil, frame.Frame{Type: frame.TypePing})
		if err != nil {
			return nil, err
		}
		figures := []figure{measured("ping-size", float64(len(ping)), "bytes")}
		for _, count := range []int{10, 100, 500} {
			kb, err := linkMemory(ctx, count)
			if err != nil {
				return figures, err
			}
			figures = append(figures, measured(fmt.Sprintf("memory-%d-links", count), kb, "KB"))
		}
		return figures, nil
	}}
}

// linkMemory returns the KB of heap and stacks that the given number of link
// ends take. Both ends of each link are in this process; half is counted.
func linkMemory(ctx context.Context, count int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := memoryBytes()
	var ends []*link.Link
	for range count {
		pair, err := connect(listener)
		if err != nil {
			return 0, err
		}
		for _, conn := range pair {
			end := link.New(conn, link.DefaultConfig())
			ends = append(ends, end)
			go func() { _ = end.Run(ctx, func(frame.Frame) error { return nil }) }()
		}
	}
	// A few heartbeats give each link the buffers that it keeps.
	timer := time.NewTimer(heartbeatsToMeasure * link.DefaultConfig().HeartbeatInterval)
	<-timer.C
	kb := float64(memoryBytes()-before) / 1024 / 2
	for _, end := range ends {
		end.Close()
	}
	return kb, nil
}

const heartbeatsToMeasure = 2

// connect returns both ends of a new connection.
func connect(listener net.Listener) ([2]net.Conn, error) {
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return [2]net.Conn{}, errors.Wrap(err, "dial")
	}
	accepted, err := listener.Accept()
	return [2]net.Conn{dialed, accepted}, errors.Wrap(err, "accept")
}

// memoryBytes returns the size of the live heap and of all stacks.
func memoryBytes() int64 {
	// The second collection frees what finalizers and pools held in the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
