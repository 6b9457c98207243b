package attempt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// smallCrashService has one server in each of three or four zones.
var smallCrashService = crashService{3, 4, []int{10, 30, 60}}

// checkLateRequests fails if more requests than the platform tolerates were sent to servers too late.
func (w *crashWorld) checkLateRequests() {
	for cause, requests := range w.lateRequests {
		if len(requests) > toleratedLateRuns {
			w.t.Fatalf("requests with %s ended %d servers, %d requests were sent late; %d entries, %d servers, %d%% loss",
				cause, len(w.ends[cause]), len(requests), len(w.entries), len(w.servers), w.lossPercent)
		}
	}
}

// repeatLookups lets entries send requests that were cut off to a second server.
func (w *crashWorld) repeatLookups() {
	for _, caller := range w.callers {
		caller.sends = 2
	}
}

// A crash request ends all servers of a small service one after the other. They return together after more than the
// stable window, when several callers repeat it at several entries at once. Unless it is refused by then, too many of these
// requests are sent, though each would be enough to end a server.
func TestCrashRequestIsRefusedWhenAllServersOfASmallServiceReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCrashWorld(t, smallCrashService)
		w.distinctTargets = true
		w.serverDown = time.Duration(w.draw("down", 3100, 3800)) * time.Millisecond
		crash := crashCaller{
			fingerprint: attempt.Fingerprint{2}, crashes: true, jitterPercent: 30,
			runTime: time.Duration(w.draw("crash run", 5, 110)) * time.Millisecond,
			pause:   time.Duration(w.draw("crash pause", 300, 1500)) * time.Millisecond,
		}
		first := w.draw("first", 0, 3000)
		for range w.draw("crash callers", 1, 6) {
			caller := crash
			caller.nextAt = start.Add(time.Duration(first+w.draw("offset", 0, 500)) * time.Millisecond)
			w.callers = append(w.callers, &caller)
		}
		w.repeatLookups()
		w.run(func(time.Duration) {})
		w.check()
		w.checkLateRequests()
	})
}

// The servers of a small service end one after the other for another reason. A sound lookup that was cut off and is sent to
// another server may be cut off there too. It must not be refused for it.
func TestRequestsBesideServersThatEndOneAfterTheOtherAreNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCrashWorld(t, smallCrashService)
		w.repeatLookups()
		period := time.Duration(w.draw("period", 800, 2400)) * crashWorldStep
		var gaps []time.Duration
		at := time.Duration(0)
		for range w.servers {
			gaps = append(gaps, at)
			at += time.Duration(w.draw("gap", 0, 60)) * crashWorldStep
		}
		w.run(func(elapsed time.Duration) {
			for i, gap := range gaps {
				if server := w.servers[i]; (elapsed-gap)%period == 0 && elapsed >= gap && !w.now.Before(server.downUntil) {
					w.end(server)
				}
			}
		})
		w.check()
	})
}
