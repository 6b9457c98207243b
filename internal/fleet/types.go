// Package fleet defines the published description of the fleet in the configuration service: entry VMs, services, backend
// servers and model groups.
package fleet

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// EntryVM is one entry VM of the published fleet.
type EntryVM struct {
	// VM is the name of the VM in the platform's list of VMs.
	VM ident.VM `json:"vm"`
	// Zone is the availability zone of the VM.
	Zone ident.Zone `json:"zone"`
	// Region is the region of the availability zone.
	Region ident.Region `json:"region"`
	// Address is the IP address and UDP port on which the entry listens for other processes of the system.
	Address string `json:"address"`
}

// BackendServer is one published backend server of a service.
type BackendServer struct {
	// VM is the name of the VM in the platform's list of VMs.
	VM ident.VM `json:"vm"`
	// Zone is the availability zone of the VM.
	Zone ident.Zone `json:"zone"`
	// Region is the region of the availability zone.
	Region ident.Region `json:"region"`
	// Address is the IP address and UDP port on which the backend server's agent listens for other processes of the system.
	Address string `json:"address"`
	// Capacity is the number of requests that the backend server can run at the same time.
	Capacity int `json:"capacity"`
	// Group is the model group of the backend server's ranks; "" if it is in no group.
	Group ident.Group `json:"group,omitempty"`
	// Ranks are the ranks of the group that run on the backend server.
	Ranks []ident.Rank `json:"ranks,omitempty"`
}

// Service is one model or plain service of an accepted fleet.
type Service struct {
	Name ident.Service `json:"name"`
	Kind template.Kind `json:"kind"`
	// OpenedAt is the time from which the service accepts requests with run keys. Earlier ones are refused, so no run key
	// was used before it.
	OpenedAt time.Time `json:"opened_at"`
	// RunKeyRetention is how long a run key and its result are kept after its run has ended, or after it became
	// unknown whether it has run.
	RunKeyRetention time.Duration `json:"run_key_retention"`
	// ChecksIssuer is true if the backend servers refuse requests and orders without the bearer credential of a known agent.
	ChecksIssuer bool `json:"checks_issuer"`
	// HonoursFencing is true if the engines refuse an order with a lower fencing number than an earlier one.
	HonoursFencing bool            `json:"honours_fencing"`
	Backends       []BackendServer `json:"backends"`
}

// Fleet is an accepted version of the published fleet.
type Fleet struct {
	Version  template.Version `json:"version"`
	Entries  []EntryVM        `json:"entries"`
	Services []Service        `json:"services"`
}
