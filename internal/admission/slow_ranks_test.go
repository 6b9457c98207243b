package admission

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// slowRanksOf returns the ranks of a group of 72 that are avoided. Each of the others has 6 streams.
func slowRanksOf(slowness map[int]float64, streams int) []int {
	engine := &routing.EngineModel{
		Slots: 10, Step: 4840 * time.Microsecond, PerWriter: 435 * time.Microsecond, PromptRate: 74800, PromptChunk: 512,
		StepsPerPass: 7, Experts: routing.ExpertLayers{Layers: 12, Experts: 144, Share: 0.85},
	}
	pace := GroupPace{Ranks: 72, Skew: 1.2, Slowness: make([]float64, 72)}
	loads := make([]int, 72)
	for rank := range loads {
		pace.Slowness[rank], loads[rank] = 1, streams
		if factor, ok := slowness[rank]; ok {
			pace.Slowness[rank] = factor
		}
	}
	var avoided []int
	for rank, slow := range (PassGate{Engine: engine, MaxEventGap: 120 * time.Millisecond}).SlowRanks(pace, loads) {
		if slow {
			avoided = append(avoided, rank)
		}
	}
	return avoided
}

// A rank at a quarter of its speed makes all passes longer than the pause that streams may have. Its streams must go to other
// ranks; at two thirds of its speed nothing is late and they must stay, since a move costs a stream its pause.
func TestRanksThatMakePassesTooLongAreAvoided(t *testing.T) {
	c := qt.New(t)
	c.Assert(slowRanksOf(map[int]float64{5: 4}, 6), qt.DeepEquals, []int{5})
	c.Assert(slowRanksOf(map[int]float64{5: 1.5}, 6), qt.IsNil)
	c.Assert(slowRanksOf(map[int]float64{5: 4, 9: 1.3, 11: 8}, 6), qt.DeepEquals, []int{5, 11})
	c.Assert(slowRanksOf(nil, 6), qt.IsNil)
}

// Many ranks turn slow while the group is nearly full: only as many may be avoided as the others have room for, the slowest
// first. Otherwise requests would be refused that can be served late.
func TestOnlyAsManyRanksAreAvoidedAsOthersHaveRoomFor(t *testing.T) {
	c := qt.New(t)
	slowness := map[int]float64{}
	for rank := range 29 {
		slowness[rank] = 12 - float64(rank)/10
	}
	c.Assert(len(slowRanksOf(slowness, 5)), qt.Equals, 29)
	avoided := slowRanksOf(slowness, 8)
	c.Assert(len(avoided) > 0 && len(avoided) < 29, qt.IsTrue, qt.Commentf("%d", len(avoided)))
	c.Assert(8*72 <= 10*(72-len(avoided)), qt.IsTrue)
	c.Assert(slices.IsSorted(avoided), qt.IsTrue)
	c.Assert(avoided[0], qt.Equals, 0, qt.Commentf("the slowest is avoided first"))
	c.Assert(slowRanksOf(slowness, 10), qt.IsNil, qt.Commentf("a full group"))
}
