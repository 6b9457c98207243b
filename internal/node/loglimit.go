package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

// LimitedWriter writes log lines in the background. Write never blocks: lines that exceed the
// budget per second or the queue are dropped and counted. Warnings and errors have a budget and a queue
// of their own, so that routine lines never displace them.
type LimitedWriter struct {
	out              io.Writer
	routine, warning lineQueue
	dropped          atomic.Int64
}

// lineQueue has the lines of one kind that are not written yet.
type lineQueue struct {
	lines chan []byte
	// budget is the maximum number of lines per second.
	budget         int64
	usedThisSecond atomic.Int64
}

// add queues a copy of the line. It returns false if the budget is used up or the queue is full.
func (q *lineQueue) add(line []byte) bool {
	if q.usedThisSecond.Add(1) > q.budget {
		return false
	}
	select {
	case q.lines <- bytes.Clone(line):
		return true
	default:
		return false
	}
}

// maxQueuedLines is the maximum number of lines queued for a slow reader of the log.
const maxQueuedLines = 256

// warningLevels are the levels of warnings and errors as logrus.TextFormatter writes them.
var warningLevels = [][]byte{[]byte(" level=warning "), []byte(" level=error "), []byte(" level=fatal "), []byte(" level=panic ")}

// levelPosition is the length of the start of a line that has the time and the level.
const levelPosition = 64

// NewLimitedWriter returns a writer with a budget in lines per second for routine lines, and the same for
// warnings and errors. Run must be called to write the queued lines.
func NewLimitedWriter(out io.Writer, linesPerSecond int) *LimitedWriter {
	queue := func() lineQueue {
		return lineQueue{lines: make(chan []byte, maxQueuedLines), budget: int64(linesPerSecond)}
	}
	return &LimitedWriter{out: out, routine: queue(), warning: queue()}
}

// Write queues or drops one line. It always succeeds.
func (w *LimitedWriter) Write(line []byte) (int, error) {
	queue := &w.routine
	start := line[:min(len(line), levelPosition)]
	if slices.ContainsFunc(warningLevels, func(level []byte) bool { return bytes.Contains(start, level) }) {
		queue = &w.warning
	}
	if !queue.add(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last log line that reported them.
func (w *LimitedWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until the context ends, and then those still in the queue.
func (w *LimitedWriter) Run(ctx context.Context) {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case line := <-w.warning.lines:
			w.write(line)
		case line := <-w.routine.lines:
			w.write(line)
		case <-second.C:
			w.routine.usedThisSecond.Store(0)
			w.warning.usedThisSecond.Store(0)
			w.reportDropped()
		case <-ctx.Done():
			w.drain()
			w.reportDropped()
			return
		}
	}
}

// reportDropped writes how many lines were dropped since the last report.
func (w *LimitedWriter) reportDropped() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		w.write(fmt.Appendf(nil, "level=warning msg=log-lines-left-out count=%d budget_per_second=%d\n", dropped, w.routine.budget))
	}
}

func (w *LimitedWriter) drain() {
	for {
		select {
		case line := <-w.warning.lines:
			w.write(line)
		case line := <-w.routine.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write drops the line on an error, since there is no other place to report the error.
func (w *LimitedWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
