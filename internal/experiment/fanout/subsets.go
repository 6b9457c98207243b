package fanout

import (
	"context"
	"fmt"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// assigner is one way to assign subsets; assign returns the backend servers of each entry.
type assigner struct {
	name   string
	assign func(entries, backends []membership.Member) map[ident.VM][]ident.VM
}

func assigners() []assigner {
	settings := membership.DefaultSubsetSettings()
	unbounded := settings
	unbounded.Balance = 0
	return []assigner{
		{"backend servers choose, bounded", func(e, b []membership.Member) map[ident.VM][]ident.VM {
			return membership.Subsets(e, b, settings)
		}},
		{"backend servers choose", func(e, b []membership.Member) map[ident.VM][]ident.VM {
			return membership.Subsets(e, b, unbounded)
		}},
		{"entries choose", func(e, b []membership.Member) map[ident.VM][]ident.VM {
			return entriesChoose(e, b, settings.EntriesPerBackend(len(e), len(b)))
		}},
		{"slices of a shuffled list", func(e, b []membership.Member) map[ident.VM][]ident.VM {
			return slicesOfShuffled(e, b, settings.EntriesPerBackend(len(e), len(b)))
		}},
	}
}

// entriesChoose assigns to each entry the backend servers with the greatest weights of rendezvous hashing.
func entriesChoose(entries, backends []membership.Member, perBackend int) map[ident.VM][]ident.VM {
	count := perBackend * len(backends) / len(entries)
	subsets := map[ident.VM][]ident.VM{}
	for _, entry := range entries {
		list := make([]ident.VM, len(backends))
		weights := make(map[ident.VM]membership.Digest, len(backends))
		for i, backend := range backends {
			list[i] = backend.VM
			weights[backend.VM] = membership.DigestOf([]byte(entry.VM + "/" + backend.VM))
		}
		slices.SortFunc(list, func(a, b ident.VM) int {
			if weights[a] > weights[b] {
				return -1
			}
			return 1
		})
		subsets[entry.VM] = list[:count]
	}
	return subsets
}

// slicesOfShuffled divides a shuffled list of the backend servers evenly among the entries. It does so
// perBackend times, each time with another order.
func slicesOfShuffled(entries, backends []membership.Member, perBackend int) map[ident.VM][]ident.VM {
	subsets := map[ident.VM][]ident.VM{}
	for round := range perBackend {
		list := make([]ident.VM, len(backends))
		for i, backend := range backends {
			list[i] = backend.VM
		}
		slices.SortFunc(list, func(a, b ident.VM) int {
			if membership.DigestOf(fmt.Append(nil, round, a)) < membership.DigestOf(fmt.Append(nil, round, b)) {
				return -1
			}
			return 1
		})
		for i, vm := range list {
			entry := entries[i*len(entries)/len(list)].VM
			subsets[entry] = append(subsets[entry], vm)
		}
	}
	return subsets
}

func runSubsets(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title:  "Subsets: evenness, and pairs that move when one VM goes, beyond its own",
		Labels: []string{"way", "entries x backends"},
		Columns: []experiment.Column{
			{Name: "backend servers without entry", Unit: "share"},
			{Name: "entries of a backend server, least to most", Unit: "ratio"},
			{Name: "subset, largest to mean", Unit: "ratio"},
			{Name: "subset, mean", Unit: "backend servers"},
			{Name: "moved when a backend server goes", Unit: "pairs in 1000"},
			{Name: "moved when an entry goes", Unit: "pairs in 1000"},
		},
	}
	sizes := []struct{ entries, backends, zones int }{{3, 19, 3}, {36, 250, 3}, {60, 833, 4}}
	done := 0
	for _, a := range assigners() {
		for _, size := range sizes {
			var samples [][]float64
			for i := range params.Seeds {
				if err := ctx.Err(); err != nil {
					return experiment.Result{}, err
				}
				prefix := fmt.Sprint(params.Seed + uint64(i))
				entries := members("e"+prefix, size.entries, size.zones)
				backends := members("b"+prefix, size.backends, size.zones)
				samples = append(samples, subsetFigures(a, entries, backends))
				done++
				params.ReportProgress(done, len(assigners())*len(sizes)*params.Seeds)
			}
			label := fmt.Sprintf("%dx%d", size.entries, size.backends)
			table.Rows = append(table.Rows, experiment.Row{Labels: []string{a.name, label}, Cells: cells(samples)})
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

func members(prefix string, count, zones int) []membership.Member {
	list := make([]membership.Member, count)
	for i := range list {
		list[i] = membership.Member{VM: ident.VM(fmt.Sprintf("%s-%d", prefix, i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%zones))}
	}
	return list
}

func subsetFigures(a assigner, entries, backends []membership.Member) []float64 {
	whole := a.assign(entries, backends)
	holders := map[ident.VM]int{}
	largest, pairs := 0, 0
	for _, subset := range whole {
		largest = max(largest, len(subset))
		pairs += len(subset)
		for _, vm := range subset {
			holders[vm]++
		}
	}
	least, most := len(entries), 0
	for _, backend := range backends {
		least, most = min(least, holders[backend.VM]), max(most, holders[backend.VM])
	}
	mean := float64(pairs) / float64(len(entries))
	// Up to five VMs of each kind are removed, one at a time.
	const removals = 5
	movedByBackends, movedByEntries := 0, 0
	for i := range min(removals, len(entries)-1) {
		movedByBackends += moved(whole, a.assign(entries, without(backends, i)), backends[i].VM)
		movedByEntries += moved(whole, a.assign(without(entries, i), backends), entries[i].VM)
	}
	thousandths := 1000 / float64(pairs) / float64(min(removals, len(entries)-1))
	return []float64{
		float64(len(backends)-len(holders)) / float64(len(backends)),
		float64(least) / float64(most),
		float64(largest) / mean,
		mean,
		float64(movedByBackends) * thousandths,
		float64(movedByEntries) * thousandths,
	}
}

func without(list []membership.Member, i int) []membership.Member {
	return append(slices.Clone(list[:i]), list[i+1:]...)
}

// moved counts the pairs of entry and backend server that are lost or new, without the pairs of the
// removed VM.
func moved(before, after map[ident.VM][]ident.VM, removed ident.VM) int {
	pairs := map[[2]ident.VM]int{}
	for entry, subset := range before {
		for _, vm := range subset {
			if entry != removed && vm != removed {
				pairs[[2]ident.VM{entry, vm}]++
			}
		}
	}
	for entry, subset := range after {
		for _, vm := range subset {
			pairs[[2]ident.VM{entry, vm}]--
		}
	}
	count := 0
	for _, difference := range pairs {
		if difference != 0 {
			count++
		}
	}
	return count
}
