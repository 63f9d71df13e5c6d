package claims_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/entry/server"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// effect is the effect of a fault on a frame, a link, a process or the store.
type effect uint8

const (
	effectNone effect = iota
	effectReset
	effectSilent
	effectStall
	effectDelay
	effectDuplicate
	effectTruncate
	effectCorrupt
	effectReorder
	effectKillSidecar
	effectReplaceSidecar
	effectKillEntry
	effectStoreDown
)

var effectNames = map[effect]string{
	effectNone: "none", effectReset: "reset", effectSilent: "silent", effectStall: "stall", effectDelay: "delay",
	effectDuplicate: "duplicate", effectTruncate: "truncate", effectCorrupt: "corrupt", effectReorder: "reorder",
	effectKillSidecar: "kill-sidecar", effectReplaceSidecar: "replace-sidecar", effectKillEntry: "kill-entry",
	effectStoreDown: "store-down",
}

// step is the point in the course of a request at which a fault is injected.
type step struct {
	name string
	// direction and frameType select a frame. If work is set, it selects the
	// upstream's start or finish of the request instead.
	direction direction
	frameType frame.Type
	work      string
}

var steps = []step{
	{name: "hello-to-sidecar", direction: toSidecar, frameType: wire.TypeHello},
	{name: "hello-to-entry", direction: toEntry, frameType: wire.TypeHello},
	{name: "open", direction: toSidecar, frameType: wire.TypeOpen},
	{name: "body", direction: toSidecar, frameType: wire.TypeBody},
	{name: "body-end", direction: toSidecar, frameType: wire.TypeBodyEnd},
	{name: "started", work: "start"},
	{name: "finished", work: "finish"},
	{name: "answer", direction: toEntry, frameType: wire.TypeAnswer},
	{name: "answer-body", direction: toEntry, frameType: wire.TypeAnswerBody},
	{name: "credit", direction: toSidecar, frameType: wire.TypeCredit},
	{name: "answer-end", direction: toEntry, frameType: wire.TypeAnswerEnd},
}

// frameFault is a fault that is injected once, at one step.
type frameFault struct {
	step   step
	effect effect
	done   bool
	// process applies the effects on processes and the store.
	process func(effect)
}

func (f *frameFault) isFrameEffect() bool { return f.effect <= effectReorder }

// effect returns the effect to apply to a frame. It applies effects on processes and
// the store itself.
func (w *cluster) effect(d direction, kind frame.Type) effect {
	w.mu.Lock()
	fault := w.fault
	hit := fault != nil && !fault.done && fault.step.work == "" && fault.step.direction == d && fault.step.frameType == kind
	if hit {
		fault.done = true
	}
	w.mu.Unlock()
	switch {
	case !hit:
		return effectNone
	case fault.isFrameEffect():
		return fault.effect
	}
	fault.process(fault.effect)
	return effectNone
}

// injectAtWork injects the fault if its step is the given one, the upstream's start
// or finish.
func (w *cluster) injectAtWork(point string) {
	w.mu.Lock()
	fault := w.fault
	hit := fault != nil && !fault.done && fault.step.work == point
	if hit {
		fault.done = true
	}
	relays := w.relays
	w.mu.Unlock()
	if !hit {
		return
	}
	switch fault.effect {
	case effectReset:
		for _, r := range relays {
			r.reset()
		}
	case effectSilent, effectStall:
		for _, r := range relays {
			r.apply(fault.effect)
		}
	default:
		fault.process(fault.effect)
	}
}

// kind describes a request.
type kind struct {
	idempotent, keyed bool
	size              int // of the bodies of request and answer, in bytes
}

func (k kind) String() string {
	return fmt.Sprintf("idempotent=%v,keyed=%v,size=%d", k.idempotent, k.keyed, k.size)
}

const (
	small = 16
	large = 700 << 10
)

func kinds() []kind {
	var all []kind
	for _, size := range []int{small, large} {
		for _, idempotent := range []bool{false, true} {
			for _, keyed := range []bool{false, true} {
				all = append(all, kind{idempotent: idempotent, keyed: keyed, size: size})
			}
		}
	}
	return all
}

