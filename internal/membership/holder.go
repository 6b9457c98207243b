package membership

import (
	"io/fs"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// States of a backend server at an entry, from the state chart charts/lease.json.
const (
	StateUnleased chart.State = "unleased"
	StateAlive    chart.State = "alive"
	// StateSuspect means that no grant was received from the agent for too long. It has nothing to do with
	// requests that are suspected of crashing a backend server.
	StateSuspect chart.State = "suspect"
	StateLeaving chart.State = "leaving"
	StateGone    chart.State = "gone"
)

// Defaults of a Holder.
const (
	// DefaultSilence is the time without a grant after which a backend server is suspect.
	DefaultSilence = 2200 * time.Millisecond
	// DefaultProbeTimeout is how long a probe over a new connection may take.
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultMaxGap is the longest time between two calls of Step that leaves leases valid.
	DefaultMaxGap = time.Second
	// retryInterval is the time after which an unanswered lease request is repeated.
	retryInterval = 300 * time.Millisecond
	// maxRetries is how many unanswered requests are repeated after retryInterval; later ones are
	// repeated after the heartbeat interval.
	maxRetries = 4
	// maxLease bounds the duration of a lease, whatever an agent grants.
	maxLease = 3 * time.Second
	// leaseMargin is subtracted from each lease to allow for clock drift between the entry and the
	// agent.
	leaseMargin = 50 * time.Millisecond
	// maxProbeBackoff is the longest time between two probes of an unresponsive backend server, and the
	// time between two lease requests to one in StateGone.
	maxProbeBackoff = 8 * time.Second
)

// HolderSettings are the settings of a Holder. A duration of 0 means its default.
type HolderSettings struct {
	Self ident.Instance
	// HeartbeatInterval is the time between lease requests to one agent.
	HeartbeatInterval time.Duration
	// Silence is the time without a grant after which a backend server is suspect.
	Silence time.Duration
	// ProbeTimeout is how long a probe over a new connection may take.
	ProbeTimeout time.Duration
	// MaxGap is the longest time between two calls of Step that leaves leases valid.
	MaxGap time.Duration
}

// ListedState is the state of a VM in the platform's list of VMs. The list may be out of date, so a VM
// that is absent from it goes to StateGone only after a probe has failed.
type ListedState uint8

// States of a VM in the platform's list.
const (
	ListedLive ListedState = iota
	ListedLeaving
	ListedAbsent
)

// HolderEvent is an event that a Holder handles.
type HolderEvent interface{ isHolderEvent() }

// BackendsChosen sets the backend servers to lease: the entry's subset.
type BackendsChosen struct{ VMs []ident.VM }

// VMListed reports the state of a VM in the platform's list.
type VMListed struct {
	VM    ident.VM
	State ListedState
}

// GrantReceived reports a grant, whether it came alone or with the answer to a dispatch.
type GrantReceived struct {
	From  ident.VM
	Grant LeaseGrant
	// NewConnection is true if the grant came over the connection opened for a probe.
	NewConnection bool
}

// LeavingReceived reports a Leaving message from an agent.
type LeavingReceived struct {
	From    ident.VM
	Leaving Leaving
}

// LoadReceived reports the load that came with an answer of a backend server.
type LoadReceived struct {
	From        ident.VM
	Incarnation ident.Incarnation
	Load        Load
}

// DispatchStarted reports that a request was sent to a backend server.
type DispatchStarted struct{ VM ident.VM }

// DispatchEnded reports that a request sent to a backend server is no longer open there.
type DispatchEnded struct{ VM ident.VM }

// DemandChanged sets how many requests the entry could keep open at a backend server.
type DemandChanged struct {
	VM     ident.VM
	Demand uint32
}

// ProbeFailed reports that the probe with the sequence number got no connection.
type ProbeFailed struct {
	VM       ident.VM
	Sequence Sequence
}

// ConfigChanged sets the version to announce in lease requests.
type ConfigChanged struct{ Version template.Version }

// HolderTick reports that time has passed. It must be sent about every 100 ms.
type HolderTick struct{}

func (BackendsChosen) isHolderEvent()  {}
func (VMListed) isHolderEvent()        {}
func (GrantReceived) isHolderEvent()   {}
func (LeavingReceived) isHolderEvent() {}
func (LoadReceived) isHolderEvent()    {}
func (DispatchStarted) isHolderEvent() {}
func (DispatchEnded) isHolderEvent()   {}
func (DemandChanged) isHolderEvent()   {}
func (ProbeFailed) isHolderEvent()     {}
func (ConfigChanged) isHolderEvent()   {}
func (HolderTick) isHolderEvent()      {}

// HolderAction is an action that a Holder returns for its caller to carry out.
type HolderAction interface{ isHolderAction() }

// SendLeaseRequest sends a lease request over the current connection.
type SendLeaseRequest struct {
	To      ident.VM
	Request LeaseRequest
}

// ProbeNewConnection opens a new connection and sends the lease request over it.
type ProbeNewConnection struct {
	To      ident.VM
	Request LeaseRequest
}

// ReplaceConnection replaces the current connection, which has become unresponsive, by that of the
// last probe. The caller must then query the state of the entry's open requests to the backend server over
// the new connection.
type ReplaceConnection struct{ To ident.VM }

// BackendChanged reports a change of a backend server's state.
type BackendChanged struct {
	VM   ident.VM
	From chart.State
	To   chart.State
}

// BackendRestarted reports that the agent runs under another incarnation. The new one answers queries
// about requests that were sent to the old one as foreign (attempt.ReplyForeign), and package attempt
// determines their outcome. The caller need only log the event.
type BackendRestarted struct {
	VM  ident.VM
	Old ident.Incarnation
	New ident.Incarnation
}

// GapDetected reports that the process was paused, and that all leases are requested again.
type GapDetected struct{ Gap time.Duration }

func (SendLeaseRequest) isHolderAction()   {}
func (ProbeNewConnection) isHolderAction() {}
func (ReplaceConnection) isHolderAction()  {}
func (BackendChanged) isHolderAction()     {}
func (BackendRestarted) isHolderAction()   {}
func (GapDetected) isHolderAction()        {}

// BackendView is the state of one backend server at an entry.
type BackendView struct {
	VM          ident.VM
	State       chart.State
	Incarnation ident.Incarnation
	Lease       LeaseNumber
	// Expires is when the lease expires on the entry's clock.
	Expires time.Time
	Credits uint32
	// Open is the number of this entry's requests that are open at the backend server.
	Open uint32
	// SinceLoad is the number of this entry's dispatches since Load was received.
	SinceLoad uint32
	Load      Load
	// LoadAt is when Load was received.
	LoadAt time.Time
	// FirstGranted is when this incarnation first granted a lease to the entry.
	FirstGranted time.Time
	Listed       ListedState
}

// Holder keeps an entry's leases. It is not safe for concurrent use.
type Holder struct {
	settings HolderSettings
	chart    *chart.Chart
	backends []*backend
	config   template.Version
	lastStep time.Time
}

// leaseVocabulary lists the guards and actions of charts/lease.json.
var leaseVocabulary = chart.Vocabulary{
	Guards:  []chart.Guard{guardProbed, guardAbsent, guardProbeHasFailed, guardOtherIncarnation},
	Actions: []chart.Action{actionPublish, actionProbe, actionRenew, actionReplace},
}

// NewHolder returns a Holder without backend servers. It fails if the state chart lease.json can't be
// loaded from charts.
func NewHolder(settings HolderSettings, charts fs.FS) (*Holder, error) {
	lease, err := chart.Load(charts, "lease", leaseVocabulary)
	if err != nil {
		return nil, err
	}
	setDefault(&settings.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&settings.Silence, DefaultSilence)
	setDefault(&settings.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&settings.MaxGap, DefaultMaxGap)
	return &Holder{settings: settings, chart: lease}, nil
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Step handles one event.
func (h *Holder) Step(now time.Time, event HolderEvent) []HolderAction {
	out := &holderActions{}
	h.checkGap(now, out)
	h.handle(now, event, out)
	return out.list
}

func (h *Holder) handle(now time.Time, event HolderEvent, out *holderActions) {
	switch event := event.(type) {
	case BackendsChosen:
		h.setBackends(now, event.VMs, out)
	case HolderTick:
		for _, b := range h.backends {
			h.tick(now, b, out)
		}
	case ConfigChanged:
		h.config = event.Version
	case VMListed:
		h.withBackend(event.VM, func(b *backend) { h.handleListed(now, b, event.State, out) })
	case GrantReceived:
		h.withBackend(event.From, func(b *backend) { h.handleGrant(now, b, event, out) })
	case LeavingReceived:
		h.withBackend(event.From, func(b *backend) { h.handleLeaving(now, b, event.Leaving.Incarnation, out) })
	case LoadReceived:
		h.withBackend(event.From, func(b *backend) { b.setLoad(now, event) })
	case DispatchStarted:
		h.withBackend(event.VM, func(b *backend) { b.view.Open++; b.view.SinceLoad++ })
	case DispatchEnded:
		h.withBackend(event.VM, func(b *backend) { b.view.Open -= min(b.view.Open, 1) })
	case DemandChanged:
		h.withBackend(event.VM, func(b *backend) { b.setDemand(event.Demand) })
	case ProbeFailed:
		h.withBackend(event.VM, func(b *backend) { h.handleProbeFailed(now, b, event.Sequence, out) })
	}
}

// Usable reports whether new requests may be sent to the backend server under its lease.
func (v BackendView) Usable(now time.Time) bool {
	return v.State == StateAlive && now.Before(v.Expires)
}

// Views appends the state of all backend servers to the list, ordered by VM.
func (h *Holder) Views(list []BackendView) []BackendView {
	for _, b := range h.backends {
		list = append(list, b.view)
	}
	return list
}

// View returns the state of one backend server; false if it is not in the subset.
func (h *Holder) View(vm ident.VM) (BackendView, bool) {
	if b := h.find(vm); b != nil {
		return b.view, true
	}
	return BackendView{}, false
}

func (h *Holder) find(vm ident.VM) *backend {
	at := sort.Search(len(h.backends), func(i int) bool { return h.backends[i].view.VM >= vm })
	if at < len(h.backends) && h.backends[at].view.VM == vm {
		return h.backends[at]
	}
	return nil
}

// withBackend calls the function if the VM is in the subset.
func (h *Holder) withBackend(vm ident.VM, do func(*backend)) {
	if b := h.find(vm); b != nil {
		do(b)
	}
}

type holderActions struct{ list []HolderAction }

func (a *holderActions) add(action HolderAction) { a.list = append(a.list, action) }
