package routes

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/experiment/output"
)

var (
	name  = flag.String("experiment", "", "run this experiment and print its tables")
	seeds = flag.Int("seeds", 1, "number of seeds")
)

// TestPrintExperiment prints the tables of the experiment named by -experiment.
func TestPrintExperiment(t *testing.T) {
	for _, e := range All() {
		if e.Name != *name {
			continue
		}
		result, err := e.Run(context.Background(), experiment.Params{Seed: 1, Seeds: *seeds})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, output.Print(os.Stdout, result), qt.IsNil)
	}
}

// TestDefaultPolicyMeetsTheTarget checks that the default policy meets the target for first tokens and
// does better than two choices, with subsets and with a slow replica.
func TestDefaultPolicyMeetsTheTarget(t *testing.T) {
	var chosen, twoChoices policy
	for _, p := range policies() {
		switch p.name {
		case "default":
			chosen = p
		case "two choices":
			twoChoices = p
		}
	}
	for _, s := range setups() {
		if s.name != "many entries, subsets" && s.name != "straggler" {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			s.duration = 40 * time.Second
			figures := newWorld(s, chosen, 1).run().values(s.duration)
			baseline := newWorld(s, twoChoices, 1).run().values(s.duration)
			qt.Check(t, figures[3] >= 0.95, qt.IsTrue, qt.Commentf("share of first tokens within 0.58 s: %f", figures[3]))
			qt.Check(t, figures[1] < baseline[1], qt.IsTrue, qt.Commentf("95th percentile of first tokens: %f s, two choices %f s", figures[1], baseline[1]))
			qt.Check(t, figures[5] > baseline[5], qt.IsTrue, qt.Commentf("share of cached prompt tokens: %f, two choices %f", figures[5], baseline[5]))
		})
	}
}
