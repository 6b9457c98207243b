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

// Durations and shares (0 to 1) of faults. The durations are long enough that leases and store watches expire, and
// that a group replaces a leader that has ordered to hold a pass. They are short enough for many faults in a minute.
const (
	maxFaultPause    = 700 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	maxRestartPause  = 400 * time.Millisecond
	// leavingTime is how long a replica serves requests after it has announced that it leaves. It exceeds the bound, so
	// that requests which are sent too late are detected.
	leavingTime = standin.LeavingBound + 3*time.Second
	// abortedResponseShare is the share of requests that a replica starts to run, but whose connection it closes before the
	// response is complete.
	abortedResponseShare = 0.05
	// lateOrderShare is the share of orders, such as to prepare an expert map or to hold a pass, that an engine of a group
	// receives from an agent, executes late and does not answer.
	lateOrderShare = 0.3
	proxyDelay     = 60 * time.Millisecond
	// stopTimeout is the platform's bound for a planned stop, plus a second since the machine is under load.
	stopTimeout = standin.StopBound + time.Second
)

// faultLog records the periods of faults and their targets. Planned work is not recorded: the checks allow no loss
// during it.
type faultLog struct {
	mu    sync.Mutex
	spans []*faultSpan
}

// faultSpan is the period of one fault.
type faultSpan struct {
	// to is zero while the fault is in force.
	from, to time.Time
	// target is the name of the affected process or replica, or storeTarget. It is "" until the fault has chosen one, and
	// then counts as any target.
	target string
}

// storeTarget is the target of faults that affect the store for all processes.
const storeTarget = "store"

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

// setTarget sets the target of a fault.
func (l *faultLog) setTarget(span *faultSpan, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	span.target = target
}

// affected reports whether a fault on one of the targets was in force at any time between from and to.
func (l *faultLog) affected(from, to time.Time, targets ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, span := range l.spans {
		if span.from.Before(to) && (span.to.IsZero() || span.to.After(from)) && (span.target == "" || slices.Contains(targets, span.target)) {
			return true
		}
	}
	return false
}

// fault is a kind of fault or planned work.
type fault struct {
	name string
	// planned is true for planned work, which must not lose any request.
	planned bool
	run     func(ctx context.Context, random *rand.Rand, setTarget targetSetter) error
}

// targetSetter records the target that a fault has chosen.
type targetSetter func(target string)

