package settings

import (
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Direct holds the settings of a process in a deployment where entries send requests directly to backend servers, and
// agents only observe the backend servers and send them orders. LoadSettings in package platform at the
// top of the module reads them from the platform's settings file.
type Direct struct {
	VM   ident.VM
	Zone ident.Zone
	// IP is the address of the VM. PeerPort is the UDP port on which all processes of the system listen.
	IP       string
	PeerPort int
	// Seeds are the addresses of some VMs with entries. They may be outdated.
	Seeds []netip.Addr
	// CallersAddress and ReadyAddress are the IP address and TCP port on which an entry listens for callers and for the
	// readiness checks of the platform's balancer.
	CallersAddress, ReadyAddress string
	// StoreAddress is the IP address and TCP port of the platform's key-value store.
	StoreAddress string
	// BackendAddress is the IP address and TCP port of an agent's backend server.
	BackendAddress string
	// MemoryLimit is the memory size at which the platform kills the process, in bytes; 0 if unknown.
	MemoryLimit int64
	// MaxDescriptors is the number of descriptors that the process may open; 0 if unknown.
	MaxDescriptors int
	// FirstStart is true if the whole system starts for the first time: no entry ran before.
	FirstStart bool
	// LinkRate is the rate of the VM's network link in bytes a second; 0 if unknown.
	LinkRate float64
	Bounds   DirectBounds
}

// DirectBounds holds the time limits and the retry budget that the deployment's operators set.
type DirectBounds struct {
	// Revocation is the maximum time from the revocation of a credential until all entries refuse it.
	Revocation time.Duration
	// Configuration is the maximum time from the publication of a configuration until it is in force.
	Configuration time.Duration
	// Stop is the time from SIGTERM to SIGKILL.
	Stop time.Duration
	// RepeatShare, RepeatFixed and RepeatWindow limit the repeated dispatches of all entries together: in each window of
	// RepeatWindow at most RepeatShare times the number of requests, plus RepeatFixed.
	RepeatShare, RepeatFixed float64
	RepeatWindow             time.Duration
	// Evacuation is the maximum time from the request of an evacuation until no entry sends anything new to the zone; 0 if the
	// deployment states none.
	Evacuation time.Duration
	// ColdFactor and ColdExtra bound the requests that a cold backend server gets in any one second from all entries together:
	// ColdFactor times the service's routing.DirectService.ColdRate, plus ColdExtra. There is no bound if ColdFactor is 0.
	ColdFactor, ColdExtra float64
}
