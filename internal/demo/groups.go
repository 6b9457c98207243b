package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

const (
	expertLayers = 4
	expertCount  = 32
	// In each layer, popularPercent of the tokens choose one of popularExperts consecutive
	// experts. The other tokens choose any expert of the layer.
	popularExperts = 3
	popularPercent = 50
	hundredPercent = 100
	// The index of the first popular expert grows by driftBy every driftInterval.
	driftInterval = 5 * time.Second
	driftBy       = 5
	// expertDelay is the time per step that a rank with mean load takes for its experts.
	expertDelay = time.Millisecond
)

// modelGroup is the stand-in of a model group. The share of tokens that choose an expert
// changes over time.
type modelGroup struct {
	standIn *standin.Group
	started time.Time
}

func newModelGroup(engine standin.EngineOptions, ranks int) *modelGroup {
	g := &modelGroup{started: time.Now()}
	engine.GateSteps = true
	engine.Layers = expertLayers
	engine.Experts = expertCount
	engine.ChooseExpert = g.chooseExpert
	g.standIn = standin.NewGroup(standin.GroupOptions{Ranks: ranks, Engine: engine, MapDelay: func(rank int, placed *platform.ExpertMap) time.Duration {
		return g.delay(rank, ranks, placed)
	}})
	return g
}

// groupRanks returns the number of ranks of a group.
func groupRanks(service *fleet.ServiceDocument, group ident.Group) int {
	ranks := 0
	for _, backend := range service.Backends {
		if backend.Group == group {
			ranks += len(backend.Ranks)
		}
	}
	return ranks
}

// firstPopularExpert returns the index of the first expert of a layer that is popular now.
func (g *modelGroup) firstPopularExpert(layer int) int {
	phase := int(time.Since(g.started) / driftInterval)
	return (phase*driftBy + layer) % expertCount
}

// chooseExpert returns the expert that a token chooses in a layer. The hash of the token
// determines the choice.
func (g *modelGroup) chooseExpert(layer int, tokenHash uint64) int {
	if tokenHash%hundredPercent < popularPercent {
		return (g.firstPopularExpert(layer) + int(tokenHash/hundredPercent%popularExperts)) % expertCount
	}
	return int(tokenHash / hundredPercent % expertCount)
}

// tokenShare returns the share of a layer's tokens that choose an expert, from 0 to 1.
func (g *modelGroup) tokenShare(layer, expert int) float64 {
	even := float64(hundredPercent-popularPercent) / hundredPercent / expertCount
	if (expert-g.firstPopularExpert(layer)+expertCount)%expertCount < popularExperts {
		return even + float64(popularPercent)/hundredPercent/popularExperts
	}
	return even
}

// delay returns the time per step that a rank takes for its experts.
func (g *modelGroup) delay(rank, ranks int, placed *platform.ExpertMap) time.Duration {
	load := 0.0
	for layer, held := range placed.Layers {
		for _, expert := range held[rank] {
			replicas := 0
			for _, other := range held {
				if slices.Contains(other, expert) {
					replicas++
				}
			}
			load += g.tokenShare(layer, int(expert)) / float64(replicas)
		}
	}
	relative := load * float64(ranks) / float64(len(placed.Layers))
	return time.Duration(relative * float64(expertDelay))
}

// groupOf returns the group of a VM's engine, or nil if it belongs to none.
func (c *cluster) groupOf(v *vm) *modelGroup {
	for _, service := range c.document.Fleet.Services {
		for _, backend := range service.Backends {
			if backend.VM == v.name {
				return c.groups[backend.Group]
			}
		}
	}
	return nil
}

// bytesLoaded returns the bytes of weights that the engines of the running agents have
// loaded, by group.
func (c *cluster) bytesLoaded() map[ident.Group]int64 {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	loaded := map[ident.Group]int64{}
	for _, v := range c.agents() {
		if status := v.current().Group(ctx); status != nil {
			loaded[status.Group] += status.BytesLoaded
		}
	}
	return loaded
}

// checkGroups prints the steps, maps, skew and loaded weights of each group. It checks that
// no step ran with two maps and that all ranks used the same maps.
func (c *cluster) checkGroups(report *report, out io.Writer, bytesLoaded map[ident.Group]int64) {
	var names []ident.Group
	for name := range c.groups {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		standIn := c.groups[name].standIn
		maps := standIn.MapChanges()
		steps := standIn.Report()
		fmt.Fprintf(out, "group %s: %d steps, %d maps, skew %.3f, %d MiB of weights loaded\n",
			name, steps.Steps, usedMaps(maps[0]), steps.Skew(), bytesLoaded[name]>>20)
		if steps.MixedMapSteps > 0 {
			report.addViolation("group %s ran %d steps with two maps", name, steps.MixedMapSteps)
		}
		if steps.Steps == 0 {
			report.addViolation("group %s ran no steps", name)
		}
		for rank := range maps {
			if !slices.Equal(maps[rank], maps[0]) {
				report.addViolation("group %s: maps of rank %d differ from those of rank 0: %v, %v", name, rank, maps[rank], maps[0])
			}
		}
	}
}

// usedMaps returns the number of different maps in the steps.
func usedMaps(steps []standin.MapChange) int {
	used := map[uint64]bool{}
	for _, step := range steps {
		used[step.MapVersion] = true
	}
	return len(used)
}
