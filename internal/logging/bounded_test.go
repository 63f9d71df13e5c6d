package logging_test

import (
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/logging"
)

// gatedWriter blocks writes until its gate channel is closed.
type gatedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func TestBoundedLoggerNeverBlocksAndCountsDroppedLines(t *testing.T) {
	g := NewWithT(t)
	out := &gatedWriter{gate: make(chan struct{})}
	f := logging.NewBoundedFactory(logging.Config{Level: "info", JSON: true}, out)
	logger := f.For("part")
	const buffered, lines = 4096, 3 * 4096
	for n := range lines {
		logger.Info().Int("n", n).Msg("line") // must return although the writer is blocked
	}
	close(out.gate)
	g.Expect(f.Close()).To(Succeed())
	written := strings.Count(out.text.String(), `"message":"line"`)
	g.Expect(written).To(BeNumerically("<=", 2*buffered))
	g.Expect(out.text.String()).To(MatchRegexp(`"level":"warn","part":"log","message":"lines dropped","lines":\d+}`))
}

func TestCloseWritesBufferedLines(t *testing.T) {
	g := NewWithT(t)
	out := &gatedWriter{gate: make(chan struct{})}
	close(out.gate)
	f := logging.NewBoundedFactory(logging.Config{Level: "info", JSON: true}, out)
	f.For("part").Info().Msg("first")
	f.For("part").Info().Msg("last")
	g.Expect(f.Close()).To(Succeed())
	g.Expect(out.text.String()).To(MatchRegexp(`(?s)first.*last`))
}

// sizeWriter records the size of the largest write, and all text.
type sizeWriter struct {
	largest int
	text    strings.Builder
}

func (w *sizeWriter) Write(p []byte) (int, error) {
	w.largest = max(w.largest, len(p))
	return w.text.Write(p)
}

func TestLinesOfABurstAreNotWrittenInOneLargeCall(t *testing.T) {
	g := NewWithT(t)
	out := &sizeWriter{}
	f := logging.NewBoundedFactory(logging.Config{Level: "info", JSON: true}, out)
	logger := f.For("part")
	const lines = 500
	for n := range lines {
		logger.Info().Int("n", n).Msg("line")
	}
	g.Expect(f.Close()).To(Succeed())
	g.Expect(out.largest).To(BeNumerically("<=", 4096))
	g.Expect(strings.Count(out.text.String(), "\n")).To(Equal(lines))
}
