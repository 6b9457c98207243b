// Package source reads the configuration in force and the list of backend servers from the platform's store and
// keeps them up to date.
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

// ErrHistoryLost is returned by Store.Watch when the store has discarded changes after the requested revision. The
// whole state must be read again.
var ErrHistoryLost = errors.New("the store has discarded changes after the requested revision")

// Position is a point in the history of the store. After a restore from an older copy the store starts a new era, in which
// revisions are given out again; revisions of different eras can't be compared.
type Position struct {
	Era, Revision uint64
}

// includes reports whether a state as of p has all changes up to the other position.
func (p Position) includes(other Position) bool {
	return p.Era == other.Era && p.Revision >= other.Revision
}

// State is the whole state that the store holds for a process.
type State struct {
	// Table is the configuration in force; nil if the store has none yet or the call does not
	// read it.
	Table *routing.Table
	// Backends is the list of backend servers.
	Backends []membership.ListedBackend
	// Revision is the newest revision whose changes the state includes, Era the era of the store in which it was read.
	Revision uint64
	Era      uint64
	// Evacuation is the state of evacuations as of its own position, which may be newer than Revision.
	Evacuation membership.EvacuationState
	// ReadAt is when the read began, a reading of Follower.Now. It is 0 for reads that may be stale.
	ReadAt time.Duration
}

// Position returns the position of the state.
func (s *State) Position() Position { return Position{Era: s.Era, Revision: s.Revision} }

// Changes are the changes between two revisions.
type Changes struct {
	// Table is the new configuration; nil if it did not change.
	Table *routing.Table
	// Put lists the new and changed backend servers, Removed the IDs of the removed ones.
	Put     []membership.ListedBackend
	Removed []string
	// Evacuations are the requests and ends of evacuations, in their order.
	Evacuations []membership.EvacuationChange
	// Revision is the newest revision whose changes are included.
	Revision uint64
}

// Store reads the platform's store. Implementations must be safe for concurrent use.
type Store interface {
	// Read returns the whole state. It includes all changes made before the call.
	Read(ctx context.Context) (State, error)
	// ReadStale returns the whole state from a read that may be a few seconds stale.
	ReadStale(ctx context.Context) (State, error)
	// List returns the backend servers without a table. The list may be a few seconds stale.
	List(ctx context.Context) (State, error)
	// Watch returns the changes after a position as soon as there are any, or empty changes after the wait.
	// The error is ErrHistoryLost if the store has discarded some of them or is in another era.
	Watch(ctx context.Context, after Position, wait time.Duration) (Changes, error)
	// Revision returns the store's newest position as of the call.
	Revision(ctx context.Context) (Position, error)
}

// Handler receives what a Follower reads from the store. CurrentAsOf may be called concurrently with the other methods,
// which are all called from one goroutine.
type Handler interface {
	// Replaced receives the whole state of the store.
	Replaced(state State)
	// Changed receives the changes that a watch returned.
	Changed(changes Changes)
	// CurrentAsOf reports that the delivered state includes all changes made before `at`, which is a reading of
	// Follower.Now. After a restore of the store it is not called for RestoreGrace, as acknowledged changes may be missing.
	CurrentAsOf(at time.Duration)
	// Failed receives the error of a read or watch. If the call timed out without a response, waited is how long it
	// took, otherwise 0.
	Failed(err error, waited time.Duration)
}

