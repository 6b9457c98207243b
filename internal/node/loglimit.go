package node

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// LimitedWriter writes log lines from a goroutine of its own. It never blocks: lines beyond a
// budget a second, or beyond what may wait, are left out and counted.
type LimitedWriter struct {
	out     io.Writer
	lines   chan []byte
	budget  int64
	used    atomic.Int64
	dropped atomic.Int64
}

// waitingLines is the number of lines that may wait for a slow reader of the log.
const waitingLines = 256

// NewLimitedWriter returns a writer with a budget of lines a second. Run must be called.
func NewLimitedWriter(out io.Writer, linesPerSecond int) *LimitedWriter {
	return &LimitedWriter{out: out, lines: make(chan []byte, waitingLines), budget: int64(linesPerSecond)}
}

// Write queues one line or leaves it out. It always succeeds.
func (w *LimitedWriter) Write(line []byte) (int, error) {
	if w.used.Add(1) > w.budget {
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

// Dropped returns the number of lines that were left out since the last line that told of them.
func (w *LimitedWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those that wait.
func (w *LimitedWriter) Run(ctx context.Context) {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-second.C:
			w.used.Store(0)
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

// write loses the line on an error: there is nowhere else to tell of it.
func (w *LimitedWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
