package expert

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// idleTestPass is the duration of a pass without requests on the users' deployments.
const idleTestPass = 7 * 4840 * time.Microsecond

// speedWorld runs the passes of a group whose ranks report every 100 ms, at different times, as polled by their agents.
type speedWorld struct {
	speeds *RankSpeeds
	now    time.Time
	start  time.Time
	epoch  uint64
	step   uint64
	// passEnds is the time at which the next pass begins. pass returns the duration of a pass that begins now.
	passEnds time.Time
	pass     func() time.Duration
	// pace is what each rank reports; silent ranks report nothing.
	pace   []float64
	silent []bool
	// idle ranks have no requests.
	idle    map[int]bool
	changes []SpeedChange
	// detected is the time of the first change of each rank.
	detected map[ident.Rank]time.Time
}

func newSpeedWorld(ranks int) *speedWorld {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &speedWorld{
		speeds: NewRankSpeeds(), now: start, start: start, epoch: 1, step: 100, passEnds: start, pace: make([]float64, ranks), silent: make([]bool, ranks),
	}
	w.pass = func() time.Duration { return 65 * time.Millisecond }
	for rank := range w.pace {
		w.pace[rank] = 1
	}
	return w
}

// run runs the group for a time and keeps the changes of that time.
func (w *speedWorld) run(duration time.Duration) {
	w.changes, w.detected = nil, map[ident.Rank]time.Time{}
	const tick = 5 * time.Millisecond
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(tick) {
		for !w.now.Before(w.passEnds) {
			w.step++
			w.passEnds = w.passEnds.Add(w.pass())
		}
		for rank := range w.pace {
			if elapsed := w.now.Sub(w.start) + time.Duration(rank)*7*time.Millisecond; elapsed.Round(tick)%(100*time.Millisecond) != 0 || w.silent[rank] {
				continue
			}
			w.speeds.Observe(w.now, &RankStatus{Epoch: w.epoch, Rank: ident.Rank(rank), Size: len(w.pace), Open: true, Step: w.step, Pace: w.pace[rank], Running: w.running(rank)})
		}
		for _, change := range w.speeds.Update(w.now, idleTestPass) {
			w.changes = append(w.changes, change)
			if _, found := w.detected[change.Rank]; !found {
				w.detected[change.Rank] = w.now
			}
		}
	}
}

func (w *speedWorld) running(rank int) int {
	if w.idle[rank] {
		return 0
	}
	return 5
}

// slowness returns the estimate of a rank.
func (w *speedWorld) slowness(rank int) float64 {
	return rankWeights(w.speeds.Slowness(), len(w.pace))[rank]
}

// slowDown makes a rank slow from now on, with the passes that result.
func (w *speedWorld) slowDown(rank int, factor float64) {
	w.pace[rank] = factor
	w.pass = func() time.Duration {
		return max(65*time.Millisecond, time.Duration(factor*float64(43*time.Millisecond)))
	}
}

// Guards against late detection: a rank that becomes slow, and one that recovers, must be detected within 0.3 s.
func TestSlowRankIsDetectedSoon(t *testing.T) {
	c := qt.New(t)
	for _, factor := range []float64{1.3, 2, 4, 8} {
		w := newSpeedWorld(72)
		w.run(2 * time.Second)
		c.Assert(w.speeds.Slowness(), qt.IsNil)
		onset := w.now
		w.slowDown(40, factor)
		w.run(2 * time.Second)
		c.Check(w.detected[40].Sub(onset) <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("factor %v detected after %v", factor, w.detected[40].Sub(onset)))
		c.Check(w.slowness(40), qt.Equals, factor)
		for rank := range w.pace {
			c.Check(w.slowness(rank) == 1, qt.Equals, rank != 40)
		}
		// The first change comes at 1.9 times, the ratio of the passes before; each further one at 1.5 times the last.
		c.Check(len(w.changes) <= 4, qt.IsTrue, qt.Commentf("%d changes are reported", len(w.changes)))
		onset = w.now
		w.slowDown(40, 1)
		w.run(time.Second)
		c.Check(w.detected[40].Sub(onset) <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("recovery from %v detected after %v", factor, w.detected[40].Sub(onset)))
		c.Check(w.speeds.Slowness(), qt.IsNil)
		c.Check(w.changes, qt.HasLen, 1)
	}
}