// Times of the follower.
const (
	// readTimeout bounds one read. The store responds within 4 ms, or a few hundred ms when it is slow.
	readTimeout = time.Second
	// watchGrace is how long after its wait a watch may still return before it is cancelled.
	watchGrace = 700 * time.Millisecond
	// maxWatchLag is how long a watch may take to return the changes of a revision that the store already reports. It
	// is many times the store's usual response time, so a watch that exceeds it has probably lost its connection.
	maxWatchLag = 400 * time.Millisecond
	// checkRetryPause is the pause after a failed read of the revision.
	checkRetryPause = 250 * time.Millisecond
	// RestoreGrace is how long those who write to the store may take, after it was restored from an older copy, to write
	// again what it has lost.
	RestoreGrace = 2200 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call, which doubles with each failure.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// maxPendingChecks bounds the revision checks that wait for the watch to catch up; the oldest are dropped.
const maxPendingChecks = 8

// Follower reads the store, watches it for changes and passes both to a Handler.
type Follower struct {
	Store   Store
	Handler Handler
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// BatchDelay is the pause after changes, so that one call returns several that come together. It doubles up to
	// MaxBatchDelay while changes keep coming, for example while all backend servers start.
	BatchDelay, MaxBatchDelay time.Duration
	// IdleMaxBatchDelay replaces MaxBatchDelay while Idle returns true, if it is greater.
	IdleMaxBatchDelay time.Duration
	// RevisionCheckInterval is the interval at which the store's revision is compared with the delivered one; 0 disables
	// the check.
	RevisionCheckInterval time.Duration
	// IdleRevisionCheckInterval replaces RevisionCheckInterval while Idle returns true. Idle may be nil.
	IdleRevisionCheckInterval time.Duration
	Idle                      func() bool
	// SharedRevision returns the newest revision according to a read that another process began during the call, with which
	// it answers several. It may be nil; after an error the store itself is read.
	SharedRevision func(ctx context.Context) (Position, error)
	// Now reads a clock that keeps running while the machine is suspended.
	Now func() time.Duration

	wake chan struct{}

	mu sync.Mutex
	// delivered is the newest position passed to the handler; cancelWatch cancels the watch in progress.
	delivered   Position
	cancelWatch context.CancelFunc
	// outdated is true if the store is known to be in a later era than the state delivered, so that it must be read again.
	outdated bool
	// reread is true if the process wants the store to be read again.
	reread bool
	// restored is true if the era has changed since the first read, restoredAt when the change was seen.
	restored   bool
	restoredAt time.Duration
	// pendingChecks wait for the watch to deliver their revisions.
	pendingChecks []revisionCheck
}

// revisionCheck is a read of the store's revision that began at the given time.
type revisionCheck struct {
	at       time.Duration
	position Position
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	if f.RevisionCheckInterval > 0 {
		go f.checkRevisions(ctx)
	}
	pause := minRetryPause
	for ctx.Err() == nil {
		f.clearReread()
		start := f.Now()
		state, err := f.read(ctx)
		if err != nil {
			f.handleFailure(ctx, err, f.unansweredFor(err, start), &pause)
			continue
		}
		if !f.enterEra(state.Era) {
			f.pause(ctx, minRetryPause)
			continue
		}
		pause = minRetryPause
		state.ReadAt = start
		f.Handler.Replaced(state)
		f.recordDelivered(state.Position())
		f.reportCurrent(start)
		f.watch(ctx, state.Position())
	}
}

// enterEra records the era of a state that was read. It returns false for a late answer of an earlier era, which must not be
// used.
func (f *Follower) enterEra(era uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era < f.delivered.Era {
		return false
	}
	if f.delivered != (Position{}) && era > f.delivered.Era {
		f.restored, f.restoredAt = true, f.Now()
		f.pendingChecks = nil
	}
	return true
}

// reportCurrent reports that the delivered state is current as of a time, unless the store was restored shortly before.
func (f *Follower) reportCurrent(at time.Duration) {
	f.mu.Lock()
	unproved := f.restored && at-f.restoredAt < RestoreGrace
	f.mu.Unlock()
	if !unproved {
		f.Handler.CurrentAsOf(at)
	}
}

// recordDelivered records the position that the handler now has and reports the pending checks that it completes.
func (f *Follower) recordDelivered(position Position) {
	f.mu.Lock()
	f.delivered, f.outdated = position, f.outdated && position.Era == f.delivered.Era
	var complete []revisionCheck
	pending := f.pendingChecks[:0]
	for _, check := range f.pendingChecks {
		if position.includes(check.position) {
			complete = append(complete, check)
			continue
		}
		pending = append(pending, check)
	}
	f.pendingChecks = pending
	f.mu.Unlock()
	for _, check := range complete {
		f.reportCurrent(check.at)
	}
}

// checkRevisions periodically compares the store's revision with the delivered one. It restarts a watch that lags
// behind, since its connection may be lost without an error.
func (f *Follower) checkRevisions(ctx context.Context) {
	lagging := time.Duration(0)
	for ctx.Err() == nil {
		check, err := f.readRevision(ctx)
		wait := max(f.checkInterval()-(f.Now()-check.at), 0)
		switch {
		case err != nil:
			wait = checkRetryPause
		case !f.completeCheck(check):
			wait = maxWatchLag / 2
			if lagging += wait; lagging > maxWatchLag {
				f.restartWatch()
				lagging = 0
			}
		default:
			lagging = 0
		}
		f.waitOrWake(ctx, wait)
	}
}

// NewFollower returns a follower, whose other fields the caller sets before Run.
func NewFollower(store Store, handler Handler, now func() time.Duration) *Follower {
	return &Follower{Store: store, Handler: handler, Now: now, wake: make(chan struct{}, 1)}
}

// Wake ends the pause before the next revision check or, of a process that polls, the next read. The process calls it when
// it is no longer idle, or expects changes.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) waitOrWake(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-f.wake:
	case <-ctx.Done():
	}
}

func (f *Follower) checkInterval() time.Duration {
	if f.Idle != nil && f.Idle() {
		return f.IdleRevisionCheckInterval
	}
	return f.RevisionCheckInterval
}

