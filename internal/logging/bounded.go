package logging

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/mailbox"
)

const (
	// maxBufferedLines is the number of lines buffered for a slow output.
	maxBufferedLines = 4096
	// batchInterval is how long lines are collected before they are written
	// together, since each write costs a system call.
	batchInterval = 10 * time.Millisecond
	// maxWriteBytes bounds a write of several lines. A pipe takes a write of up to
	// PIPE_BUF bytes as a whole, and a reader may cut a larger one off.
	maxWriteBytes = 4096
)

// boundedOutput forwards lines to a writer without blocking the caller. Lines
// that exceed the buffer are dropped, and their number is logged.
type boundedOutput struct {
	out      io.Writer
	lines    *mailbox.Mailbox[[]byte]
	buffered atomic.Int64
	dropped  atomic.Uint64
	// batch collects the lines of one write, and logger writes into it.
	batch  bytes.Buffer
	logger *log.Logger
	cancel context.CancelFunc
	done   chan struct{}
}

func newBoundedOutput(c Config, out io.Writer) *boundedOutput {
	ctx, cancel := context.WithCancel(context.Background())
	b := &boundedOutput{out: out, lines: mailbox.New[[]byte](), cancel: cancel, done: make(chan struct{})}
	b.logger = NewFactory(c, &b.batch).For("log")
	go b.run(ctx)
	return b
}

// Write implements io.Writer. Each call must pass one line.
func (b *boundedOutput) Write(line []byte) (int, error) {
	if b.buffered.Add(1) > maxBufferedLines {
		b.buffered.Add(-1)
		b.dropped.Add(1)
		return len(line), nil
	}
	b.lines.Push(bytes.Clone(line))
	return len(line), nil
}

// run writes lines until ctx ends, and then the remaining ones.
func (b *boundedOutput) run(ctx context.Context) {
	defer close(b.done)
	var lines [][]byte
	for ctx.Err() == nil {
		var err error
		if lines, err = b.lines.Take(ctx, lines[:0]); err == nil {
			b.write(lines)
			_ = clock.Sleep(ctx, batchInterval) // returns early when ctx ends, which the loop condition checks
		}
	}
	b.write(b.lines.TryTake(lines[:0]))
}

// write writes lines in as few calls as maxWriteBytes allows.
func (b *boundedOutput) write(lines [][]byte) {
	for _, line := range lines {
		if b.batch.Len()+len(line) > maxWriteBytes {
			b.flush()
		}
		b.batch.Write(line)
	}
	if dropped := b.dropped.Swap(0); dropped > 0 {
		b.flush()
		b.logger.Warn().Uint64("lines", dropped).Msg("lines dropped")
	}
	b.flush()
	b.buffered.Add(-int64(len(lines)))
}

// flush writes the collected lines. A failed write is ignored, as there is nowhere to report it.
func (b *boundedOutput) flush() {
	if b.batch.Len() == 0 {
		return
	}
	_, _ = b.out.Write(b.batch.Bytes())
	b.batch.Reset()
}

// Close writes the remaining lines.
func (b *boundedOutput) Close() error {
	b.cancel()
	<-b.done
	return nil
}
