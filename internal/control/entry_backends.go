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
	// extraLifetime is how long a backend server outside the entry's subset stays leased
	// after its last use.
	extraLifetime = time.Minute
	// prefixBlocks is the number of cached blocks that are remembered of each engine.
	prefixBlocks = 2048
	// timeWeight is the weight of a new sample in the mean times of a service.
	timeWeight = 0.05
)

// backendSet holds the backend servers that the entry leases: its subset of each service,
// and for a time those that run keys needed beyond it.
type backendSet struct {
	self ident.Instance
	zone ident.Zone
	// start is when the process started.
	start    time.Time
	services map[ident.Service]*serviceState
	order    []ident.Service
	extra    map[ident.VM]time.Time
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
		self:     self,
		zone:     zone,
		start:    now,
		services: map[ident.Service]*serviceState{},
		extra:    map[ident.VM]time.Time{},
	}
}

// use takes a published fleet.
func (s *backendSet) use(published *fleet.Fleet) {
	entries := make([]membership.Member, 0, len(published.Entries))
	for _, entry := range published.Entries {
		entries = append(entries, membership.Member{VM: entry.VM, Zone: entry.Zone})
	}
	before := s.services
	s.services = make(map[ident.Service]*serviceState, len(published.Services))
	s.order = nil
	for i := range published.Services {
		service := &published.Services[i]
		state := before[service.Name]
		if state == nil {
			state = s.newService(service.Name)
		}
		state.use(s.self.VM, entries, service)
		s.services[service.Name] = state
		s.order = append(s.order, service.Name)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i] < s.order[j] })
}

func (s *backendSet) newService(name ident.Service) *serviceState {
	return &serviceState{
		name:     name,
		picker:   routing.NewPicker(routing.DefaultPolicy(routing.DefaultEstimate()), uint64(s.self.Incarnation)),
		prefixes: routing.NewPrefixIndex(s.start, prefixBlocks, routing.DefaultUnconfirmedLifetime),
		builder:  routing.NewSnapshotBuilder(nil),
	}
}

func (s *serviceState) use(self ident.VM, entries []membership.Member, service *fleet.Service) {
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

// loadReported notes that a load report of the VM contains what was dispatched before.
func (s *backendSet) loadReported(vm ident.VM) {
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

// need notes that a backend server outside the subset is used. It reports whether it was
// not leased before.
func (s *backendSet) need(now time.Time, service ident.Service, vm ident.VM) bool {
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
		if now.Sub(used) > extraLifetime {
			delete(s.extra, vm)
			changed = true
		}
	}
	return changed
}

// observe takes the times of a served request into the service's means.
func (s *serviceState) observe(answer, service time.Duration) {
	s.answerTime = smooth(s.answerTime, answer)
	s.serviceTime = smooth(s.serviceTime, service)
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(timeWeight*float64(sample-mean))
}
