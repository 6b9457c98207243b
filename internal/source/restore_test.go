package source_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// restoredStore is a store that a test restores from an older copy. Its watches see a restore only at their end, as those
// whose connection is silent.
type restoredStore struct {
	mu       sync.Mutex
	state    source.State
	lateRead *source.State
}

func (s *restoredStore) set(state source.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *restoredStore) Read(context.Context) (source.State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late := s.lateRead; late != nil {
		s.lateRead = nil
		return *late, nil
	}
	return s.state, nil
}

func (s *restoredStore) ReadStale(ctx context.Context) (source.State, error) { return s.Read(ctx) }

func (s *restoredStore) List(ctx context.Context) (source.State, error) { return s.Read(ctx) }

func (s *restoredStore) Watch(ctx context.Context, after source.Position, wait time.Duration) (source.Changes, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return source.Changes{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Era != after.Era {
		return source.Changes{}, source.ErrHistoryLost
	}
	return source.Changes{Revision: s.state.Revision}, nil
}

func (s *restoredStore) Revision(context.Context) (source.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Position(), nil
}

// restoreRecorder records the states that a follower delivers, and when it reports them as current.
type restoreRecorder struct {
	mu        sync.Mutex
	states    []source.Position
	currentAt []time.Duration
}

func (r *restoreRecorder) Replaced(state source.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = append(r.states, state.Position())
}
func (r *restoreRecorder) Changed(source.Changes)      {}
func (r *restoreRecorder) Failed(error, time.Duration) {}
func (r *restoreRecorder) CurrentAsOf(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentAt = append(r.currentAt, at)
}

// Two restores of the store, during a watch that does not show them. If revisions of different eras are compared, the lower
// revision of the copy counts as delivered and proves that no credential was revoked, although the copy may lack a revocation.
func TestRestoredStoreProvesNothingAtFirst(t *testing.T) {
	const firstRestore, secondRestore = 3100 * time.Millisecond, 8250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		store := &restoredStore{state: source.State{Revision: 90, Era: 1, Backends: []membership.ListedBackend{{ID: "a"}}}}
		handler := &restoreRecorder{}
		follower := source.NewFollower(store, handler, func() time.Duration { return time.Since(start) })
		follower.Wait, follower.RevisionCheckInterval = 10*time.Second, 500*time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { follower.Run(ctx); close(done) }()
		// The restores are not at the time of a read, which could be either before or after them.
		time.Sleep(firstRestore)
		store.set(source.State{Revision: 70, Era: 2})
		time.Sleep(secondRestore - firstRestore)
		old := source.State{Revision: 95, Era: 1}
		store.mu.Lock()
		store.lateRead = &old
		store.mu.Unlock()
		store.set(source.State{Revision: 60, Era: 3})
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		handler.mu.Lock()
		defer handler.mu.Unlock()
		c.Assert(handler.states, qt.DeepEquals, []source.Position{{Era: 1, Revision: 90}, {Era: 2, Revision: 70}, {Era: 3, Revision: 60}})
		proved := map[string]int{}
		for _, at := range handler.currentAt {
			switch {
			case at < firstRestore:
				proved["before"]++
			case at < firstRestore+source.RestoreGrace, at >= secondRestore && at < secondRestore+source.RestoreGrace:
				proved["within the grace"]++
			default:
				proved["after"]++
			}
		}
		c.Assert(proved["within the grace"], qt.Equals, 0, qt.Commentf("proved as of %v", handler.currentAt))
		c.Assert(proved["before"] > 0 && proved["after"] > 0, qt.IsTrue, qt.Commentf("%v", proved))
	})
}
