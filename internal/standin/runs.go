package standin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// RunState is what became of a run at the back end.
type RunState string

// The states of runs.
const (
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
	RunCrashed   RunState = "crashed"
)

// Run is one request that a back end truly started.
type Run struct {
	// Sequence numbers the runs of the stand-in from 1.
	Sequence uint64
	// Boot numbers the starts of the back end from 1.
	Boot    uint64
	Request ident.Request
	// Key is the Idempotency-Key; "" if none was sent.
	Key string
	// Operation is the method and path.
	Operation string
	// BodyDigest is the xxhash of the body.
	BodyDigest uint64
	State      RunState
	Started    time.Time
	Ended      time.Time
}

// record is the list of runs of one stand-in. It is safe for concurrent use.
type record struct {
	mu   sync.Mutex
	runs []Run
}

// start adds a run and returns its index.
func (r *record) start(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Sequence = uint64(len(r.runs)) + 1
	run.State = RunRunning
	run.Started = time.Now()
	r.runs = append(r.runs, run)
	return len(r.runs) - 1
}

// end sets the final state of a run.
func (r *record) end(index int, state RunState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[index].State = state
	r.runs[index].Ended = time.Now()
}

// Runs returns a copy of all runs in the order of their start.
func (r *record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// RunsOfKey counts the runs with the Idempotency-Key, or with the body digest if the key is "".
func RunsOfKey(runs []Run, key string, body []byte) int {
	digest := xxhash.Sum64(body)
	count := 0
	for _, run := range runs {
		if run.Key == key && (key != "" || run.BodyDigest == digest) {
			count++
		}
	}
	return count
}

// RunsOfRequest counts the runs of a request id.
func RunsOfRequest(runs []Run, id ident.Request) int {
	count := 0
	for _, run := range runs {
		if run.Request == id {
			count++
		}
	}
	return count
}