// TestFaultMatrix compares the results that callers get with the upstreams' record
// of runs, for every fault at every step and every kind of request.
func TestFaultMatrix(t *testing.T) {
	for _, k := range kinds() {
		for _, s := range steps {
			for e := effectNone; e <= effectStoreDown; e++ {
				name := fmt.Sprintf("%s/%s/%s", k, s.name, effectNames[e])
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					inSynctest(t, func(t *testing.T, ctx context.Context) { runFault(t, ctx, k, s, e) })
				})
			}
		}
	}
}

func runFault(t *testing.T, ctx context.Context, k kind, s step, e effect) {
	w := newCluster(t, ctx, k.size)
	w.startSidecar("s2")
	first, second := w.startEntry(1), w.startEntry(2)
	callerCtx, cancelCaller := context.WithCancel(ctx)
	w.fault = &frameFault{step: s, effect: e, process: func(e effect) {
		switch e {
		case effectKillSidecar:
			go w.killSidecar(w.busySidecar())
		case effectReplaceSidecar:
			go w.replaceSidecar(w.busySidecar())
		case effectKillEntry:
			first.cancel()
			cancelCaller()
		case effectStoreDown:
			w.table.setDown(true)
		}
	}}
	w.record.onStart = func() { w.injectAtWork("start") }
	w.record.onFinish = func() { w.injectAtWork("finish") }

	content := strings.Repeat("x", k.size)
	key := ""
	if k.keyed {
		key = "key-1"
	}
	results := []result{first.send(callerCtx, k.idempotent, key, content)}
	if k.keyed {
		results = append(results, second.send(ctx, k.idempotent, key, content))
		w.table.setDown(false)
		<-time.After(30 * time.Second)
		results = append(results, second.send(ctx, k.idempotent, key, content))
	}
	// Lets requests in flight finish before the record is read.
	<-time.After(5 * time.Minute)
	NewWithT(t).Expect(w.fault.done).To(Equal(s.appliesTo(k)), "the fault must be injected exactly if the request passes its step")
	checkResults(t, w, k, e, content, results)
}

// appliesTo reports whether a request of the kind passes the step. Small bodies are
// part of the first frame, so only large ones have frames of their own.
func (s step) appliesTo(k kind) bool {
	switch s.frameType {
	case wire.TypeBody, wire.TypeBodyEnd, wire.TypeAnswerBody, wire.TypeAnswerEnd:
		return k.size == large
	case wire.TypeCredit:
		return k.size == large
	}
	return true
}

// busySidecar returns the address of the running sidecar that was dialled last, or
// s1 if that one has been killed.
func (w *cluster) busySidecar() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.sidecars[w.lastDialed]; ok {
		return w.lastDialed
	}
	return "s1"
}

func checkResults(t *testing.T, w *cluster, k kind, e effect, content string, results []result) {
	t.Helper()
	g := NewWithT(t)
	runs := w.record.count(content)
	summary := fmt.Sprintf("results %v, ran %d times", results, runs)
	if !k.idempotent || k.keyed {
		g.Expect(runs).To(BeNumerically("<=", 1), summary)
	}
	answered := false
	for _, o := range results {
		if o.err == nil {
			answered = true
			g.Expect(o.body == content).To(BeTrue(), "the body is not the answer to the request: "+summary)
			continue
		}
		// With a key, a retry may run the request after an earlier attempt
		// reported that it had not run. Without a key it must never run after
		// such a report.
		if o.err.Ran == carobkeel.RanNo && !k.keyed {
			g.Expect(runs).To(BeZero(), summary)
		}
		if o.err.Ran == carobkeel.RanYes {
			g.Expect(runs).To(BeNumerically(">=", 1), summary)
		}
	}
	if answered {
		g.Expect(runs).To(BeNumerically(">=", 1), summary)
	}
	if e == effectNone {
		g.Expect(results[0].err).NotTo(HaveOccurred(), summary)
	}
	if k.keyed && runs == 0 {
		for _, o := range results {
			g.Expect(o.err.Ran).NotTo(Equal(carobkeel.RanYes), summary)
		}
	}
}

