package source_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// scriptedStore returns the scripted calls in order. Each advances the store's own clock by its duration.
type scriptedStore struct {
	now   time.Duration
	calls []scriptedCall
	done  context.CancelFunc
}

type scriptedCall struct {
	duration time.Duration
	changes  source.Changes
	err      error
}

func (s *scriptedStore) next() scriptedCall {
	if len(s.calls) == 0 {
		s.done()
		return scriptedCall{err: context.Canceled}
	}
	call := s.calls[0]
	s.calls = s.calls[1:]
	s.now += call.duration
	return call
}

func (s *scriptedStore) Read(context.Context) (source.State, error) {
	call := s.next()
	return source.State{Revision: call.changes.Revision, Table: call.changes.Table}, call.err
}

func (s *scriptedStore) ReadStale(ctx context.Context) (source.State, error) { return s.Read(ctx) }

func (s *scriptedStore) Watch(context.Context, source.Position, time.Duration) (source.Changes, error) {
	call := s.next()
	return call.changes, call.err
}

// recorder records what a follower reports.
type recorder struct {
	confirmedAt []time.Duration
	unanswered  []time.Duration
	reads       int
	// backendCounts has the number of backend servers in each state.
	backendCounts []int
}

func (r *recorder) Replaced(state source.State) {
	r.reads++
	r.backendCounts = append(r.backendCounts, len(state.Backends))
}
func (r *recorder) Changed(source.Changes)       {}
func (r *recorder) CurrentAsOf(at time.Duration) { r.confirmedAt = append(r.confirmedAt, at) }

func (r *recorder) Failed(_ error, waited time.Duration) { r.unanswered = append(r.unanswered, waited) }

func (s *scriptedStore) List(context.Context) (source.State, error) {
	call := s.next()
	return source.State{Backends: call.changes.Put}, call.err
}

func (s *scriptedStore) Revision(context.Context) (source.Position, error) {
	return source.Position{}, errors.New("unscripted")
}

func runFollower(calls ...scriptedCall) *recorder {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &scriptedStore{calls: calls, done: cancel}
	handler := &recorder{}
	follower := source.NewFollower(store, handler, func() time.Duration { return store.now })
	follower.Wait = 1500 * time.Millisecond
	follower.Run(ctx)
	return handler
}

const ms = time.Millisecond

// When a watch returns, the configuration is known to be current as of the start of the watch and no later: its
// connection may have been lost while it waited, with changes missing.
func TestWatchConfirmsStateAsOfItsStart(t *testing.T) {
	c := qt.New(t)
	put := source.Changes{Put: []membership.ListedBackend{{ID: "a"}}, Revision: 7}
	got := runFollower(
		scriptedCall{duration: 5 * ms, changes: source.Changes{Revision: 3}},
		scriptedCall{duration: 1500 * ms, changes: source.Changes{Revision: 5}},
		scriptedCall{duration: 900 * ms, changes: put},
		scriptedCall{duration: 20 * ms, changes: source.Changes{Revision: 8}},
	)
	c.Assert(got.confirmedAt, qt.DeepEquals, []time.Duration{0, 5 * ms, 1505 * ms, 2405 * ms})
	c.Assert(got.reads, qt.Equals, 1)
}

// staleWatchStore reports revision 9, but its first watch returns no changes until it is cancelled. Later watches return
// revision 9 at once.
type staleWatchStore struct {
	mu      sync.Mutex
	watches int
}

func (s *staleWatchStore) Read(context.Context) (source.State, error) {
	return source.State{Revision: 3}, nil
}

func (s *staleWatchStore) ReadStale(ctx context.Context) (source.State, error) { return s.Read(ctx) }

func (s *staleWatchStore) List(context.Context) (source.State, error) { return source.State{}, nil }

func (s *staleWatchStore) Revision(context.Context) (source.Position, error) {
	return source.Position{Revision: 9}, nil
}

func (s *staleWatchStore) Watch(ctx context.Context, _ source.Position, _ time.Duration) (source.Changes, error) {
	s.mu.Lock()
	s.watches++
	first := s.watches == 1
	s.mu.Unlock()
	if first {
		<-ctx.Done()
		return source.Changes{}, ctx.Err()
	}
	return source.Changes{Revision: 9}, nil
}

// lagHandler counts calls of CurrentAsOf (confirmations) before the watch has returned changes, and signals the first
// one after that. The confirmation by the initial read has the time 0 and is not counted.
type lagHandler struct {
	recorder
	mu                    sync.Mutex
	caughtUp              bool
	earlyConfirmations    int
	confirmedAfterCatchUp chan struct{}
}

func (p *lagHandler) Changed(source.Changes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.caughtUp = true
}

func (p *lagHandler) Failed(error, time.Duration) {}

func (p *lagHandler) CurrentAsOf(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at == 0 {
		return
	}
	if !p.caughtUp {
		p.earlyConfirmations++
		return
	}
	select {
	case p.confirmedAfterCatchUp <- struct{}{}:
	default:
	}
}

// A read of the store's revision must not confirm the delivered state while the watch lags behind that revision. The
// follower must restart a watch that keeps lagging.
func TestRevisionCheckWaitsForLaggingWatch(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handler := &lagHandler{confirmedAfterCatchUp: make(chan struct{}, 1)}
	start := time.Now()
	// The clock's first reading is 0, which marks the confirmation by the initial read.
	var clockRead atomic.Bool
	follower := source.NewFollower(&staleWatchStore{}, handler, func() time.Duration {
		if !clockRead.Swap(true) {
			return 0
		}
		return time.Since(start)
	})
	follower.Wait, follower.RevisionCheckInterval = time.Hour, time.Millisecond
	go follower.Run(ctx)
	<-handler.confirmedAfterCatchUp
	handler.mu.Lock()
	defer handler.mu.Unlock()
	c.Assert(handler.earlyConfirmations, qt.Equals, 0)
}

