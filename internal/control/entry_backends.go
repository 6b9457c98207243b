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
	// extraLeaseTime is how long a backend server outside the entry's subset stays leased after
	// its last use.
	extraLeaseTime = time.Minute
	// maxPrefixBlocks is the number of cached prompt blocks that the prefix index keeps per
	// engine.
	maxPrefixBlocks = 2048
	// meanSampleWeight is the weight of a new sample in the moving means of a service.
	meanSampleWeight = 0.05
	// answerTimeHalfLife is the time without a served request after which the mean of the answer times has halved.
	answerTimeHalfLife = time.Second
)

// backendSet holds the backend servers that the entry leases: its subset of each service, and
// for extraLeaseTime those outside the subset that own run keys of its requests.
type backendSet struct {
	self ident.Instance
	zone ident.Zone
	// startedAt is when the process started.
	startedAt time.Time
	services  map[ident.Service]*serviceState
	// serviceNames are the names of the services, sorted.
	serviceNames []ident.Service
	// extra holds the last use of each leased backend server outside the subsets.
	extra map[ident.VM]time.Time
}

// serviceState is the entry's state of one service.
type serviceState struct {
	name     ident.Service
	backends map[ident.VM]fleet.BackendServer
	subset   []ident.VM
	picker   *routing.Picker
	prefixes *routing.PrefixIndex
	builder  *routing.SnapshotBuilder
	// serviceTime is the mean time that a request occupies a slot, answerTime the mean time
	// until its answer starts; 0 before the first sample.
	serviceTime time.Duration
	answerTime  time.Duration
	// timesAt is when a request was last added to them.
	timesAt time.Time
	// slots is the number of open requests that the valid leases allow.
	slots int
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

// applyFleet applies a published fleet. The state of services that it still contains is kept.
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

// recordLoadReport records that a load report of the VM was received. The report includes all
// earlier dispatches, so that they are no longer added to the reported load.
func (s *backendSet) recordLoadReport(vm ident.VM) {
	for _, service := range s.services {
		if _, ok := service.backends[vm]; ok {
			service.builder.RecordLoadReport(vm)
		}
	}
}

// chosen returns all backend servers to lease, sorted by VM.
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

// recordUse records the use of a backend server outside the subset. It reports whether the
// server has to be leased first.
func (s *backendSet) recordUse(now time.Time, service ident.Service, vm ident.VM) bool {
	state := s.services[service]
	if state == nil || slices.Contains(state.subset, vm) {
		return false
	}
	_, known := s.extra[vm]
	s.extra[vm] = now
	return !known
}

// expireExtra drops the backend servers outside the subsets that were not used for
// extraLeaseTime. It reports whether there were any.
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

// recordTimes adds the times of a served request to the means of the service.
func (s *serviceState) recordTimes(now time.Time, answer, service time.Duration) {
	s.answerTime = updateMean(s.expectedAnswerTime(now), answer)
	s.serviceTime = updateMean(s.serviceTime, service)
	s.timesAt = now
}

// expectedAnswerTime returns the mean of the answer times, which halves for each answerTimeHalfLife without a served request. Requests whose
// deadline it exceeds are refused: if it stayed as it is after a slow period, none would be served any more that could correct it.
func (s *serviceState) expectedAnswerTime(now time.Time) time.Duration {
	halvings := now.Sub(s.timesAt) / answerTimeHalfLife
	return s.answerTime >> min(max(halvings, 0), 62)
}

// updateMean returns the exponential moving mean with a new sample.
func updateMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(meanSampleWeight*float64(sample-mean))
}
