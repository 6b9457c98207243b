package control

import (
	"slices"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// extraLeaseTime is how long a backend server outside the entry's subset stays leased
	// after its last use.
	extraLeaseTime = time.Minute
	// maxPrefixBlocks is the number of cached blocks that are remembered of each engine.
	maxPrefixBlocks = 2048
	// meanSampleWeight is the weight of a new sample in the mean times of a service.
	meanSampleWeight = 0.05
)

// backendSet holds the backend servers that the entry leases: its subset of each service,
// and for a time those that run keys needed beyond it.
type backendSet struct {
	self ident.Instance
	zone ident.Zone
	// startedAt is when the process started.
	startedAt    time.Time
	services     map[ident.Service]*serviceState
	serviceNames []ident.Service
	extra        map[ident.VM]time.Time
}

// serviceState is what the entry keeps of one service.
type serviceState struct {
	name     ident.Service
	backends map[ident.VM]fleet.BackendServer
	subset   []ident.VM
	picker   *routing.Picker
	prefixes *routing.PrefixIndex
	builder  *routing.SnapshotBuilder
	// serviceTime and answerTime are the mean times that a request holds a slot and until
	// its answer starts; 0 before the first sample.
	serviceTime time.Duration
	answerTime  time.Duration
	slots       int
}

func newBackendSet(now time.Time, self ident.Instance, zone ident.Zone) backendSet {
	return backendSet{
		self:      self,
		zone:      zone,
		startedAt: now,
		services:  map[ident.Service]*serviceState{},
		extra:     map[ident.VM]time.Time{},
	}
}

// applyFleet takes a published fleet.
func (s *backendSet) applyFleet(published *fleet.Fleet) {
	entries := make([]membership.Member, 0, len(published.Entries))
	for _, entry := range published.Entries {
		entries = append(entries, membership.Member{VM: entry.VM, Zone: entry.Zone})
	}
	before := s.services
	s.services = make(map[ident.Service]*serviceState, len(published.Services))
	s.serviceNames = nil
	for i := range published.Services {
		service := &published.Services[i]
		state := before[service.Name]
		if state == nil {
			state = s.newService(service.Name)
		}
		state.applyService(s.self.VM, entries, service)
		s.services[service.Name] = state
		s.serviceNames = append(s.serviceNames, service.Name)
	}
	sort.Slice(s.serviceNames, func(i, j int) bool { return s.serviceNames[i] < s.serviceNames[j] })
}

func (s *backendSet) newService(name ident.Service) *serviceState {
	return &serviceState{
		name:     name,
		picker:   routing.NewPicker(routing.DefaultPolicy(routing.DefaultEstimate()), uint64(s.self.Incarnation)),
		prefixes: routing.NewPrefixIndex(s.startedAt, maxPrefixBlocks, routing.DefaultUnconfirmedLifetime),
		builder:  routing.NewSnapshotBuilder(nil),
	}
}

func (s *serviceState) applyService(self ident.VM, entries []membership.Member, service *fleet.Service) {
	backends := make([]membership.Member, 0, len(service.Backends))
	s.backends = make(map[ident.VM]fleet.BackendServer, len(service.Backends))
	for _, backend := range service.Backends {
		backends = append(backends, membership.Member{VM: backend.VM, Zone: backend.Zone})
		s.backends[backend.VM] = backend
	}
	s.subset = membership.Subset(self, entries, backends, membership.DefaultSubsetSettings())
	s.prefixes.Keep(s.subset)
	s.builder.SetBackends(service.Backends)
}

// recordLoadReport notes that a load report of the VM contains what was dispatched before.
func (s *backendSet) recordLoadReport(vm ident.VM) {
	for _, service := range s.services {
		if _, ok := service.backends[vm]; ok {
			service.builder.RecordLoadReport(vm)
		}
	}
}

// chosen returns all backend servers to lease, in the order of their VMs.
func (s *backendSet) chosen() []ident.VM {
	chosen := map[ident.VM]bool{}
	for _, service := range s.services {
		for _, vm := range service.subset {
			chosen[vm] = true
		}
	}
	for vm := range s.extra {
		chosen[vm] = true
	}
	vms := make([]ident.VM, 0, len(chosen))
	for vm := range chosen {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
	return vms
}

// recordUse notes that a backend server outside the subset is used. It reports whether it was
// not leased before.
func (s *backendSet) recordUse(now time.Time, service ident.Service, vm ident.VM) bool {
	state := s.services[service]
	if state == nil || slices.Contains(state.subset, vm) {
		return false
	}
	_, known := s.extra[vm]
	s.extra[vm] = now
	return !known
}

// expireExtra drops backend servers that were not needed for a time.
func (s *backendSet) expireExtra(now time.Time) bool {
	changed := false
	for vm, used := range s.extra {
		if now.Sub(used) > extraLeaseTime {
			delete(s.extra, vm)
			changed = true
		}
	}
	return changed
}

// recordTimes takes the times of a served request into the service's means.
func (s *serviceState) recordTimes(answer, service time.Duration) {
	s.answerTime = updateMean(s.answerTime, answer)
	s.serviceTime = updateMean(s.serviceTime, service)
}

func updateMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(meanSampleWeight*float64(sample-mean))
}
