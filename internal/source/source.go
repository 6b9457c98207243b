// Package source follows the platform's store: the configuration in force and the list of backend servers.
package source

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// ErrHistoryLost means that the store no longer has the changes after a revision: all must be read again.
var ErrHistoryLost = errors.New("the store's history no longer reaches back to the revision")

// State is all that the store holds for a process.
type State struct {
	// Table is the configuration in force; nil if there is none yet or the reader does not ask for it.
	Table *routing.Table
	// Backends are the listed backend servers.
	Backends []membership.ListedBackend
	// Revision is the revision up to which the state shows all changes.
	Revision uint64
}

// Changes are the changes between two revisions.
type Changes struct {
	// Table is the newest configuration; nil if it did not change.
	Table *routing.Table
	// Put are the servers that are new or changed, Removed the IDs of those that are gone.
	Put     []membership.ListedBackend
	Removed []string
	// Revision is the revision up to which the changes are complete.
	Revision uint64
}

// Store reads the platform's store. Implementations may be used from several goroutines.
type Store interface {
	// Read returns the whole state, which is current as of the call.
	Read(ctx context.Context) (State, error)
	// ReadOld returns the whole state, which may be some seconds old.
	ReadOld(ctx context.Context) (State, error)
	// List returns the backend servers only, without a table. The state may be some seconds old.
	List(ctx context.Context) (State, error)
	// Watch returns the changes after a revision as soon as there are some, or none after the wait.
	// The error is ErrHistoryLost if the changes are no longer known.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Revision returns the store's revision, which is current as of the call.
	Revision(ctx context.Context) (uint64, error)
}

// Handler takes what a Follower learns, from one goroutine.
type Handler interface {
	// Replaced takes the whole state of the store.
	Replaced(state State)
	// Changed takes the changes that a watch returned.
	Changed(changes Changes)
	// Proven tells that what was handed over shows all changes made before a time.
	Proven(at time.Duration)
	// Failed takes the error of a read or watch. Silent is how long the call had waited if it was given up
	// without an answer, else 0.
	Failed(err error, silent time.Duration)
}

// Times of the follower.
const (
	// readTimeout bounds a read. The store answers in 4 ms, and in some hundred when it is slow.
	readTimeout = time.Second
	// watchGrace is how much later than its wait a watch may return.
	watchGrace = 700 * time.Millisecond
	// watchLag is how much later than the store's revision a watch may return what made it: many
	// times the store's usual answer. A watch that lags longer has lost its connection.
	watchLag = 400 * time.Millisecond
	// proofRetry is the pause after a failed proof.
	proofRetry = 250 * time.Millisecond
	// firstPause and maxPause bound the pause after a failed call, which doubles with each.
	firstPause = 50 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// maxProofs bounds the proofs that wait for a watch.
const maxProofs = 8

// Follower keeps a process up to date with the store.
type Follower struct {
	Store   Store
	Handler Handler
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// Settle is the pause after changes, so that those that come together take one call. It doubles up to MaxSettle
	// while changes come one after the other, as when all servers start.
	Settle, MaxSettle time.Duration
	// ProofInterval is how often it is checked that no changes are missing; 0 for never.
	ProofInterval time.Duration
	// IdleProofInterval replaces it while Idle returns true; Idle may be nil.
	IdleProofInterval time.Duration
	Idle              func() bool
	// Now reads a clock that goes on while the machine is suspended.
	Now func() time.Duration

	awake chan struct{}

	mu sync.Mutex
	// revision is the revision of what was handed over, and watching ends the watch in progress.
	revision uint64
	watching context.CancelFunc
	// proofs wait for a watch to catch up.
	proofs []proof
}

// proof is a revision that was current at a time.
type proof struct {
	at       time.Duration
	revision uint64
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	if f.ProofInterval > 0 {
		go f.prove(ctx)
	}
	pause := firstPause
	for ctx.Err() == nil {
		start := f.Now()
		state, err := f.read(ctx)
		if err != nil {
			f.fail(ctx, err, f.silence(err, start), &pause)
			continue
		}
		pause = firstPause
		f.Handler.Replaced(state)
		f.handedOver(state.Revision)
		f.Handler.Proven(start)
		f.watch(ctx, state.Revision)
	}
}

// handedOver records the revision of what the handler has, and tells of the proofs that it completes.
func (f *Follower) handedOver(revision uint64) {
	f.mu.Lock()
	f.revision = revision
	var complete []proof
	waiting := f.proofs[:0]
	for _, p := range f.proofs {
		if p.revision <= revision {
			complete = append(complete, p)
			continue
		}
		waiting = append(waiting, p)
	}
	f.proofs = waiting
	f.mu.Unlock()
	for _, p := range complete {
		f.Handler.Proven(p.at)
	}
}

// prove compares the store's revision with that of what was handed over, again and again. A watch that lags
// behind is begun anew: its connection may be silent.
func (f *Follower) prove(ctx context.Context) {
	lagging := time.Duration(0)
	for ctx.Err() == nil {
		start := f.Now()
		revision, err := f.currentRevision(ctx)
		wait := f.proofPause()
		switch {
		case err != nil:
			wait = proofRetry
		case !f.checked(proof{at: start, revision: revision}):
			wait = watchLag / 2
			if lagging += wait; lagging > watchLag {
				f.restartWatch()
				lagging = 0
			}
		default:
			lagging = 0
		}
		f.pauseProofs(ctx, wait)
	}
}

// NewFollower returns a follower, whose other fields the caller sets before Run.
func NewFollower(store Store, handler Handler, now func() time.Duration) *Follower {
	return &Follower{Store: store, Handler: handler, Now: now, awake: make(chan struct{}, 1)}
}

// Wake ends the pause before the next proof: the process is idle no more.
func (f *Follower) Wake() {
	select {
	case f.awake <- struct{}{}:
	default:
	}
}

func (f *Follower) pauseProofs(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-f.awake:
	case <-ctx.Done():
	}
}

