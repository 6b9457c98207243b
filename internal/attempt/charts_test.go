package attempt_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/chart"
)

// TestEveryChartTransition takes each transition of both charts from each state, with only its
// own guard true. It guards against transitions that an earlier one in the chart shadows.
func TestEveryChartTransition(t *testing.T) {
	for name, vocabulary := range map[string]chart.Vocabulary{
		"runkey": attempt.KeyVocabulary(), "call": attempt.CallVocabulary(),
	} {
		loaded, err := chart.Load(charts.Files, name, vocabulary)
		qt.Assert(t, err, qt.IsNil)
		transitions := 0
		for _, state := range loaded.Spec().States {
			for _, transition := range state.On {
				step, err := loaded.Next(state.Name, transition.Event, func(guard chart.Guard) bool {
					return guard == transition.Guard
				})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, step.Ignored, qt.IsFalse)
				qt.Assert(t, step.To, qt.Equals, transition.Target, qt.Commentf("%s: %s on %s", name, state.Name, transition.Event))
				qt.Assert(t, step.Actions, qt.DeepEquals, transition.Actions)
				transitions++
			}
		}
		qt.Assert(t, transitions > 10, qt.IsTrue)
	}
}

// TestCallEndsWithOneOutcome guards against a transition that ends a call without an outcome
// or with two, or that gives an outcome to a call that stays open.
func TestCallEndsWithOneOutcome(t *testing.T) {
	loaded, err := chart.Load(charts.Files, "call", attempt.CallVocabulary())
	qt.Assert(t, err, qt.IsNil)
	for _, state := range loaded.Spec().States {
		for _, transition := range state.On {
			finishes := 0
			for _, action := range transition.Actions {
				if action == "finish-refused" || action == "finish-answered" || action == "finish-unknown" {
					finishes++
				}
			}
			want := 0
			if loaded.Final(transition.Target) {
				want = 1
			}
			qt.Assert(t, finishes, qt.Equals, want, qt.Commentf("%s on %s", state.Name, transition.Event))
		}
	}
}
