package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// Times of faults: long enough that leases, watches and holds run out, short enough for many in a minute.
const (
	faultPause    = 700 * time.Millisecond
	shortestFault = 300 * time.Millisecond
	longestFault  = 3 * time.Second
	restartPause  = 400 * time.Millisecond
	// leavingTime is how long a replica serves on after it said that it leaves: long enough to see what comes too late.
	leavingTime = standin.LeavingBound + 3*time.Second
	lostAnswers = 0.05
	lateOrders  = 0.3
	proxyDelay  = 60 * time.Millisecond
	// stopGrace is the platform's bound with a second for the busy machine.
	stopGrace = standin.StopBound + time.Second
)

// faultLog keeps when faults were in force, apart from planned work.
type faultLog struct {
	mu    sync.Mutex
	spans []*faultSpan
}

type faultSpan struct {
	from, to time.Time
	// about is the name of the process or replica that is harmed, or the store; "" until it is chosen.
	about string
}

// aboutStore is what faults of the store for all processes are about.
const aboutStore = "store"

func (l *faultLog) begin() *faultSpan {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := &faultSpan{from: time.Now()}
	l.spans = append(l.spans, span)
	return span
}

func (l *faultLog) end(span *faultSpan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	span.to = time.Now()
}

// concern says what a fault is about.
func (l *faultLog) concern(span *faultSpan, about string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	span.about = about
}

// disturbed reports whether a fault about one of the things was in force between two moments.
func (l *faultLog) disturbed(from, to time.Time, about ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, span := range l.spans {
		if span.from.Before(to) && (span.to.IsZero() || span.to.After(from)) && (span.about == "" || slices.Contains(about, span.about)) {
			return true
		}
	}
	return false
}

// fault is one kind of harm. Do returns when it is over.
type fault struct {
	name string
	// planned is true for work after which nothing may be lost.
	planned bool
	do      func(ctx context.Context, random *rand.Rand, harm harm) error
}

// harm is told what a fault has chosen.
type harm func(about string)

