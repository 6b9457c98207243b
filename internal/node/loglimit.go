package node

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// LimitedWriter writes log lines in the background. Write never blocks: lines that exceed the
// budget per second or the queue are dropped and counted.
type LimitedWriter struct {
	out   io.Writer
	lines chan []byte
	// budget is the maximum number of lines per second.
	budget         int64
	usedThisSecond atomic.Int64
	dropped        atomic.Int64
}

// maxQueuedLines is the maximum number of lines queued for a slow reader of the log.
const maxQueuedLines = 256

// NewLimitedWriter returns a writer with a budget in lines per second. Run must be called to write
// the queued lines.
func NewLimitedWriter(out io.Writer, linesPerSecond int) *LimitedWriter {
	return &LimitedWriter{out: out, lines: make(chan []byte, maxQueuedLines), budget: int64(linesPerSecond)}
}

// Write queues or drops one line. It always succeeds.
func (w *LimitedWriter) Write(line []byte) (int, error) {
	if w.usedThisSecond.Add(1) > w.budget {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
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
		case line := <-w.lines:
			w.write(line)
		case <-second.C:
			w.usedThisSecond.Store(0)
			if dropped := w.dropped.Swap(0); dropped > 0 {
				w.write(fmt.Appendf(nil, "level=warning msg=log-lines-left-out count=%d budget_per_second=%d\n", dropped, w.budget))
			}
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

func (w *LimitedWriter) drain() {
	for {
		select {
		case line := <-w.lines:
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