// readRevision reads the store's revision, through another process if possible.
func (f *Follower) readRevision(ctx context.Context) (revisionCheck, error) {
	check := revisionCheck{at: f.Now()}
	var err error
	if f.SharedRevision != nil {
		if check.position, err = f.SharedRevision(ctx); err == nil {
			return check, nil
		}
		check.at = f.Now()
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	check.position, err = f.Store.Revision(ctx)
	return check, err
}

// completeCheck reports whether the handler already has the revision of the check. If not, the check waits for the
// watch.
func (f *Follower) completeCheck(check revisionCheck) bool {
	f.mu.Lock()
	complete := f.delivered != (Position{}) && f.delivered.includes(check.position)
	if f.delivered != (Position{}) && check.position.Era > f.delivered.Era {
		// A watch may wait in the new era for changes after a revision of the old one.
		f.outdated = true
	}
	if !complete {
		f.pendingChecks = append(f.pendingChecks, check)
		f.pendingChecks = f.pendingChecks[max(len(f.pendingChecks)-maxPendingChecks, 0):]
	}
	f.mu.Unlock()
	if complete {
		f.reportCurrent(check.at)
	}
	return complete
}

func (f *Follower) restartWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// Poll reads the whole state until it contains a configuration, and from then on only the list of backend servers.
// pauseOf returns the pause between reads. Poll is for processes that tolerate delayed changes: stale reads cost the
// store little.
func (f *Follower) Poll(ctx context.Context, pauseOf func() time.Duration) {
	pause := minRetryPause
	configured := false
	for ctx.Err() == nil {
		start := f.Now()
		state, err := f.readOrList(ctx, configured)
		if err != nil {
			f.handleFailure(ctx, err, f.unansweredFor(err, start), &pause)
			continue
		}
		pause = minRetryPause
		configured = configured || state.Table != nil
		f.Handler.Replaced(state)
		f.waitOrWake(ctx, pauseOf())
	}
}

func (f *Follower) readOrList(ctx context.Context, list bool) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if !list {
		return f.Store.ReadStale(ctx)
	}
	return f.Store.List(ctx)
}

func (f *Follower) read(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.Store.Read(ctx)
}

// watch delivers changes until the context ends or the store has discarded some of them.
func (f *Follower) watch(ctx context.Context, after Position) {
	pause, batchDelay := minRetryPause, f.BatchDelay
	for ctx.Err() == nil {
		start := f.Now()
		changes, err := f.watchOnce(ctx, after)
		switch {
		case f.mustReread():
			return
		case errors.Is(err, ErrHistoryLost):
			f.Handler.Failed(err, 0)
			return
		case err != nil:
			f.handleFailure(ctx, err, f.unansweredFor(err, start), &pause)
		default:
			pause = minRetryPause
			after.Revision = max(after.Revision, changes.Revision)
			f.Handler.Changed(changes)
			f.recordDelivered(after)
			f.reportCurrent(start)
			if f.Now()-start > f.MaxBatchDelay {
				batchDelay = f.BatchDelay
			}
			if changes.Any() {
				f.pause(ctx, batchDelay)
				batchDelay = min(2*batchDelay, f.maxBatchDelay())
			}
		}
	}
}

func (f *Follower) mustReread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outdated || f.reread
}

// Reread makes Run read the whole state again.
func (f *Follower) Reread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reread = true
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

func (f *Follower) clearReread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reread = false
}

func (f *Follower) maxBatchDelay() time.Duration {
	longest := max(f.MaxBatchDelay, f.BatchDelay)
	if f.Idle != nil && f.Idle() {
		longest = max(longest, f.IdleMaxBatchDelay)
	}
	return longest
}

func (f *Follower) watchOnce(ctx context.Context, after Position) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+watchGrace)
	defer cancel()
	f.mu.Lock()
	f.cancelWatch = cancel
	f.mu.Unlock()
	return f.Store.Watch(ctx, after, f.Wait)
}

// handleFailure reports an error and waits with jitter, so that processes that failed together do not retry together.
func (f *Follower) handleFailure(ctx context.Context, err error, waited time.Duration, pause *time.Duration) {
	if ctx.Err() != nil {
		return
	}
	f.Handler.Failed(err, waited)
	delay := *pause/2 + rand.N(*pause/2+1)
	*pause = min(2**pause, maxRetryPause)
	f.pause(ctx, delay)
}

// unansweredFor returns how long a call waited if it timed out without a response, otherwise 0.
func (f *Follower) unansweredFor(err error, start time.Duration) time.Duration {
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

// Any reports whether there are any changes.
func (c *Changes) Any() bool {
	return c.Table != nil || len(c.Put) > 0 || len(c.Removed) > 0 || len(c.Evacuations) > 0
}

// Set records a new or changed backend server. It replaces earlier changes of the same server.
func (c *Changes) Set(backend membership.ListedBackend) {
	c.removeEntry(backend.ID)
	c.Put = append(c.Put, backend)
}

// Delete records the removal of a backend server. It replaces earlier changes of the same server.
func (c *Changes) Delete(id string) {
	c.removeEntry(id)
	c.Removed = append(c.Removed, id)
}

func (c *Changes) removeEntry(id string) {
	c.Put = slices.DeleteFunc(c.Put, func(b membership.ListedBackend) bool { return b.ID == id })
	c.Removed = slices.DeleteFunc(c.Removed, func(removed string) bool { return removed == id })
}