func (f *Follower) proofPause() time.Duration {
	if f.Idle != nil && f.Idle() {
		return f.IdleProofInterval
	}
	return f.ProofInterval
}

func (f *Follower) currentRevision(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.Store.Revision(ctx)
}

// checked reports whether a proof is complete. One that is not waits for the watch.
func (f *Follower) checked(p proof) bool {
	f.mu.Lock()
	complete := p.revision <= f.revision && f.revision > 0
	if !complete {
		f.proofs = append(f.proofs, p)
		f.proofs = f.proofs[max(len(f.proofs)-maxProofs, 0):]
	}
	f.mu.Unlock()
	if complete {
		f.Handler.Proven(p.at)
	}
	return complete
}

func (f *Follower) restartWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching != nil {
		f.watching()
	}
}

// Poll reads configuration and list once and then the list of backend servers again and again, with a pause that the
// function gives. It is for processes that need not know changes at once: a list that may be old costs the store little.
func (f *Follower) Poll(ctx context.Context, pauseOf func() time.Duration) {
	pause := firstPause
	configured := false
	for ctx.Err() == nil {
		start := f.Now()
		state, err := f.readOrList(ctx, configured)
		if err != nil {
			f.fail(ctx, err, f.silence(err, start), &pause)
			continue
		}
		pause = firstPause
		configured = configured || state.Table != nil
		f.Handler.Replaced(state)
		f.pause(ctx, pauseOf())
	}
}

func (f *Follower) readOrList(ctx context.Context, list bool) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if !list {
		return f.Store.ReadOld(ctx)
	}
	return f.Store.List(ctx)
}

func (f *Follower) read(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.Store.Read(ctx)
}

// watch follows the changes until the history is lost.
func (f *Follower) watch(ctx context.Context, revision uint64) {
	pause, settle := firstPause, f.Settle
	for ctx.Err() == nil {
		start := f.Now()
		changes, err := f.next(ctx, revision)
		switch {
		case errors.Is(err, ErrHistoryLost):
			f.Handler.Failed(err, 0)
			return
		case err != nil:
			f.fail(ctx, err, f.silence(err, start), &pause)
		default:
			pause = firstPause
			revision = max(revision, changes.Revision)
			f.Handler.Changed(changes)
			f.handedOver(revision)
			f.Handler.Proven(start)
			if f.Now()-start > f.MaxSettle {
				settle = f.Settle
			}
			if changes.Some() {
				f.pause(ctx, settle)
				settle = min(2*settle, max(f.MaxSettle, f.Settle))
			}
		}
	}
}

func (f *Follower) next(ctx context.Context, revision uint64) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+watchGrace)
	defer cancel()
	f.mu.Lock()
	f.watching = cancel
	f.mu.Unlock()
	return f.Store.Watch(ctx, revision, f.Wait)
}

// fail reports an error and waits, with jitter, so that processes that failed together come back apart.
func (f *Follower) fail(ctx context.Context, err error, silent time.Duration, pause *time.Duration) {
	if ctx.Err() != nil {
		return
	}
	f.Handler.Failed(err, silent)
	wait := *pause/2 + rand.N(*pause/2+1)
	*pause = min(2**pause, maxPause)
	f.pause(ctx, wait)
}

// silence returns how long a call waited that was given up without an answer.
func (f *Follower) silence(err error, start time.Duration) time.Duration {
	if !errors.Is(err, context.DeadlineExceeded) {
		return 0
	}
	return f.Now() - start
}

func (f *Follower) pause(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// Some reports whether anything changed.
func (c *Changes) Some() bool {
	return c.Table != nil || len(c.Put) > 0 || len(c.Removed) > 0
}

// Set records a new or changed server; a later change goes before an earlier one.
func (c *Changes) Set(backend membership.ListedBackend) {
	c.forget(backend.ID)
	c.Put = append(c.Put, backend)
}

// Drop records the end of a server; a later change goes before an earlier one.
func (c *Changes) Drop(id string) {
	c.forget(id)
	c.Removed = append(c.Removed, id)
}

func (c *Changes) forget(id string) {
	c.Put = slices.DeleteFunc(c.Put, func(b membership.ListedBackend) bool { return b.ID == id })
	c.Removed = slices.DeleteFunc(c.Removed, func(removed string) bool { return removed == id })
}