// Guards against a healthy rank that reports itself as slow and is believed: the estimate is at most the measured pass over
// the pass without requests.
func TestFalsePaceIsBoundedByPasses(t *testing.T) {
	c := qt.New(t)
	w := newSpeedWorld(72)
	w.pace[3] = 8
	w.run(3 * time.Second)
	bound := float64(65*time.Millisecond) / float64(idleTestPass)
	c.Assert(w.slowness(3) > 1 && w.slowness(3) <= 1.1*bound, qt.IsTrue, qt.Commentf("estimate %v, bound %v", w.slowness(3), bound))
	// A single long pass must not raise the bound.
	long := true
	w.pass = func() time.Duration {
		if long {
			long = false
			return 250 * time.Millisecond
		}
		return 65 * time.Millisecond
	}
	worst := 0.0
	for range 60 {
		w.run(10 * time.Millisecond)
		worst = max(worst, w.slowness(3))
	}
	c.Assert(worst <= 1.1*bound, qt.IsTrue, qt.Commentf("estimate %v during a long pass, bound %v", worst, bound))
}

// Guards against a single long pass, or a single report of a high pace, that makes a rank slow.
func TestSingleLongPassDoesNotChangeTheEstimate(t *testing.T) {
	c := qt.New(t)
	w := newSpeedWorld(32)
	passes := 0
	w.pass = func() time.Duration {
		if passes++; passes%20 == 0 {
			return 400 * time.Millisecond
		}
		return 65 * time.Millisecond
	}
	w.run(10 * time.Second)
	c.Assert(w.changes, qt.HasLen, 0)
	w.pace[7] = 4
	w.run(100 * time.Millisecond)
	w.pace[7] = 1
	w.run(time.Second)
	c.Assert(w.changes, qt.HasLen, 0)
}

// Guards against a change of the estimate, with a plan and an early report, for each pace that scatters about the threshold.
func TestPacesNearTheThresholdChangeTheEstimateOnce(t *testing.T) {
	c := qt.New(t)
	w := newSpeedWorld(72)
	random, changes := rand.New(rand.NewPCG(29, 30)), 0
	for range 200 {
		for rank := range 8 {
			w.pace[rank] = 1.08 + 0.08*random.Float64()
		}
		w.run(50 * time.Millisecond)
		changes += len(w.changes)
	}
	c.Check(changes <= 8, qt.IsTrue, qt.Commentf("%d changes of eight ranks", changes))
	w.pace[0] = 1.16
	w.run(time.Second)
	c.Check(w.slowness(0), qt.Equals, 1.16)
	w.pace[0] = 1.06
	w.run(time.Second)
	c.Check(w.slowness(0), qt.Equals, 1.06)
	w.pace[0] = 1.04
	w.run(time.Second)
	c.Check(w.slowness(0), qt.Equals, 1.0)
	w.pace[0] = 1.14
	w.run(time.Second)
	c.Check(w.slowness(0), qt.Equals, 1.0)
}

// Guards against a long pass that counts for each of the passes that are reported together with it.
func TestLongPassReportedWithOthersCountsOnce(t *testing.T) {
	c := qt.New(t)
	for others := range 4 {
		speeds, now, step := NewRankSpeeds(), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), uint64(100)
		observe := func(elapsed time.Duration, passes int) {
			now, step = now.Add(elapsed), step+uint64(passes)
			speeds.Observe(now, &RankStatus{Epoch: 1, Rank: 0, Size: 2, Open: true, Step: step, Pace: 1, Running: 5})
			speeds.Update(now, idleTestPass)
		}
		for range 5 {
			observe(65*time.Millisecond, 1)
		}
		observe(time.Second+time.Duration(others)*65*time.Millisecond, 1+others)
		c.Check(speeds.Pass(now), qt.Equals, 65*time.Millisecond, qt.Commentf("%d other passes", others))
		observe(65*time.Millisecond, 1)
		c.Check(speeds.Pass(now), qt.Equals, 65*time.Millisecond, qt.Commentf("%d other passes", others))
	}
}