// injectFaults runs one randomly chosen fault after the other until the context ends. Several calls run
// concurrently, so that faults overlap.
func (s *soak) injectFaults(ctx context.Context, random *rand.Rand) {
	faults := s.allFaults()
	if s.options.PlannedOnly {
		faults = slices.DeleteFunc(faults, func(f fault) bool { return !f.planned })
	}
	for ctx.Err() == nil {
		chosen := faults[random.IntN(len(faults))]
		s.log("begins: " + chosen.name)
		var span *faultSpan
		setTarget := func(string) {}
		if !chosen.planned {
			span = s.faults.begin()
			setTarget = func(target string) { s.faults.setTarget(span, target) }
		}
		if err := chosen.run(ctx, random, setTarget); err != nil && ctx.Err() == nil {
			s.reportViolation("failed to inject a fault: " + chosen.name + ": " + err.Error())
		}
		if span != nil {
			s.faults.end(span)
		}
		s.log("ends: " + chosen.name)
		sleep(ctx, time.Duration(random.Int64N(int64(maxFaultPause))))
	}
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func faultDuration(random *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

func pickRandom[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

// allFaults returns all kinds of faults. Their order must not change, since a seed picks them by index.
func (s *soak) allFaults() []fault {
	return append(append(s.processFaults(), s.networkFaults()...), s.platformFaults()...)
}

func (s *soak) processFaults() []fault {
	freeze := func(from []*process) func(context.Context, *rand.Rand, targetSetter) error {
		return func(ctx context.Context, random *rand.Rand, setTarget targetSetter) error {
			chosen := pickRandom(random, from)
			setTarget(chosen.settings.Name)
			if !chosen.faultLock.TryLock() {
				return nil
			}
			defer chosen.faultLock.Unlock()
			// The process is frozen: it stays in memory, but does not run until SIGCONT.
			chosen.signal(syscall.SIGSTOP)
			sleep(ctx, faultDuration(random))
			chosen.signal(syscall.SIGCONT)
			return nil
		}
	}
	kill := func(from []*process) func(context.Context, *rand.Rand, targetSetter) error {
		return func(_ context.Context, random *rand.Rand, setTarget targetSetter) error {
			chosen := pickRandom(random, from)
			setTarget(chosen.settings.Name)
			if !chosen.faultLock.TryLock() {
				return nil
			}
			defer chosen.faultLock.Unlock()
			return chosen.killAndRestart(time.Duration(random.Int64N(int64(maxRestartPause))))
		}
	}
	return []fault{
		{name: "an entry stands still", run: freeze(s.entries)},
		{name: "an agent stands still", run: freeze(s.agents)},
		{name: "an entry is killed", run: kill(s.entries)},
		{name: "an agent is killed", run: kill(s.agents)},
		// A planned stop with SIGTERM, unlike the faults "stands still" (SIGSTOP) and "is killed" (SIGKILL).
		{name: "an entry is stopped", planned: true, run: func(ctx context.Context, random *rand.Rand, _ targetSetter) error {
			chosen := pickRandom(random, s.entries)
			if !chosen.faultLock.TryLock() {
				return nil
			}
			defer chosen.faultLock.Unlock()
			s.stops.accompany(ctx, chosen, random)
			return chosen.stopAndRestart(stopTimeout)
		}},
		{name: "settings are read again", planned: true, run: func(_ context.Context, random *rand.Rand, _ targetSetter) error {
			chosen := pickRandom(random, append(append([]*process(nil), s.entries...), s.agents...))
			if !chosen.faultLock.TryLock() {
				return nil
			}
			defer chosen.faultLock.Unlock()
			chosen.signal(syscall.SIGHUP)
			return nil
		}},
	}
}

func (s *soak) networkFaults() []fault {
	withState := func(from []*proxy, state proxyState) func(context.Context, *rand.Rand, targetSetter) error {
		return func(ctx context.Context, random *rand.Rand, setTarget targetSetter) error {
			chosen := pickRandom(random, from)
			setTarget(chosen.name)
			chosen.setState(state)
			sleep(ctx, faultDuration(random))
			chosen.setState(proxyState{})
			return nil
		}
	}
	disconnected := proxyState{dropToTarget: true, dropFromTarget: true}
	all := append(append([]*proxy(nil), s.storeProxies...), s.replicaProxies...)
	return []fault{
		{name: "a process loses the store", run: withState(s.storeProxies, disconnected)},
		{name: "a replica is cut off", run: withState(s.replicaProxies, disconnected)},
		// All connections of one proxy lose the data that the store or the replica sends.
		{name: "a connection loses one way", run: withState(all, proxyState{dropFromTarget: true})},
		// All connections of one proxy lose the data that is sent to the store or the replica.
		{name: "a connection loses the other way", run: withState(all, proxyState{dropToTarget: true})},
		{name: "a connection is slow", run: withState(all, proxyState{delay: proxyDelay})},
		{name: "connections go silent", run: func(_ context.Context, random *rand.Rand, setTarget targetSetter) error {
			chosen := pickRandom(random, all)
			setTarget(chosen.name)
			chosen.blackholeConnections()
			return nil
		}},
		{name: "connections are reset", run: func(_ context.Context, random *rand.Rand, setTarget targetSetter) error {
			chosen := pickRandom(random, all)
			setTarget(chosen.name)
			chosen.resetConnections()
			return nil
		}},
	}
}

func (s *soak) platformFaults() []fault {
	d := s.deployment
	store := func(state standin.StoreState) func(context.Context, *rand.Rand, targetSetter) error {
		return func(ctx context.Context, random *rand.Rand, setTarget targetSetter) error {
			setTarget(storeTarget)
			d.Store.SetState(state)
			sleep(ctx, faultDuration(random))
			d.Store.SetState(standin.StoreUp)
			return nil
		}
	}
	return []fault{
		{name: "the store refuses", run: store(standin.StoreUnavailable)},
		{name: "the store is silent", run: store(standin.StoreUnresponsive)},
		{name: "a new configuration", planned: true, run: func(context.Context, *rand.Rand, targetSetter) error {
			d.Publish()
			return nil
		}},
		// The oldest credential is revoked and a new one is added.
		{name: "a credential is taken away", planned: true, run: func(context.Context, *rand.Rand, targetSetter) error {
			d.RotateCredential()
			return nil
		}},
		{name: "a replica crashes", run: func(ctx context.Context, random *rand.Rand, setTarget targetSetter) error {
			chosen := pickRandom(random, s.replicas())
			setTarget(chosen.Name())
			if !s.reserve(chosen) {
				return nil
			}
			defer s.release(chosen)
			chosen.Crash()
			sleep(ctx, faultDuration(random))
			return chosen.Restart()
		}},
		{name: "a plain replica leaves", planned: true, run: func(_ context.Context, random *rand.Rand, _ targetSetter) error {
			chosen := pickRandom(random, d.Plain)
			if !s.reserve(chosen) {
				return nil
			}
			defer s.release(chosen)
			chosen.Leave(leavingTime)
			return chosen.Restart()
		}},
		// The replica closes the connections of some requests before their responses are complete.
		{name: "a replica loses answers", run: func(ctx context.Context, random *rand.Rand, setTarget targetSetter) error {
			chosen := pickRandom(random, s.replicas())
			setTarget(chosen.Name())
			chosen.SetFaultShare(abortedResponseShare)
			sleep(ctx, faultDuration(random))
			chosen.SetFaultShare(0)
			return nil
		}},
		{name: "orders are carried out late", run: func(ctx context.Context, random *rand.Rand, setTarget targetSetter) error {
			chosen := pickRandom(random, d.Groups)
			setTarget(chosen.Name())
			chosen.SetLateOrderShare(lateOrderShare)
			sleep(ctx, faultDuration(random))
			chosen.SetLateOrderShare(0)
			return nil
		}},
	}
}
