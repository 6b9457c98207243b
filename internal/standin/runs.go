package standin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// RunState is the state of a run at a backend server.
type RunState string

// The states of runs.
const (
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
	RunCrashed   RunState = "crashed"
)

// Run is one request that a backend server has started to run.
type Run struct {
	// Sequence is the number of the run at its stand-in, from 1.
	Sequence uint64
	// Boot is the number of the backend server's start, from 1.
	Boot    uint64
	Request ident.Request
	// Key is the Idempotency-Key; "" if none was sent.
	Key string
	// Operation is the method and the path, separated by a space; plain services include
	// the query.
	Operation string
	// BodyDigest is the xxhash64 of the body.
	BodyDigest uint64
	State      RunState
	Started    time.Time
	Ended      time.Time
}

// runLog records the runs of one stand-in. It is safe for concurrent use.
type runLog struct {
	mu   sync.Mutex
	runs []Run
}

// start adds a run and returns its index.
func (l *runLog) start(run Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Sequence = uint64(len(l.runs)) + 1
	run.State = RunRunning
	run.Started = time.Now()
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

// end sets the final state of a run.
func (l *runLog) end(index int, state RunState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].State = state
	l.runs[index].Ended = time.Now()
}

// Runs returns a copy of all runs in the order of their start.
func (l *runLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// CountRunsOfKey counts the runs with the Idempotency-Key. With the key "" it counts the runs
// without key that have the same body.
func CountRunsOfKey(runs []Run, key string, body []byte) int {
	digest := xxhash.Sum64(body)
	count := 0
	for _, run := range runs {
		if run.Key == key && (key != "" || run.BodyDigest == digest) {
			count++
		}
	}
	return count
}

// CountRunsOfRequest counts the runs with a request ID.
func CountRunsOfRequest(runs []Run, id ident.Request) int {
	count := 0
	for _, run := range runs {
		if run.Request == id {
			count++
		}
	}
	return count
}