// Guards against a panic, an estimate that is not a number, and passes that are not measured any more after a single report
// with wrong values, whether it is the first report or a later one.
func TestImplausibleStatusesAreIgnored(t *testing.T) {
	c := qt.New(t)
	status := func(change func(*RankStatus)) *RankStatus {
		s := &RankStatus{Epoch: 1, Rank: 3, Size: 72, Open: true, Step: 100, Pace: 1, Running: 5}
		change(s)
		return s
	}
	wrong := []*RankStatus{
		status(func(s *RankStatus) { s.Size = -1 }), status(func(s *RankStatus) { s.Size = math.MaxInt }),
		status(func(s *RankStatus) { s.Rank = 72 }), status(func(s *RankStatus) { s.Rank = -1 }),
		status(func(s *RankStatus) { s.Pace = math.NaN() }), status(func(s *RankStatus) { s.Pace = math.Inf(1) }),
		status(func(s *RankStatus) { s.Step = math.MaxUint64 }),
	}
	for i, bad := range wrong {
		for _, warmUp := range []time.Duration{0, time.Second} {
			w := newSpeedWorld(72)
			w.run(warmUp)
			valid := w.speeds.Observe(w.now, bad)
			first := warmUp == 0 && bad.Step != 100
			c.Check(valid, qt.Equals, first, qt.Commentf("status %d after %v", i, warmUp))
			w.run(time.Second)
			c.Check(w.changes, qt.HasLen, 0, qt.Commentf("status %d after %v", i, warmUp))
			w.slowDown(40, 4)
			w.run(time.Second)
			c.Check(w.slowness(40), qt.Equals, 4.0, qt.Commentf("status %d after %v", i, warmUp))
		}
	}
	leader := NewLockstepLeader(time.Unix(0, 0), 0, 72, 1, 1e6)
	bad := status(func(s *RankStatus) { s.Size, s.Epoch = -1, 2 })
	leader.ReceiveStatus(time.Unix(1, 0), *bad)
	c.Check(leader.Epoch(), qt.Equals, uint64(1))
}

// Guards against an estimate that outlives its reports, the epoch or the process of the rank.
func TestSpeedsStartOver(t *testing.T) {
	c := qt.New(t)
	slow := func() *speedWorld {
		w := newSpeedWorld(32)
		w.run(time.Second)
		w.slowDown(9, 4)
		w.run(2 * time.Second)
		c.Assert(w.slowness(9), qt.Equals, 4.0)
		return w
	}
	w := slow()
	w.silent[9] = true
	w.run(1100 * time.Millisecond)
	c.Check(w.slowness(9), qt.Equals, 1.0, qt.Commentf("a stale pace counts as 1"))
	w = slow()
	w.epoch, w.step = 2, 1
	w.run(50 * time.Millisecond)
	c.Check(w.slowness(9), qt.Equals, 1.0, qt.Commentf("a new epoch starts over"))
	w = slow()
	at := w.now.Add(500 * time.Millisecond)
	w.speeds.Observe(at, &RankStatus{Epoch: 1, Rank: 9, Size: 32, Step: 3, Pace: 4})
	w.speeds.Update(at, idleTestPass)
	c.Check(w.slowness(9), qt.Equals, 1.0, qt.Commentf("a rank that restarted starts over"))
	w = slow()
	w.speeds.Observe(w.now, &RankStatus{Epoch: 0, Rank: 9, Size: 32, Step: 3, Pace: 1})
	w.speeds.Observe(w.now, &RankStatus{Epoch: 1, Rank: 9, Size: 32, Step: w.step - 5, Pace: 1})
	w.speeds.Update(w.now, idleTestPass)
	c.Check(w.slowness(9), qt.Equals, 4.0, qt.Commentf("delayed reports are ignored"))
}

// Guards against a new leader that needs long for its estimate: it has no reports of earlier passes.
func TestNewLeaderRebuildsTheEstimate(t *testing.T) {
	c := qt.New(t)
	w := newSpeedWorld(72)
	w.slowDown(40, 4)
	w.run(3 * time.Second)
	w.speeds = NewRankSpeeds()
	w.run(500 * time.Millisecond)
	c.Assert(w.slowness(40) > 1, qt.IsTrue)
}

