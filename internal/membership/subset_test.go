package membership_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

func members(prefix string, count, zones int) []membership.Member {
	list := make([]membership.Member, count)
	for i := range list {
		list[i] = membership.Member{VM: ident.VM(fmt.Sprintf("%s-%d", prefix, i)), Zone: ident.Zone(fmt.Sprintf("zone-%d", i%zones))}
	}
	return list
}

func TestSubsetIsWholeSetIfSmall(t *testing.T) {
	c := qt.New(t)
	subsets := membership.Subsets(members("entry", 3, 3), members("backend", 16, 3), membership.DefaultSubsetSettings())
	for _, subset := range subsets {
		c.Check(subset, qt.HasLen, 16)
	}
}

func TestSubsetsCoverEvenly(t *testing.T) {
	settings := membership.DefaultSubsetSettings()
	for _, size := range []struct{ entries, backends, zones int }{{36, 250, 3}, {60, 833, 4}, {360, 5000, 21}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			c := qt.New(t)
			entries := members("entry", size.entries, size.zones)
			subsets := membership.Subsets(entries, members("backend", size.backends, size.zones), settings)
			holders := map[ident.VM]int{}
			smallest, largest := size.backends, 0
			for _, subset := range subsets {
				smallest, largest = min(smallest, len(subset)), max(largest, len(subset))
				for _, vm := range subset {
					holders[vm]++
				}
			}
			perBackend := settings.EntriesPerBackend(size.entries, size.backends)
			c.Assert(holders, qt.HasLen, size.backends)
			for vm, count := range holders {
				c.Assert(count, qt.Equals, perBackend, qt.Commentf("%s", vm))
			}
			mean := float64(perBackend*size.backends) / float64(size.entries)
			c.Check(float64(largest) <= 1.2*mean+1, qt.IsTrue, qt.Commentf("largest %d, mean %f", largest, mean))
			c.Check(float64(smallest) >= 0.5*mean, qt.IsTrue, qt.Commentf("smallest %d, mean %f", smallest, mean))
		})
	}
}

func TestSubsetsMixZones(t *testing.T) {
	c := qt.New(t)
	entries := members("entry", 60, 3)
	subsets := membership.Subsets(entries, members("backend", 800, 3), membership.DefaultSubsetSettings())
	zonesOf := map[ident.VM]map[ident.Zone]bool{}
	for _, entry := range entries {
		for _, vm := range subsets[entry.VM] {
			if zonesOf[vm] == nil {
				zonesOf[vm] = map[ident.Zone]bool{}
			}
			zonesOf[vm][entry.Zone] = true
		}
	}
	for vm, zones := range zonesOf {
		c.Assert(zones, qt.HasLen, 3, qt.Commentf("%s", vm))
	}
}

func TestSubsetsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := members("entry", rapid.IntRange(1, 40).Draw(t, "entries"), rapid.IntRange(1, 5).Draw(t, "zones"))
		backends := members("backend", rapid.IntRange(1, 120).Draw(t, "backends"), 3)
		settings := membership.DefaultSubsetSettings()
		before := membership.Subsets(entries, backends, settings)
		shuffled := rapid.Permutation(backends).Draw(t, "order")
		for vm, subset := range membership.Subsets(entries, shuffled, settings) {
			if fmt.Sprint(before[vm]) != fmt.Sprint(subset) {
				t.Fatalf("the order of the list changes the subset of %s", vm)
			}
		}
		holders := map[ident.VM]int{}
		for _, subset := range before {
			for _, vm := range subset {
				holders[vm]++
			}
		}
		want := settings.EntriesPerBackend(len(entries), len(backends))
		for _, backend := range backends {
			if holders[backend.VM] != want {
				t.Fatalf("%s has %d holders, want %d", backend.VM, holders[backend.VM], want)
			}
		}
	})
}

// moved counts the pairs of entry and backend server that are in only one of two assignments, without
// the pairs of the VM that was added or removed.
func moved(a, b map[ident.VM][]ident.VM, without ident.VM) int {
	pairs := map[[2]ident.VM]int{}
	for _, subsets := range []map[ident.VM][]ident.VM{a, b} {
		for entry, subset := range subsets {
			for _, vm := range subset {
				if entry != without && vm != without {
					pairs[[2]ident.VM{entry, vm}]++
				}
			}
		}
	}
	count := 0
	for _, times := range pairs {
		if times == 1 {
			count++
		}
	}
	return count
}

// Removing one VM must not reassign many other backend servers, as each new assignment needs a new
// lease.
func TestSubsetsChurnIsSmall(t *testing.T) {
	c := qt.New(t)
	entries, backends := members("entry", 60, 3), members("backend", 800, 3)
	settings := membership.DefaultSubsetSettings()
	whole := membership.Subsets(entries, backends, settings)
	pairs := 800 * settings.EntriesPerBackend(60, 800)
	withoutBackend := membership.Subsets(entries, backends[1:], settings)
	c.Check(moved(whole, withoutBackend, backends[0].VM) <= pairs/50, qt.IsTrue)
	// The pairs of a removed entry must move; few others may.
	withoutEntry := membership.Subsets(entries[1:], backends, settings)
	c.Check(moved(whole, withoutEntry, entries[0].VM) <= pairs/10, qt.IsTrue)
}

func BenchmarkSubset(b *testing.B) {
	for _, size := range []struct{ entries, backends, zones int }{{3, 19, 3}, {36, 500, 3}, {60, 833, 4}, {360, 5000, 21}} {
		b.Run(fmt.Sprintf("%dx%d", size.entries, size.backends), func(b *testing.B) {
			entries, backends := members("entry", size.entries, size.zones), members("backend", size.backends, size.zones)
			for b.Loop() {
				membership.Subset("entry-1", entries, backends, membership.DefaultSubsetSettings())
			}
		})
	}
}