// TestTimeout checks that requests which time out at the upstream report an
// unknown result, and those which time out while waiting for a slot report that they
// have not run.
func TestTimeout(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		const waiting = 3
		g := NewWithT(t)
		w := newCluster(t, ctx, small)
		slots := server.DefaultConfig().Slots
		short, cancel := context.WithTimeout(ctx, workTime/2)
		defer cancel()
		results := make([]result, slots+waiting)
		content := func(i int) string { return fmt.Sprintf("request %d", i) }
		var sending sync.WaitGroup
		for i := range results {
			e := w.startEntry(carobkeel.Incarnation(i + 1))
			sending.Go(func() { results[i] = e.send(short, false, "", content(i)) })
		}
		sending.Wait()
		<-time.After(time.Minute)
		notRun := 0
		for i, o := range results {
			ran := w.record.count(content(i))
			g.Expect(o.err).To(HaveOccurred())
			if o.err.Ran == carobkeel.RanNo {
				notRun++
				g.Expect(ran).To(BeZero(), "%s", o)
				continue
			}
			g.Expect(o.err.Code).To(Equal(carobkeel.CodeTimeoutUnknown))
			g.Expect(ran).To(Equal(1), "%s", o)
		}
		g.Expect(notRun).To(Equal(waiting))
	})
}

// TestRepeatGetsAnAnswerOfUnknownLength retries a request with a key whose upstream
// does not declare the length of its answer.
func TestRepeatGetsAnAnswerOfUnknownLength(t *testing.T) {
	for _, size := range []int{small, caller.MaxStoredAnswer, 2 * caller.MaxStoredAnswer} {
		inSynctest(t, func(t *testing.T, ctx context.Context) {
			g := NewWithT(t)
			w := newCluster(t, ctx, size)
			w.record.unknownLength = true
			content := strings.Repeat("z", size)
			for entry := range 2 {
				got := w.startEntry(carobkeel.Incarnation(entry+1)).send(ctx, false, "key", content)
				<-time.After(time.Second)
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.body == content).To(BeTrue())
			}
			g.Expect(w.record.count(content)).To(Equal(1))
		})
	}
}

// TestRepeatGetsAnAnswerTooLongForItsClaim retries a request whose answer is too long
// to be stored with its claim and is kept by its sidecar only.
func TestRepeatGetsAnAnswerTooLongForItsClaim(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		g := NewWithT(t)
		w := newCluster(t, ctx, 2*caller.MaxStoredAnswer)
		content := strings.Repeat("y", 2*caller.MaxStoredAnswer)
		for entry := range 3 {
			got := w.startEntry(carobkeel.Incarnation(entry+1)).send(ctx, false, "key", content)
			<-time.After(time.Second)
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.body == content).To(BeTrue())
		}
		g.Expect(w.record.count(content)).To(Equal(1))
	})
}

// TestLostAnswersOfTheTable loses the table's answer to one write of a request with a
// key, after the write took effect, and retries the request through another entry.
func TestLostAnswersOfTheTable(t *testing.T) {
	const claimWrite, endWrite = 1, 2
	for _, write := range []int{claimWrite, endWrite} {
		t.Run(fmt.Sprintf("write %d", write), func(t *testing.T) {
			inSynctest(t, func(t *testing.T, ctx context.Context) {
				g := NewWithT(t)
				w := newCluster(t, ctx, small)
				w.table.loseAnswer = write
				content := strings.Repeat("l", small)
				first := w.startEntry(1).send(ctx, false, "key", content)
				<-time.After(time.Minute)
				if write == claimWrite {
					g.Expect(first.err).To(HaveOccurred())
					g.Expect(first.err.Ran).To(Equal(carobkeel.RanNo))
					g.Expect(w.record.count(content)).To(BeZero(), "the refusal reported that the request has not run")
				}
				second := w.startEntry(2).send(ctx, false, "key", content)
				g.Expect(second.err).NotTo(HaveOccurred())
				g.Expect(second.body == content).To(BeTrue())
				g.Expect(w.record.count(content)).To(Equal(1))
			})
		})
	}
}

// TestSlowReaderDoesNotDelayOtherRequests leaves a large answer unread while a
// small request runs on the same link. The small request must not be delayed.
func TestSlowReaderDoesNotDelayOtherRequests(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		g := NewWithT(t)
		w := newCluster(t, ctx, large)
		e := w.startEntry(1)
		slow, err := e.forward(ctx, true, "", "slow")
		g.Expect(err).NotTo(HaveOccurred())
		<-time.After(time.Second) // the window is full and the sidecar waits
		w.record.size = small
		started := time.Now()
		g.Expect(e.send(ctx, true, "", strings.Repeat("q", small)).err).NotTo(HaveOccurred())
		g.Expect(time.Since(started)).To(Equal(workTime), "the small request was delayed")
		body, err := io.ReadAll(slow.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(HaveLen(large))
	})
}
