package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// Entries ask for trial runs again and again, and messages arrive late, twice or never. If two runs were permitted at a time, or
// one before the last end is known to all, each could end a server without adding evidence in time.
func TestTrialRunsOfAServiceExcludeEachOther(t *testing.T) {
	const lasts, settleTime = 200 * time.Millisecond, 300 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		trials, now := attempt.NewTrialRuns(settleTime), start
		run := func() attempt.TrialRun {
			return attempt.TrialRun{
				Entry:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "entry"),
				Number: rapid.Uint64Range(0, 3).Draw(t, "number"),
			}
		}
		var holder attempt.TrialRun
		var excludesUntil time.Time
		ended := true
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "pause")) * time.Millisecond)
			other := run()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				permitted := trials.Request(now, "service", other, lasts)
				switch {
				case permitted && other == holder && !ended && now.Before(excludesUntil):
				case permitted && now.Before(excludesUntil):
					t.Fatalf("%v is permitted beside %v", other, holder)
				case permitted:
					holder, excludesUntil, ended = other, now.Add(lasts+settleTime), false
				case !permitted && !now.Before(excludesUntil) && other != holder:
					t.Fatalf("%v is not permitted, though no other run is", other)
				}
			case 2:
				broken := rapid.Bool().Draw(t, "broken")
				trials.Release(now, "service", other, broken)
				if other == holder && !ended && now.Before(excludesUntil) {
					excludesUntil, ended = now, true
					if broken {
						excludesUntil = now.Add(settleTime)
					}
				}
			case 3:
				trials.Expire(now)
			}
		}
	})
}

// The release of a run that may last very long is lost. If its permit lasted as long, all other suspects of the service would be
// refused meanwhile.
func TestLostReleaseOfALongRunHoldsOthersUpForABoundedTime(t *testing.T) {
	const longestHold = 11 * time.Second
	c := qt.New(t)
	trials := attempt.NewTrialRuns(300 * time.Millisecond)
	c.Assert(trials.Request(start, "service", attempt.TrialRun{Entry: "a", Number: 1}, time.Hour), qt.IsTrue)
	c.Assert(trials.Request(start.Add(time.Second), "service", attempt.TrialRun{Entry: "b", Number: 1}, time.Second), qt.IsFalse)
	c.Assert(trials.Request(start.Add(longestHold), "service", attempt.TrialRun{Entry: "b", Number: 1}, time.Second), qt.IsTrue)
}
