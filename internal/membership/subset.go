package membership

import (
	"cmp"
	"slices"
	"sort"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Member is an entry or a backend server with its zone.
type Member struct {
	VM   ident.VM
	Zone ident.Zone
}

// SubsetSettings are the settings of Subsets. With the zero value each backend server goes to one
// entry.
type SubsetSettings struct {
	// MinEntries is the least number of entries that lease a backend server.
	MinEntries int
	// MinBackends is the least number of backend servers of a service that an entry should lease.
	MinBackends int
	// Balance bounds an entry's subset to this multiple of the mean size; below 1 means no bound.
	Balance float64
}

// DefaultSubsetSettings returns the default settings, which apply to each service separately.
func DefaultSubsetSettings() SubsetSettings {
	return SubsetSettings{MinEntries: 3, MinBackends: 10, Balance: 1.1}
}

// Subsets assigns the backend servers of one service to the entries. Each backend server is assigned
// to the same number of entries, spread evenly over the entries' zones, and the subsets are of nearly
// equal size. All entries lease all backend servers of a small service. Every process computes the
// same subsets from the same lists; adding or removing a VM changes few other assignments.
func Subsets(entries, backends []Member, settings SubsetSettings) map[ident.VM][]ident.VM {
	assignment := newAssignment(entries, backends, settings)
	for _, backend := range assignment.backends {
		assignment.assign(backend)
	}
	return assignment.subsets()
}

// Subset returns the backend servers that one entry leases, ordered by VM.
func Subset(self ident.VM, entries, backends []Member, settings SubsetSettings) []ident.VM {
	return Subsets(entries, backends, settings)[self]
}

// EntriesPerBackend returns how many entries lease a backend server. It grows in steps, so that adding
// or removing a VM seldom changes it.
func (s SubsetSettings) EntriesPerBackend(entries, backends int) int {
	if entries == 0 || backends == 0 {
		return 0
	}
	needed := (s.MinBackends*entries + backends - 1) / backends
	needed = max(needed, s.MinEntries, 1)
	step := 1
	for step < needed {
		step = max(step+1, step*5/4)
	}
	return min(step, entries)
}

// extraCandidates is how many entries of a zone are considered beyond the zone's share, in place of
// entries whose subset is full.
const extraCandidates = 6

type hashedMember struct {
	Member
	hash uint64
	// size is the length of assigned.
	size     int
	assigned []ident.VM
}

type assignment struct {
	zones             [][]*hashedMember
	zoneHash          []uint64
	entries           []*hashedMember
	backends          []*hashedMember
	entriesPerBackend int
	limit             int
	// candidatesPerZone is how many entries of a zone are considered for one backend server.
	candidatesPerZone int
}

func newAssignment(entries, backends []Member, settings SubsetSettings) *assignment {
	a := &assignment{entries: hashMembers(entries), backends: hashMembers(backends)}
	a.entriesPerBackend = settings.EntriesPerBackend(len(a.entries), len(a.backends))
	a.limit = len(a.backends)
	if settings.Balance >= 1 && len(a.entries) > 0 {
		mean := float64(a.entriesPerBackend*len(a.backends)) / float64(len(a.entries))
		a.limit = min(a.limit, int(mean*settings.Balance)+1)
	}
	// Assign in the order of hashes. In the order of names, a change of the lists would always reassign
	// the servers with the last names, as most subsets are full when those are assigned.
	sort.Slice(a.backends, func(i, j int) bool { return a.backends[i].hash < a.backends[j].hash })
	a.groupByZone()
	a.setCandidatesPerZone()
	return a
}

func (a *assignment) setCandidatesPerZone() {
	quota := a.entriesPerBackend/max(len(a.zones), 1) + 1
	a.candidatesPerZone = quota + extraCandidates
	for _, zone := range a.zones {
		// The rest of the share of a zone that has too few entries goes to the other zones.
		if len(zone) < quota {
			a.candidatesPerZone = a.entriesPerBackend + extraCandidates
		}
	}
}

func hashMembers(members []Member) []*hashedMember {
	hashed := make([]*hashedMember, 0, len(members))
	seen := make(map[ident.VM]bool, len(members))
	for _, member := range members {
		if !seen[member.VM] {
			seen[member.VM] = true
			hashed = append(hashed, &hashedMember{Member: member, hash: hashName(string(member.VM))})
		}
	}
	sort.Slice(hashed, func(i, j int) bool { return hashed[i].VM < hashed[j].VM })
	return hashed
}

func (a *assignment) groupByZone() {
	index := map[ident.Zone]int{}
	for _, entry := range a.entries {
		at, known := index[entry.Zone]
		if !known {
			at = len(a.zones)
			index[entry.Zone] = at
			a.zones = append(a.zones, nil)
			a.zoneHash = append(a.zoneHash, hashName("zone/"+string(entry.Zone)))
		}
		a.zones[at] = append(a.zones[at], entry)
	}
}

// candidate is a member with its rendezvous score: an entry that a backend server may be assigned to, or a
// peer that a process may select as a neighbour.
type candidate struct {
	member *hashedMember
	score  uint64
}

// zoneCandidates are the candidates of a zone for one backend server, highest score first.
type zoneCandidates struct {
	zone   int
	score  uint64
	list   []candidate
	cursor int
	// computed is true once list has been computed.
	computed bool
}

// assign assigns a backend server to entries: to the candidate with the highest score of each zone
// first, then to the second of each zone, and so on. Entries whose subset is full are skipped unless
// there are too few others.
func (a *assignment) assign(backend *hashedMember) {
	zones := a.zonesFor(backend)
	chosen := 0
	for _, limit := range []int{a.limit, len(a.backends)} {
		for found := true; found && chosen < a.entriesPerBackend; {
			found = false
			for i := range zones {
				if chosen == a.entriesPerBackend {
					break
				}
				if entry := a.nextEntry(backend, &zones[i], limit); entry != nil {
					entry.size++
					entry.assigned = append(entry.assigned, backend.VM)
					chosen++
					found = true
				}
			}
		}
		for i := range zones {
			zones[i].cursor = 0
		}
	}
}

// zonesFor returns the zones ordered by their rendezvous score for the backend server, highest first.
func (a *assignment) zonesFor(backend *hashedMember) []zoneCandidates {
	zones := make([]zoneCandidates, len(a.zones))
	for i := range a.zones {
		zones[i] = zoneCandidates{zone: i, score: score(backend.hash, a.zoneHash[i])}
	}
	slices.SortFunc(zones, func(x, y zoneCandidates) int { return cmp.Compare(y.score, x.score) })
	return zones
}

// nextEntry returns the next entry of a zone whose subset is below the limit; nil if there is none.
func (a *assignment) nextEntry(backend *hashedMember, zone *zoneCandidates, limit int) *hashedMember {
	if !zone.computed {
		zone.list = highestScored(backend.hash, a.zones[zone.zone], a.candidatesPerZone)
		zone.computed = true
	}
	for zone.cursor < len(zone.list) {
		entry := zone.list[zone.cursor].member
		zone.cursor++
		last := len(entry.assigned) - 1
		taken := last >= 0 && entry.assigned[last] == backend.VM
		if entry.size < limit && !taken {
			return entry
		}
	}
	return nil
}

// highestScored returns the members with the highest rendezvous scores for a key, highest first.
func highestScored(key uint64, members []*hashedMember, count int) []candidate {
	best := make([]candidate, 0, min(count, len(members))+1)
	for _, member := range members {
		weight := score(key, member.hash)
		if len(best) == count && weight <= best[count-1].score {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].score < weight {
			at--
		}
		best = append(best, candidate{})
		copy(best[at+1:], best[at:])
		best[at] = candidate{member: member, score: weight}
		best = best[:min(len(best), count)]
	}
	return best
}

func (a *assignment) subsets() map[ident.VM][]ident.VM {
	subsets := make(map[ident.VM][]ident.VM, len(a.entries))
	for _, entry := range a.entries {
		sort.Slice(entry.assigned, func(i, j int) bool { return entry.assigned[i] < entry.assigned[j] })
		subsets[entry.VM] = entry.assigned
	}
	return subsets
}