// Guards against estimates out of bounds and panics for any sequence of reports, in any order and with any values.
func TestSpeedsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speeds := NewRankSpeeds()
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		// longest is the longest pass with requests of each rank since its start, over the pass without requests.
		longest := map[int]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			status := RankStatus{
				Epoch: uint64(rapid.IntRange(1, 2).Draw(t, "epoch")), Rank: ident.Rank(rapid.IntRange(-1, 4).Draw(t, "rank")), Size: rapid.IntRange(3, 4).Draw(t, "size"),
				Step: uint64(rapid.IntRange(0, 50).Draw(t, "step")), Pace: rapid.Float64Range(-1, 100).Draw(t, "pace"),
				Running: rapid.IntRange(0, 1).Draw(t, "running"),
			}
			startsOver := status.Epoch > speeds.epoch || status.Epoch == speeds.epoch && len(speeds.ranks) != status.Size
			former := slices.Clone(speeds.ranks)
			if valid := speeds.Observe(now, &status); valid && startsOver {
				clear(longest)
			} else if impossible := status.Rank < 0 || int(status.Rank) >= status.Size; valid == impossible {
				t.Fatalf("rank %d of %d: valid %v", status.Rank, status.Size, valid)
			}
			speeds.Update(now, idleTestPass)
			pass := speeds.Pass(now)
			current := max(1, float64(pass)/float64(idleTestPass))
			for rank := range speeds.ranks {
				if rank < len(former) && speeds.ranks[rank].step < former[rank].step {
					delete(longest, rank) // the rank restarted
				}
				if pass > 0 && speeds.ranks[rank].busyReports > 0 {
					longest[rank] = max(longest[rank], current)
				}
			}
			for rank, slowness := range speeds.Slowness() {
				bound, hadRequests := longest[rank]
				switch {
				case speeds.ranks[rank].busyReports > recentPasses:
					bound = current
				case !hadRequests && pass > 0 && len(speeds.ranks[rank].recent) > 0:
					bound = slices.Min(speeds.ranks[rank].recent)
				case !hadRequests:
					bound = 1
				}
				if slowness < 1 || slowness > bound {
					t.Fatalf("rank %d has a slowness of %v, bound %v", rank, slowness, bound)
				}
			}
		}
	})
}

// Guards against a new leader, or a restart of the rank, after which a slow rank without requests counts as healthy and gets
// new streams. Its bound must hold again once it has requests.
func TestSlowRankWithoutRequestsIsSlowForANewLeader(t *testing.T) {
	c := qt.New(t)
	w := newSpeedWorld(72)
	w.pace[40] = 4
	w.idle = map[int]bool{40: true}
	w.run(time.Second)
	c.Check(w.slowness(40), qt.Equals, 4.0)
	// The rank starts again and reports its first pass twice, later than a delayed report would arrive.
	at := w.now.Add(restartReportGap)
	for range paceConfirmations {
		w.speeds.Observe(at, &RankStatus{Epoch: 1, Rank: 40, Size: 72, Step: 1, Pace: 4})
	}
	w.speeds.Update(at, idleTestPass)
	c.Check(w.slowness(40), qt.Equals, 4.0)
	w.idle = nil
	w.run(time.Second)
	bound := float64(65*time.Millisecond) / float64(idleTestPass)
	c.Check(w.slowness(40) <= 1.1*bound, qt.IsTrue, qt.Commentf("estimate %v, bound %v", w.slowness(40), bound))
}

// Guards against new streams at a slow rank whose streams have ended: passes get short again then, although the rank is as slow
// as before.
func TestSlowRankWithoutRequestsStaysSlow(t *testing.T) {
	c := qt.New(t)
	w := newSpeedWorld(72)
	w.slowDown(40, 4)
	w.run(time.Second)
	before := w.slowness(40)
	c.Assert(before > 1, qt.IsTrue)
	w.idle = map[int]bool{40: true}
	w.pass = func() time.Duration { return 50 * time.Millisecond }
	w.run(5 * time.Second)
	c.Assert(w.slowness(40) >= before, qt.IsTrue, qt.Commentf("%.2f, before %.2f", w.slowness(40), before))
}