// inject begins one fault after the other until the context ends. Several injectors make faults overlap.
func (s *soak) inject(ctx context.Context, random *rand.Rand) {
	faults := s.kinds()
	for ctx.Err() == nil {
		chosen := faults[random.IntN(len(faults))]
		s.note("begins: " + chosen.name)
		var span *faultSpan
		chose := func(string) {}
		if !chosen.planned {
			span = s.faults.begin()
			chose = func(about string) { s.faults.concern(span, about) }
		}
		if err := chosen.do(ctx, random, chose); err != nil && ctx.Err() == nil {
			s.breach("invariant: " + chosen.name + ": " + err.Error())
		}
		if span != nil {
			s.faults.end(span)
		}
		s.note("ends: " + chosen.name)
		pause(ctx, time.Duration(random.Int64N(int64(faultPause))))
	}
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

func faultLength(random *rand.Rand) time.Duration {
	return shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

// kinds returns all faults that the soak knows.
func (s *soak) kinds() []fault {
	return append(append(s.processFaults(), s.networkFaults()...), s.platformFaults()...)
}

func (s *soak) processFaults() []fault {
	frozen := func(from []*process) func(context.Context, *rand.Rand, harm) error {
		return func(ctx context.Context, random *rand.Rand, chose harm) error {
			chosen := pick(random, from)
			chose(chosen.place.Name)
			if !chosen.busy.TryLock() {
				return nil
			}
			defer chosen.busy.Unlock()
			chosen.signal(syscall.SIGSTOP)
			pause(ctx, faultLength(random))
			chosen.signal(syscall.SIGCONT)
			return nil
		}
	}
	killed := func(from []*process) func(context.Context, *rand.Rand, harm) error {
		return func(_ context.Context, random *rand.Rand, chose harm) error {
			chosen := pick(random, from)
			chose(chosen.place.Name)
			if !chosen.busy.TryLock() {
				return nil
			}
			defer chosen.busy.Unlock()
			return chosen.kill(time.Duration(random.Int64N(int64(restartPause))))
		}
	}
	return []fault{
		{name: "an entry stands still", do: frozen(s.entries)},
		{name: "an agent stands still", do: frozen(s.agents)},
		{name: "an entry is killed", do: killed(s.entries)},
		{name: "an agent is killed", do: killed(s.agents)},
		{name: "an entry is stopped", planned: true, do: func(_ context.Context, random *rand.Rand, _ harm) error {
			chosen := pick(random, s.entries)
			if !chosen.busy.TryLock() {
				return nil
			}
			defer chosen.busy.Unlock()
			return chosen.stop(stopGrace)
		}},
		{name: "settings are read again", planned: true, do: func(_ context.Context, random *rand.Rand, _ harm) error {
			chosen := pick(random, append(append([]*process(nil), s.entries...), s.agents...))
			if !chosen.busy.TryLock() {
				return nil
			}
			defer chosen.busy.Unlock()
			chosen.signal(syscall.SIGHUP)
			return nil
		}},
	}
}

func (s *soak) networkFaults() []fault {
	harmed := func(from []*proxy, state proxyState) func(context.Context, *rand.Rand, harm) error {
		return func(ctx context.Context, random *rand.Rand, chose harm) error {
			chosen := pick(random, from)
			chose(chosen.about)
			chosen.set(state)
			pause(ctx, faultLength(random))
			chosen.set(proxyState{})
			return nil
		}
	}
	cut := proxyState{dropTo: true, dropFrom: true}
	all := append(append([]*proxy(nil), s.storeProxies...), s.replicaProxies...)
	return []fault{
		{name: "a process loses the store", do: harmed(s.storeProxies, cut)},
		{name: "a replica is cut off", do: harmed(s.replicaProxies, cut)},
		{name: "a connection loses one way", do: harmed(all, proxyState{dropFrom: true})},
		{name: "a connection loses the other way", do: harmed(all, proxyState{dropTo: true})},
		{name: "a connection is slow", do: harmed(all, proxyState{delay: proxyDelay})},
		{name: "connections go silent", do: func(_ context.Context, random *rand.Rand, chose harm) error {
			chosen := pick(random, all)
			chose(chosen.about)
			chosen.silence()
			return nil
		}},
		{name: "connections are reset", do: func(_ context.Context, random *rand.Rand, chose harm) error {
			chosen := pick(random, all)
			chose(chosen.about)
			chosen.reset()
			return nil
		}},
	}
}

func (s *soak) platformFaults() []fault {
	d := s.deployment
	store := func(state standin.StoreState) func(context.Context, *rand.Rand, harm) error {
		return func(ctx context.Context, random *rand.Rand, chose harm) error {
			chose(aboutStore)
			d.Store.SetState(state)
			pause(ctx, faultLength(random))
			d.Store.SetState(standin.StoreUp)
			return nil
		}
	}
	return []fault{
		{name: "the store refuses", do: store(standin.StoreUnavailable)},
		{name: "the store is silent", do: store(standin.StoreUnresponsive)},
		{name: "a new configuration", planned: true, do: func(context.Context, *rand.Rand, harm) error {
			d.Publish()
			return nil
		}},
		{name: "a credential is taken away", planned: true, do: func(context.Context, *rand.Rand, harm) error {
			d.RotateCredential()
			return nil
		}},
		{name: "a replica crashes", do: func(ctx context.Context, random *rand.Rand, chose harm) error {
			chosen := pick(random, s.replicas())
			chose(chosen.Name())
			if !s.claim(chosen) {
				return nil
			}
			defer s.release(chosen)
			chosen.Crash()
			pause(ctx, faultLength(random))
			return chosen.Restart()
		}},
		{name: "a plain replica leaves", planned: true, do: func(_ context.Context, random *rand.Rand, _ harm) error {
			chosen := pick(random, d.Plain)
			if !s.claim(chosen) {
				return nil
			}
			defer s.release(chosen)
			chosen.Leave(leavingTime)
			return chosen.Restart()
		}},
		{name: "a replica loses answers", do: func(ctx context.Context, random *rand.Rand, chose harm) error {
			chosen := pick(random, s.replicas())
			chose(chosen.Name())
			chosen.SetFaultShare(lostAnswers)
			pause(ctx, faultLength(random))
			chosen.SetFaultShare(0)
			return nil
		}},
		{name: "orders are carried out late", do: func(ctx context.Context, random *rand.Rand, chose harm) error {
			chosen := pick(random, d.Groups)
			chose(chosen.Name())
			chosen.SetLateOrderShare(lateOrders)
			pause(ctx, faultLength(random))
			chosen.SetLateOrderShare(0)
			return nil
		}},
	}
}
