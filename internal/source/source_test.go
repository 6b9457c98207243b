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

// script is a store whose calls take time on a clock of its own and end as written.
type script struct {
	now   time.Duration
	calls []scriptedCall
	done  context.CancelFunc
}

type scriptedCall struct {
	takes   time.Duration
	changes source.Changes
	err     error
}

func (s *script) next() scriptedCall {
	if len(s.calls) == 0 {
		s.done()
		return scriptedCall{err: context.Canceled}
	}
	call := s.calls[0]
	s.calls = s.calls[1:]
	s.now += call.takes
	return call
}

func (s *script) Read(context.Context) (source.State, error) {
	call := s.next()
	return source.State{Revision: call.changes.Revision, Table: call.changes.Table}, call.err
}

func (s *script) ReadOld(ctx context.Context) (source.State, error) { return s.Read(ctx) }

func (s *script) Watch(context.Context, uint64, time.Duration) (source.Changes, error) {
	call := s.next()
	return call.changes, call.err
}

// record keeps what a follower reports.
type record struct {
	proven   []time.Duration
	silences []time.Duration
	reads    int
	// listed is the number of servers of each state.
	listed []int
}

func (r *record) Replaced(state source.State) {
	r.reads++
	r.listed = append(r.listed, len(state.Backends))
}
func (r *record) Changed(source.Changes)               {}
func (r *record) Proven(at time.Duration)              { r.proven = append(r.proven, at) }
func (r *record) Failed(_ error, silent time.Duration) { r.silences = append(r.silences, silent) }

func (s *script) List(context.Context) (source.State, error) {
	call := s.next()
	return source.State{Backends: call.changes.Put}, call.err
}

func (s *script) Revision(context.Context) (uint64, error) { return 0, errors.New("not asked") }

func follow(calls ...scriptedCall) *record {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &script{calls: calls, done: cancel}
	handler := &record{}
	follower := source.NewFollower(store, handler, func() time.Duration { return store.now })
	follower.Wait = 1500 * time.Millisecond
	follower.Run(ctx)
	return handler
}

const ms = time.Millisecond

// A watch proves the configuration current as of its start, and no later: it may be deaf while it waits.
func TestWatchProvesNoMoreThanItSaw(t *testing.T) {
	c := qt.New(t)
	put := source.Changes{Put: []membership.ListedBackend{{ID: "a"}}, Revision: 7}
	got := follow(
		scriptedCall{takes: 5 * ms, changes: source.Changes{Revision: 3}},
		scriptedCall{takes: 1500 * ms, changes: source.Changes{Revision: 5}},
		scriptedCall{takes: 900 * ms, changes: put},
		scriptedCall{takes: 20 * ms, changes: source.Changes{Revision: 8}},
	)
	c.Assert(got.proven, qt.DeepEquals, []time.Duration{0, 5 * ms, 1505 * ms, 2405 * ms})
	c.Assert(got.reads, qt.Equals, 1)
}

// deafStore knows of revision 9 but its watch hears of nothing until it is begun anew.
type deafStore struct {
	mu      sync.Mutex
	watches int
}

func (s *deafStore) Read(context.Context) (source.State, error) {
	return source.State{Revision: 3}, nil
}

func (s *deafStore) ReadOld(ctx context.Context) (source.State, error) { return s.Read(ctx) }

func (s *deafStore) List(context.Context) (source.State, error) { return source.State{}, nil }

func (s *deafStore) Revision(context.Context) (uint64, error) { return 9, nil }

