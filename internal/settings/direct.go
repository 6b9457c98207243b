package settings

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Direct are the settings of a process of a deployment in which entries send requests straight to
// backend servers and agents stay beside the path.
type Direct struct {
	VM   ident.VM
	Zone ident.Zone
	// IP is the address of the VM, PeerPort the UDP port that all processes of the system use.
	IP       string
	PeerPort int
	// CallersAddress and ReadyAddress are an entry's listeners for callers and for the balancer's checks.
	CallersAddress, ReadyAddress string
	// StoreAddress is the IP address and TCP port of the platform's store.
	StoreAddress string
	// BackendAddress is the IP address and TCP port of the backend server beside an agent.
	BackendAddress string
	// MemoryLimit is the size at which the process is killed, in bytes; 0 if none is known.
	MemoryLimit int64
	Bounds      DirectBounds
}

// DirectBounds are the bounds that the deployment's operators set.
type DirectBounds struct {
	// Revocation is the time after which a credential that was taken away must be refused.
	Revocation time.Duration
	// Configuration is the time after which a configuration must be in force.
	Configuration time.Duration
	// Stop is the time from SIGTERM to SIGKILL.
	Stop time.Duration
	// RepeatShare, RepeatFixed and RepeatWindow bound the repeats of all entries in a window: a share of
	// the requests plus a fixed number.
	RepeatShare, RepeatFixed float64
	RepeatWindow             time.Duration
}
