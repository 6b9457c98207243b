package membership

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// AcceptFunc validates a configuration and returns its version. It must be a pure function of the
// value, so that all processes accept and reject the same configurations.
type AcceptFunc func(value []byte) (template.Version, error)

// Layout is how the configuration service stores the configuration.
type Layout uint8

// Layouts of the configuration in the configuration service.
const (
	// SingleValue means that the key holds the whole configuration.
	SingleValue Layout = iota
	// ManifestOfParts means that the key holds a manifest in JSON, see PublishedManifest.
	ManifestOfParts
)

// ConfigSettings are the settings of a ConfigNode. A number or duration of 0 means its default.
type ConfigSettings struct {
	Self ident.VM
	Zone ident.Zone
	// Agent is true for an agent, see Peer.
	Agent bool
	// Key is the key of the configuration in the configuration service.
	Key    string
	Layout Layout
	Accept AcceptFunc
	// Seed seeds the random choice of peers; it should differ between processes.
	Seed uint64
	// Readers is the number of processes in a zone that watch the configuration service.
	Readers int
	// Fanout is the largest number of neighbours that a new configuration is offered to, and the largest
	// number of neighbours in its zone that a reader sends each periodic ConfigDigest to. Neighbours are
	// the few peers that this process regularly sends ConfigDigest messages to, see neighboursInZone.
	Fanout int
	// DigestInterval is the time between two rounds of periodic ConfigDigest messages to peers.
	DigestInterval time.Duration
	// AskTimeout is how long a starting process waits for the answers of its peers.
	AskTimeout time.Duration
	// MaxGap is the longest time between two calls of Step that is not a gap. After a gap the process
	// asks its peers again.
	MaxGap time.Duration
}

// Peer is another process that takes part in the distribution.
type Peer struct {
	VM   ident.VM
	Zone ident.Zone
	// Agent is true for an agent. Agents are the preferred readers of the configuration service, as
	// entries have more work with leases.
	Agent bool
}

// CallID identifies one call to the configuration service.
type CallID uint64

// ServiceCall is one call to the configuration service.
type ServiceCall struct {
	ID  CallID
	Key string
	// Watch makes the call return only when the revision of the key differs from After, or Wait has
	// passed. A call without Watch returns at once.
	Watch bool
	After uint64
	Wait  time.Duration
	// NewConnection makes the caller open a new connection for the call, because the last call got no
	// answer and its connection may be broken.
	NewConnection bool
}

// ConfigEvent is an event that a ConfigNode handles.
type ConfigEvent interface{ isConfigEvent() }

// PeersChanged sets the other processes: until a configuration is in force, the initial peers from the
// process's own settings; then all processes that the configuration lists.
type PeersChanged struct{ Peers []Peer }

// ConfigReceived reports a message from a peer.
type ConfigReceived struct {
	From    ident.VM
	Message ConfigMessage
}

// VersionReceived reports the version that a peer announced in a lease message.
type VersionReceived struct {
	From    ident.VM
	Version template.Version
}

// ServiceAnswered reports the answer to a call to the configuration service.
type ServiceAnswered struct {
	Call CallID
	// Revision is the service's revision of the key.
	Revision uint64
	// Unchanged is true if a watch ended without a change.
	Unchanged bool
	Value     []byte
}

// ServiceFailed reports that a call to the configuration service failed or found no value.
type ServiceFailed struct {
	Call CallID
	// Reason is the text of the error. ConfigNode does not use it.
	Reason string
}

// ConfigTick reports that time has passed. It must be sent about every 100 ms.
type ConfigTick struct{}

func (PeersChanged) isConfigEvent()    {}
func (ConfigReceived) isConfigEvent()  {}
func (VersionReceived) isConfigEvent() {}
func (ServiceAnswered) isConfigEvent() {}
func (ServiceFailed) isConfigEvent()   {}
func (ConfigTick) isConfigEvent()      {}

// ConfigAction is an action that a ConfigNode returns for its caller to carry out.
type ConfigAction interface{ isConfigAction() }

// SendConfig sends a message to a peer.
type SendConfig struct {
	To      ident.VM
	Message ConfigMessage
}

// CallService calls the configuration service. The caller reports the result as ServiceAnswered or
// ServiceFailed.
type CallService struct{ Call ServiceCall }

// PutInForce puts a configuration in force. Its stamp is greater than that of the configuration
// before.
type PutInForce struct {
	Stamp Stamp
	Value []byte
}

// ReportRefused reports a configuration that failed validation; the one in force stays.
type ReportRefused struct {
	// Digest is the digest of the whole value, except for a malformed manifest, where it is that of the
	// manifest, and for a part that is too large, where it is that of the part.
	Digest Digest
	Reason string
}

// ReportOlder reports that the configuration service returned an older configuration than the one in
// force.
type ReportOlder struct {
	Offered Stamp
	InForce Stamp
}

// ReadinessChanged reports whether the process may serve: a configuration is in force, and the process has
// finished asking its peers. It asks them at its start, after a gap, and when it gets its first peers. It
// finishes when the newest configuration that it then knows of is in force or no peer can send it, at the
// latest catchUpTimeout after the answers.
type ReadinessChanged struct{ Ready bool }

func (SendConfig) isConfigAction()       {}
func (CallService) isConfigAction()      {}
func (PutInForce) isConfigAction()       {}
func (ReportRefused) isConfigAction()    {}
func (ReportOlder) isConfigAction()      {}
func (ReadinessChanged) isConfigAction() {}

// ConfigStatus is the state of a process's configuration, for operators.
type ConfigStatus struct {
	InForce Stamp
	// Newest is the newest stamp that the process or a peer is known to have. It is set back to InForce
	// when that configuration is refused or no peer could send it.
	Newest Stamp
	Ready  bool
	// Reader is true while the process watches the configuration service.
	Reader bool
	// ServiceCalls counts the calls to the configuration service.
	ServiceCalls uint64
	// ServiceFailures counts failed calls, calls for the configuration's key without an answer, and
	// downloads that failed. Reads of parts that timed out or returned another digest are not counted.
	ServiceFailures uint64
	// Refused is the last configuration that failed validation; nil if none.
	Refused *ReportRefused
}