func (s *deafStore) Watch(ctx context.Context, _ uint64, _ time.Duration) (source.Changes, error) {
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

// proofs counts what is proven before and after the watch has caught up.
type proofs struct {
	record
	mu     sync.Mutex
	caught bool
	early  int
	late   chan struct{}
}

func (p *proofs) Changed(source.Changes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.caught = true
}

func (p *proofs) Failed(error, time.Duration) {}

func (p *proofs) Proven(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at == 0 {
		return
	}
	if !p.caught {
		p.early++
		return
	}
	select {
	case p.late <- struct{}{}:
	default:
	}
}

// A read of the store's revision proves nothing while the watch lags behind it, and a watch that lags is begun anew.
func TestRevisionProvesOnlyWhatWasHandedOver(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handler := &proofs{late: make(chan struct{}, 1)}
	begun := time.Now()
	var asked atomic.Bool
	follower := source.NewFollower(&deafStore{}, handler, func() time.Duration {
		if !asked.Swap(true) {
			return 0
		}
		return time.Since(begun)
	})
	follower.Wait, follower.ProofInterval = time.Hour, time.Millisecond
	go follower.Run(ctx)
	<-handler.late
	handler.mu.Lock()
	defer handler.mu.Unlock()
	c.Assert(handler.early, qt.Equals, 0)
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	c := qt.New(t)
	got := follow(
		scriptedCall{changes: source.Changes{Revision: 3}},
		scriptedCall{err: source.ErrHistoryLost},
		scriptedCall{changes: source.Changes{Revision: 9}},
	)
	c.Assert(got.reads, qt.Equals, 2)
	c.Assert(got.silences, qt.DeepEquals, []time.Duration{0})
}

// Only a call that was given up without an answer tells how long the store was silent.
func TestSilenceOfTheStore(t *testing.T) {
	c := qt.New(t)
	got := follow(
		scriptedCall{changes: source.Changes{Revision: 3}},
		scriptedCall{takes: 2200 * ms, err: context.DeadlineExceeded},
		scriptedCall{takes: 100 * ms, err: errors.New("reset")},
		scriptedCall{takes: 5 * ms, changes: source.Changes{Revision: 4}},
	)
	c.Assert(got.silences, qt.DeepEquals, []time.Duration{2200 * ms, 0})
	c.Assert(got.reads, qt.Equals, 1)
}

// A process that polls reads the configuration until there is one, and then lists servers only.
func TestPollListsOnceTheConfigurationIsKnown(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := routing.NewTable(1, routing.CallerLimits{}, nil, nil, nil)
	two := source.Changes{Put: []membership.ListedBackend{{ID: "a"}, {ID: "b"}}}
	store := &script{done: cancel, calls: []scriptedCall{
		{changes: source.Changes{Put: two.Put}}, {changes: source.Changes{Table: table}}, {err: errors.New("busy")}, {changes: two},
	}}
	handler := &record{}
	follower := source.NewFollower(store, handler, func() time.Duration { return store.now })
	follower.Poll(ctx, func() time.Duration { return 0 })
	c.Assert(handler.listed, qt.DeepEquals, []int{0, 0, 2})
	c.Assert(handler.silences, qt.DeepEquals, []time.Duration{0})
}

// busyStore has changes for as long as it is told, and counts calls.
type busyStore struct {
	deafStore
	changesUntil time.Time
	watched      atomic.Int64
	proofs       atomic.Int64
}

func (s *busyStore) Watch(ctx context.Context, after uint64, wait time.Duration) (source.Changes, error) {
	if !time.Now().Before(s.changesUntil) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return source.Changes{Revision: after}, ctx.Err()
	}
	s.watched.Add(1)
	return source.Changes{Revision: after, Put: []membership.ListedBackend{{ID: "a"}}}, nil
}

func (s *busyStore) Revision(context.Context) (uint64, error) {
	s.proofs.Add(1)
	return 3, nil
}

// While all servers start, changes come one after the other: they are fetched a few times a second, not ten times.
func TestChangesInSuccessionTakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		store := &busyStore{changesUntil: begun.Add(4 * time.Second)}
		follower := source.NewFollower(store, &record{}, func() time.Duration { return time.Since(begun) })
		follower.Wait, follower.Settle, follower.MaxSettle = 10*time.Second, 100*ms, 400*ms
		go follower.Run(ctx)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		qt.Assert(t, store.watched.Load(), qt.Equals, int64(12))
	})
}

// An idle process proves its configuration less often, and at once when it is idle no more.
func TestProofsOfAnIdleProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		store := &busyStore{}
		var idle atomic.Bool
		idle.Store(true)
		follower := source.NewFollower(store, &record{}, func() time.Duration { return time.Since(begun) })
		follower.Wait, follower.ProofInterval, follower.IdleProofInterval = time.Hour, time.Second, 3*time.Second
		follower.Idle = idle.Load
		go follower.Run(ctx)
		time.Sleep(10 * time.Second)
		qt.Assert(t, store.proofs.Load(), qt.Equals, int64(4))
		idle.Store(false)
		follower.Wake()
		synctest.Wait()
		qt.Assert(t, store.proofs.Load(), qt.Equals, int64(5))
		time.Sleep(10*time.Second + 500*ms)
		qt.Assert(t, store.proofs.Load(), qt.Equals, int64(15))
		cancel()
		synctest.Wait()
	})
}