// After ErrHistoryLost the follower must read the whole state again.
func TestLostHistoryRereadsState(t *testing.T) {
	c := qt.New(t)
	got := runFollower(
		scriptedCall{changes: source.Changes{Revision: 3}},
		scriptedCall{err: source.ErrHistoryLost},
		scriptedCall{changes: source.Changes{Revision: 9}},
	)
	c.Assert(got.reads, qt.Equals, 2)
	c.Assert(got.unanswered, qt.DeepEquals, []time.Duration{0})
}

// A failed call reports how long the store did not respond only if the call timed out: any other error is a response.
func TestOnlyTimeoutsReportUnansweredTime(t *testing.T) {
	c := qt.New(t)
	got := runFollower(
		scriptedCall{changes: source.Changes{Revision: 3}},
		scriptedCall{duration: 2200 * ms, err: context.DeadlineExceeded},
		scriptedCall{duration: 100 * ms, err: errors.New("reset")},
		scriptedCall{duration: 5 * ms, changes: source.Changes{Revision: 4}},
	)
	c.Assert(got.unanswered, qt.DeepEquals, []time.Duration{2200 * ms, 0})
	c.Assert(got.reads, qt.Equals, 1)
}

// Poll must read the whole state until it contains a configuration, and after that only list backend servers.
func TestPollListsBackendsOnceConfigured(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := routing.NewTable(1, routing.CallerLimits{}, nil, nil, nil)
	two := source.Changes{Put: []membership.ListedBackend{{ID: "a"}, {ID: "b"}}}
	store := &scriptedStore{done: cancel, calls: []scriptedCall{
		{changes: source.Changes{Put: two.Put}}, {changes: source.Changes{Table: table}}, {err: errors.New("busy")}, {changes: two},
	}}
	handler := &recorder{}
	follower := source.NewFollower(store, handler, func() time.Duration { return store.now })
	follower.Poll(ctx, func() time.Duration { return 0 })
	c.Assert(handler.backendCounts, qt.DeepEquals, []int{0, 0, 2})
	c.Assert(handler.unanswered, qt.DeepEquals, []time.Duration{0})
}

// changingStore returns a change from each watch until changesUntil, and counts watches and reads of the revision.
type changingStore struct {
	staleWatchStore
	changesUntil  time.Time
	watchCalls    atomic.Int64
	revisionReads atomic.Int64
}

func (s *changingStore) Watch(ctx context.Context, after source.Position, wait time.Duration) (source.Changes, error) {
	if !time.Now().Before(s.changesUntil) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return source.Changes{Revision: after.Revision}, ctx.Err()
	}
	s.watchCalls.Add(1)
	return source.Changes{Revision: after.Revision, Put: []membership.ListedBackend{{ID: "a"}}}, nil
}

func (s *changingStore) Revision(context.Context) (source.Position, error) {
	s.revisionReads.Add(1)
	return source.Position{Revision: 3}, nil
}

// While all backend servers start, changes come in quick succession. The pause between watches must grow, so that the
// follower fetches the changes a few times a second instead of ten times.
func TestContinuousChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		store := &changingStore{changesUntil: start.Add(4 * time.Second)}
		follower := source.NewFollower(store, &recorder{}, func() time.Duration { return time.Since(start) })
		follower.Wait, follower.BatchDelay, follower.MaxBatchDelay = 10*time.Second, 100*ms, 400*ms
		go follower.Run(ctx)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		qt.Assert(t, store.watchCalls.Load(), qt.Equals, int64(12))
	})
}

// An idle process must check the revision at the longer interval, and at once when it is no longer idle.
func TestRevisionChecksOfIdleProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		store := &changingStore{}
		var idle atomic.Bool
		idle.Store(true)
		follower := source.NewFollower(store, &recorder{}, func() time.Duration { return time.Since(start) })
		follower.Wait, follower.RevisionCheckInterval, follower.IdleRevisionCheckInterval = time.Hour, time.Second, 3*time.Second
		follower.Idle = idle.Load
		go follower.Run(ctx)
		time.Sleep(10 * time.Second)
		qt.Assert(t, store.revisionReads.Load(), qt.Equals, int64(4))
		idle.Store(false)
		follower.Wake()
		synctest.Wait()
		qt.Assert(t, store.revisionReads.Load(), qt.Equals, int64(5))
		time.Sleep(10*time.Second + 500*ms)
		qt.Assert(t, store.revisionReads.Load(), qt.Equals, int64(15))
		cancel()
		synctest.Wait()
	})
}

// TestRereadReadsTheStoreOnce guards against a process that keeps what it has when it asks for a new read, and against one that reads
// again and again.
func TestRereadReadsTheStoreOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store, handler := &quietStore{}, &recorder{}
		f := source.NewFollower(store, handler, func() time.Duration { return time.Since(time.Time{}) })
		f.Wait = time.Second
		go f.Run(ctx)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		c.Assert(handler.reads, qt.Equals, 1)
		f.Reread()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		c.Assert(handler.reads, qt.Equals, 2)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		c.Assert(handler.reads, qt.Equals, 2)
		cancel()
	})
}

// quietStore is a store without changes.
type quietStore struct{ scriptedStore }

func (*quietStore) Read(context.Context) (source.State, error) { return source.State{Revision: 1}, nil }

func (*quietStore) Watch(ctx context.Context, after source.Position, wait time.Duration) (source.Changes, error) {
	select {
	case <-time.After(wait):
		return source.Changes{Revision: after.Revision}, nil
	case <-ctx.Done():
		return source.Changes{}, ctx.Err()
	}
}
