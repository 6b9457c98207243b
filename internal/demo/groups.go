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
	// hotExperts take hotTokens out of hundredTokens tokens of a layer.
	hotExperts    = 3
	hotTokens     = 50
	hundredTokens = 100
	// driftTime is how long the same experts stay hot; driftBy is how far they move then.
	driftTime = 5 * time.Second
	driftBy   = 5
	// expertDelay is the time that a rank with the mean load computes its experts in a step.
	expertDelay = time.Millisecond
)

// modelGroup is the stand-in of a model group whose experts change in popularity.
type modelGroup struct {
	ranks   *standin.Group
	started time.Time
}

func newModelGroup(engine standin.EngineOptions, ranks int) *modelGroup {
	g := &modelGroup{started: time.Now()}
	engine.GateSteps = true
	engine.Layers = expertLayers
	engine.Experts = expertCount
	engine.ChooseExpert = g.chooseExpert
	g.ranks = standin.NewGroup(standin.GroupOptions{Ranks: ranks, Engine: engine, MapDelay: func(rank int, placed *platform.ExpertMap) time.Duration {
		return g.delay(rank, ranks, placed)
	}})
	return g
}

func groupRanks(service *fleet.ServiceDocument, group ident.Group) int {
	ranks := 0
	for _, backend := range service.Backends {
		if backend.Group == group {
			ranks += len(backend.Ranks)
		}
	}
	return ranks
}

// hot returns the first hot expert of a layer now.
func (g *modelGroup) hot(layer int) int {
	phase := int(time.Since(g.started) / driftTime)
	return (phase*driftBy + layer) % expertCount
}

func (g *modelGroup) chooseExpert(layer int, token uint64) int {
	if token%hundredTokens < hotTokens {
		return (g.hot(layer) + int(token/hundredTokens%hotExperts)) % expertCount
	}
	return int(token / hundredTokens % expertCount)
}

// popularity returns the part of a layer's tokens that choose an expert.
func (g *modelGroup) popularity(layer, expert int) float64 {
	even := float64(hundredTokens-hotTokens) / hundredTokens / expertCount
	if (expert-g.hot(layer)+expertCount)%expertCount < hotExperts {
		return even + float64(hotTokens)/hundredTokens/hotExperts
	}
	return even
}

// delay returns how long a rank computes its experts in a step.
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
			load += g.popularity(layer, int(expert)) / float64(replicas)
		}
	}
	relative := load * float64(ranks) / float64(len(placed.Layers))
	return time.Duration(relative * float64(expertDelay))
}

// groupOf returns the group of a VM's engine; nil outside groups.
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

// bytesLoaded returns the size of the weights that the present agents had loaded, by group.
func (c *cluster) bytesLoaded() map[ident.Group]int64 {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	moved := map[ident.Group]int64{}
	for _, v := range c.agents() {
		if status := v.current().Group(ctx); status != nil {
			moved[status.Group] += status.BytesLoaded
		}
	}
	return moved
}

// checkGroups prints what each group did and checks that no step ran with two maps.
func (c *cluster) checkGroups(report *report, out io.Writer, moved map[ident.Group]int64) {
	var names []ident.Group
	for name := range c.groups {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		ranks := c.groups[name].ranks
		maps := ranks.StepMaps()
		steps := ranks.Report()
		fmt.Fprintf(out, "group %s: %d steps, %d maps, skew %.3f, %d MiB of weights loaded\n",
			name, steps.Steps, usedMaps(maps[0]), steps.Skew(), moved[name]>>20)
		if steps.MixedMapSteps > 0 {
			report.find("group %s ran %d steps with two maps", name, steps.MixedMapSteps)
		}
		if steps.Steps == 0 {
			report.find("group %s ran no steps", name)
		}
		for rank := range maps {
			if !slices.Equal(maps[rank], maps[0]) {
				report.find("group %s: rank %d used other maps than rank 0: %v, %v", name, rank, maps[rank], maps[0])
			}
		}
	}
}

func usedMaps(steps []standin.StepMap) int {
	used := map[uint64]bool{}
	for _, step := range steps {
		used[step.MapVersion] = true
	}
	return len(used)
}
