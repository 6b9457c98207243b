// Package fleet defines the published description of the fleet: entry VMs, services,
// backend servers and model groups, as the configuration service holds it.
package fleet

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// EntryVM is one entry VM of the published roster.
type EntryVM struct {
	VM     ident.VM     `json:"vm"`
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region"`
	// Address is the IP address and UDP port for other processes of the system.
	Address string `json:"address"`
}

// BackendServer is one published backend server of a service.
type BackendServer struct {
	VM     ident.VM     `json:"vm"`
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region"`
	// Address is the IP address and UDP port of the agent beside the backend server.
	Address string `json:"address"`
	// Capacity is the number of requests that the backend server runs at once.
	Capacity int `json:"capacity"`
	// Group is the model group of the backend server's ranks; "" outside groups.
	Group ident.Group `json:"group,omitempty"`
	// Ranks are the ranks of the group that the backend server holds.
	Ranks []ident.Rank `json:"ranks,omitempty"`
}

// Service is one model or plain service with its settings in force.
type Service struct {
	Name ident.Service `json:"name"`
	Kind template.Kind `json:"kind"`
	// OpenedAt is when the service first took requests; no run key is older.
	OpenedAt time.Time `json:"opened_at"`
	// RunKeyRetention is how long a run key is remembered.
	RunKeyRetention time.Duration `json:"run_key_retention"`
	// ChecksIssuer is true if the backend servers refuse orders and requests of unknown issuers.
	ChecksIssuer bool `json:"checks_issuer"`
	// HonoursFencing is true if the engines refuse an order that carries an old fencing number.
	HonoursFencing bool            `json:"honours_fencing"`
	Backends       []BackendServer `json:"backends"`
}

// Fleet is the published fleet at one version.
type Fleet struct {
	Version  template.Version `json:"version"`
	Entries  []EntryVM        `json:"entries"`
	Services []Service        `json:"services"`
}
