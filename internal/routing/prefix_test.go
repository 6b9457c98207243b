package routing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// chain returns the blocks of a prompt. Prompts with different numbers have no blocks in common.
func chain(prompt, length int) []routing.Block {
	blocks := make([]routing.Block, length)
	for i := range blocks {
		blocks[i] = routing.Block(prompt*1000 + i)
	}
	return blocks
}

func TestPrefixIndexMatch(t *testing.T) {
	const vm = ident.VM("backend-00")
	prompt := chain(1, 8)
	store := func(sequence uint64, blocks []routing.Block) routing.CacheEvent {
		return routing.CacheEvent{VM: vm, Incarnation: 1, Sequence: sequence, Stored: blocks}
	}
	cases := []struct {
		name string
		run  func(x *routing.PrefixIndex)
		// after is the time between the events and the match.
		after time.Duration
		want  int
	}{
		{"empty index", func(*routing.PrefixIndex) {}, 0, 0},
		{"stored", func(x *routing.PrefixIndex) { x.Apply(now, store(1, prompt[:5])) }, time.Hour, 5},
		{"evicted", func(x *routing.PrefixIndex) {
			x.Apply(now, store(1, prompt))
			x.Apply(now, routing.CacheEvent{VM: vm, Incarnation: 1, Sequence: 2, Evicted: prompt[3:]})
		}, 0, 3},
		{"cleared", func(x *routing.PrefixIndex) {
			x.Apply(now, store(1, prompt))
			x.Apply(now, routing.CacheEvent{VM: vm, Incarnation: 1, Sequence: 2, Cleared: true})
		}, 0, 0},
		{"late event is dropped", func(x *routing.PrefixIndex) {
			x.Apply(now, routing.CacheEvent{VM: vm, Incarnation: 1, Sequence: 2, Evicted: prompt})
			x.Apply(now, store(1, prompt))
		}, 0, 0},
		{"duplicate event", func(x *routing.PrefixIndex) {
			x.Apply(now, store(1, prompt))
			x.Apply(now, routing.CacheEvent{VM: vm, Incarnation: 1, Sequence: 2, Evicted: prompt})
			x.Apply(now, store(1, prompt))
		}, 0, 0},
		{"kept for a while after a gap", func(x *routing.PrefixIndex) {
			x.Apply(now, store(1, prompt))
			x.Apply(now, store(3, nil))
		}, time.Second, 8},
		{"unconfirmed after a gap", func(x *routing.PrefixIndex) {
			x.Apply(now, store(1, prompt))
			x.Apply(now, store(3, prompt[:2]))
		}, time.Minute, 2},
		{"event without a number", func(x *routing.PrefixIndex) {
			x.Apply(now, store(0, nil))
			x.Apply(now, store(1, prompt))
		}, 0, 8},
		{"restarted engine", func(x *routing.PrefixIndex) {
			x.Apply(now, store(1, prompt))
			x.Apply(now, routing.CacheEvent{VM: vm, Incarnation: 2, Sequence: 1, Stored: prompt[:1]})
		}, 0, 1},
		{"expected after a dispatch", func(x *routing.PrefixIndex) { x.Expect(now, vm, prompt) }, time.Second, 8},
		{"expected but never confirmed", func(x *routing.PrefixIndex) { x.Expect(now, vm, prompt) }, time.Minute, 0},
		{"expected, then confirmed", func(x *routing.PrefixIndex) {
			x.Expect(now, vm, prompt)
			x.Apply(now, store(1, prompt[:6]))
		}, time.Minute, 6},
		{"removed with its backend server", func(x *routing.PrefixIndex) {
			x.Apply(now, store(1, prompt))
			x.Keep(nil)
		}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			index := routing.NewPrefixIndex(now, 1024, 0)
			tc.run(index)
			qt.Assert(t, index.Match(now.Add(tc.after), vm, prompt), qt.Equals, tc.want)
			qt.Assert(t, index.Match(now.Add(tc.after), "backend-01", prompt), qt.Equals, 0)
		})
	}
}

// TestGapsAreCounted checks that each jump in the sequence counts once, and that a late event adds no gap.
func TestGapsAreCounted(t *testing.T) {
	index := routing.NewPrefixIndex(now, 1024, 0)
	for _, sequence := range []uint64{1, 2, 5, 4, 9} {
		index.Apply(now, routing.CacheEvent{VM: "backend-00", Incarnation: 1, Sequence: sequence})
	}
	qt.Assert(t, index.Gaps(), qt.Equals, uint64(2))
}

// TestPrefixIndexNeverExceedsCache checks that without gaps the index never reports more blocks than the engine has cached,
// also when more blocks were stored than the index can hold.
func TestPrefixIndexNeverExceedsCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := routing.NewPrefixIndex(now, 64, 0)
		cached := map[int]int{}
		for sequence := range uint64(rapid.IntRange(1, 60).Draw(t, "events")) {
			prompt := rapid.IntRange(0, 30).Draw(t, "prompt")
			length := rapid.IntRange(0, 12).Draw(t, "length")
			event := routing.CacheEvent{VM: "backend-00", Incarnation: 1, Sequence: sequence + 1}
			blocks := chain(prompt, 12)
			if length > cached[prompt] {
				event.Stored = blocks[cached[prompt]:length]
			} else {
				event.Evicted = blocks[length:cached[prompt]]
			}
			cached[prompt] = length
			index.Apply(now, event)
			for other, held := range cached {
				if match := index.Match(now, "backend-00", chain(other, 12)); match > held {
					t.Fatalf("the index reports %d blocks of prompt %d, the engine has cached %d", match, other, held)
				}
			}
		}
	})
}
