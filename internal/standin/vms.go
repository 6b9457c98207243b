package standin

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// maxVMSnapshots bounds the number of snapshots that a VM list keeps.
const maxVMSnapshots = 256

// vmSnapshot is the list, before any lag, from the time at until that of the next snapshot.
type vmSnapshot struct {
	at  time.Time
	vms map[ident.VM]platform.VMState
}

// VMs is a stand-in for the platform's list of VMs. It serves the list with a delay of
// lag: clients read a change only after lag has passed. It is safe for concurrent use.
type VMs struct {
	lag time.Duration

	mu        sync.Mutex
	snapshots []vmSnapshot
}

// NewVMs returns a list that lags by the given time. It shows the given live VMs at once.
func NewVMs(lag time.Duration, live ...ident.VM) *VMs {
	vms := make(map[ident.VM]platform.VMState)
	for _, vm := range live {
		vms[vm] = platform.VMLive
	}
	return &VMs{lag: lag, snapshots: []vmSnapshot{{vms: vms}}}
}

// Set adds a VM or changes its state.
func (v *VMs) Set(vm ident.VM, state platform.VMState) {
	v.update(func(vms map[ident.VM]platform.VMState) { vms[vm] = state })
}

// Remove removes a VM from the list.
func (v *VMs) Remove(vm ident.VM) {
	v.update(func(vms map[ident.VM]platform.VMState) { delete(vms, vm) })
}

func (v *VMs) update(apply func(map[ident.VM]platform.VMState)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	vms := maps.Clone(v.snapshots[len(v.snapshots)-1].vms)
	apply(vms)
	v.snapshots = append(v.snapshots, vmSnapshot{at: time.Now(), vms: vms})
	if len(v.snapshots) > maxVMSnapshots {
		v.snapshots = v.snapshots[1:]
	}
}

// listAt returns the list that clients read at the given time, sorted by name.
func (v *VMs) listAt(now time.Time) []platform.VMStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.snapshots[0].vms
	for _, snapshot := range v.snapshots {
		if !snapshot.at.After(now.Add(-v.lag)) {
			current = snapshot.vms
		}
	}
	list := make([]platform.VMStatus, 0, len(current))
	for _, vm := range slices.Sorted(maps.Keys(current)) {
		list = append(list, platform.VMStatus{VM: vm, State: current[vm]})
	}
	return list
}

// vmListBody is the JSON form of the list.
type vmListBody struct {
	VMs []platform.VMStatus `json:"vms"`
}

// ServeHTTP serves the list.
func (v *VMs) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/v1/vms" {
		writeError(w, http.StatusNotFound, "page does not exist")
		return
	}
	writeJSON(w, http.StatusOK, vmListBody{VMs: v.listAt(time.Now())})
}
