package control

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// The states, events and actions of charts/process.json. The action report-cut logs how many
// calls or runs a forced stop aborts.
const (
	stateStarting chart.State = "starting"
	stateServing  chart.State = "serving"
	stateDraining chart.State = "draining"
	stateStopped  chart.State = "stopped"

	eventReady   chart.Event = "ready"
	eventStop    chart.Event = "stop"
	eventDrained chart.Event = "drained"
	eventForce   chart.Event = "force"

	actionAnnounceReady   chart.Action = "announce-ready"
	actionAnnounceLeaving chart.Action = "announce-leaving"
	actionReportCut       chart.Action = "report-cut"
	actionExit            chart.Action = "exit"
)

// ProcessVocabulary returns the actions that charts/process.json may use.
func ProcessVocabulary() chart.Vocabulary {
	return chart.Vocabulary{
		Actions: []chart.Action{actionAnnounceReady, actionAnnounceLeaving, actionReportCut, actionExit},
	}
}

// base is the state that entries and agents share: the configuration in force, the state of the
// process and the pending actions.
type base struct {
	self Self
	// config fetches configurations and distributes them to the peers. configuration is the one
	// in force; nil before the first.
	config        *membership.ConfigNode
	configuration *published.Configuration
	stateChart    *chart.Chart
	state         chart.State
	// route is the connection on which the current message was received.
	route   Route
	actions []Action
	// openWork returns the number of calls or runs that a forced stop aborts.
	openWork func() int
	// accepted is the last accepted configuration, whether or not it is in force.
	accepted       *published.Configuration
	acceptedDigest membership.Digest
	// nextGaugesAt is when metric values are next published.
	nextGaugesAt time.Time
	// unansweredSince is when the oldest unanswered configuration request was sent; zero if
	// there is none.
	unansweredSince time.Time
}

// configReplyTimeout is how long configuration requests may be unanswered before new ones are
// sent over new connections.
const configReplyTimeout = 250 * time.Millisecond

func newBase(self Self, agent bool) (*base, error) {
	stateChart, err := chart.Load(charts.Files, "process", ProcessVocabulary())
	if err != nil {
		return nil, err
	}
	b := &base{self: self, stateChart: stateChart, state: stateChart.Initial()}
	b.config = membership.NewConfigNode(membership.ConfigSettings{
		Self:   self.Instance.VM,
		Zone:   self.Zone,
		Agent:  agent,
		Layout: self.Layout,
		Key:    published.Key,
		Accept: b.accept,
		Seed:   uint64(self.Instance.Incarnation),
	})
	return b, nil
}

// emit appends an action to the pending ones.
func (b *base) emit(action Action) {
	b.actions = append(b.actions, action)
}

// gaugeInterval is the time between two Gauges actions.
const gaugeInterval = time.Second

// publishGauges publishes the metrics of the configuration and those of the role (entry or
// agent), at most once per gaugeInterval.
func (b *base) publishGauges(now time.Time, role ...Gauge) {
	if now.Before(b.nextGaugesAt) {
		return
	}
	b.nextGaugesAt = now.Add(gaugeInterval)
	status := b.config.Status()
	gauges := []Gauge{
		{Name: "config_version", Value: float64(status.InForce.Version)},
		{Name: "config_service_calls", Value: float64(status.ServiceCalls)},
		{Name: "config_service_failures", Value: float64(status.ServiceFailures)},
	}
	b.emit(Gauges{Gauges: append(gauges, role...)})
}

// drainActions returns the pending actions and clears them and the current route.
func (b *base) drainActions() []Action {
	actions := b.actions
	b.actions = nil
	b.route = nil
	return actions
}

// recordEvent emits an event for the timeline and the log.
func (b *base) recordEvent(kind string, severity Severity, about ident.VM, fields ...Field) {
	b.emit(TimelineEvent{Kind: kind, Severity: severity, About: about, Fields: fields})
}

// addSeeds adds the seeds as peers, so that the process requests a configuration from them
// before it serves.
func (b *base) addSeeds(now time.Time) (inForce bool) {
	return b.stepConfig(now, membership.PeersChanged{Peers: b.self.Seeds})
}

// stepConfig passes an event to the configuration node. It reports whether another
// configuration came into force.
func (b *base) stepConfig(now time.Time, event membership.ConfigEvent) (inForce bool) {
	for _, action := range b.config.Step(now, event) {
		switch action := action.(type) {
		case membership.SendConfig:
			b.emit(Send{To: action.To, Body: configBody(action.Message), NewConnection: b.needsNewConnection(now, action.Message)})
		case membership.CallService:
			b.emit(ReadConfig{Call: action.Call})
		case membership.PutInForce:
			inForce = b.putInForce(action) || inForce
		case membership.ReportRefused:
			b.recordEvent("config-refused", SeverityWarning, "", Field{"reason", action.Reason},
				Field{"digest", fmt.Sprintf("%016x", uint64(action.Digest))})
		case membership.ReportOlder:
			b.recordEvent("config-older", SeverityWarning, "", versionField("offered", action.Offered),
				versionField("in-force", action.InForce))
		case membership.ReadinessChanged:
			if action.Ready {
				b.fire(eventReady)
			}
		}
	}
	if inForce {
		b.stepConfig(now, membership.PeersChanged{Peers: b.peers()})
	}
	return inForce
}

func versionField(key string, stamp membership.Stamp) Field {
	return Field{key, strconv.FormatUint(uint64(stamp.Version), 10)}
}

// accept validates a configuration value and keeps the last accepted one. Usually that one is
// put in force next, so it need not be parsed again.
func (b *base) accept(value []byte) (template.Version, error) {
	configuration, faults := published.Accept(value)
	if len(faults) > 0 {
		return 0, faults
	}
	b.accepted = configuration
	b.acceptedDigest = membership.DigestOf(value)
	return configuration.Version, nil
}

// putInForce puts an accepted configuration in force and publishes it.
func (b *base) putInForce(action membership.PutInForce) bool {
	if b.accepted == nil || b.accepted.Version != action.Stamp.Version || b.acceptedDigest != action.Stamp.Digest {
		if _, err := b.accept(action.Value); err != nil {
			panic("invariant: accepted configuration failed validation: " + err.Error())
		}
	}
	configuration := b.keepFleet(b.accepted)
	b.configuration = configuration
	b.recordEvent("configuration-in-force", SeverityInfo, "", versionField("version", action.Stamp))
	b.emit(InForce{Configuration: configuration})
	return true
}

// keepFleet keeps the fleet in force if the new configuration has a different fleet without a
// higher version. Otherwise processes that received both fleets could use different ones.
func (b *base) keepFleet(next *published.Configuration) *published.Configuration {
	if b.configuration == nil || next.Fleet.Version > b.configuration.Fleet.Version {
		return next
	}
	if reflect.DeepEqual(next.Fleet, b.configuration.Fleet) {
		return next
	}
	b.recordEvent("fleet-version-not-raised", SeverityWarning, "",
		Field{"offered", strconv.FormatUint(uint64(next.Fleet.Version), 10)},
		Field{"in-force", strconv.FormatUint(uint64(b.configuration.Fleet.Version), 10)})
	kept := *next
	kept.Fleet = b.configuration.Fleet
	return &kept
}

// peers returns all other processes of the published fleet.
func (b *base) peers() []membership.Peer {
	var peers []membership.Peer
	add := func(vm ident.VM, zone ident.Zone, agent bool) {
		if vm != b.self.Instance.VM {
			peers = append(peers, membership.Peer{VM: vm, Zone: zone, Agent: agent})
		}
	}
	fleet := b.configuration.Fleet
	for i := range fleet.Entries {
		add(fleet.Entries[i].VM, fleet.Entries[i].Zone, false)
	}
	for i := range fleet.Services {
		for _, backend := range fleet.Services[i].Backends {
			add(backend.VM, backend.Zone, true)
		}
	}
	return peers
}

// fire passes an event to the state chart of the process and carries out the chart's actions.
func (b *base) fire(event chart.Event) {
	step, err := b.stateChart.Next(b.state, event, nil)
	if err != nil {
		panic("invariant: " + err.Error())
	}
	if step.Ignored {
		return
	}
	b.state = step.To
	b.recordEvent("process-"+string(step.To), SeverityInfo, "")
	for _, action := range step.Actions {
		switch action {
		case actionAnnounceReady:
			b.emit(Readiness{Ready: true})
		case actionAnnounceLeaving:
			b.emit(Readiness{Ready: false})
		case actionReportCut:
			b.recordEvent("stop-forced", SeverityWarning, "", Field{"cuts", strconv.Itoa(b.openWork())})
		case actionExit:
			b.emit(Exit{Reason: string(event)})
		}
	}
}

// needsNewConnection reports whether a message must be sent over a new connection. This is so
// for configuration requests while none has been answered for configReplyTimeout, because an
// established connection may lose all messages without an error.
func (b *base) needsNewConnection(now time.Time, message membership.ConfigMessage) bool {
	switch message.(type) {
	case membership.ConfigFetch, membership.ConfigChunksRequest:
	default:
		return false
	}
	if b.unansweredSince.IsZero() {
		b.unansweredSince = now
	}
	return now.Sub(b.unansweredSince) >= configReplyTimeout
}

// recordConfigReply clears unansweredSince if the message answers a configuration request.
func (b *base) recordConfigReply(message membership.ConfigMessage) {
	switch message.(type) {
	case membership.ConfigManifest, membership.ConfigChunks:
		b.unansweredSince = time.Time{}
	}
}

// configMessage returns the body as a message of the configuration distribution, if it is one.
func configMessage(body any) (membership.ConfigMessage, bool) {
	switch body := body.(type) {
	case *membership.ConfigDigest:
		return *body, true
	case *membership.ConfigFetch:
		return *body, true
	case *membership.ConfigManifest:
		return *body, true
	case *membership.ConfigChunksRequest:
		return *body, true
	case *membership.ConfigChunks:
		return *body, true
	}
	return nil, false
}

// configBody returns a pointer to the message, the form of all message bodies.
func configBody(message membership.ConfigMessage) any {
	switch message := message.(type) {
	case membership.ConfigDigest:
		return &message
	case membership.ConfigFetch:
		return &message
	case membership.ConfigManifest:
		return &message
	case membership.ConfigChunksRequest:
		return &message
	case membership.ConfigChunks:
		return &message
	}
	panic("invariant: unknown configuration message")
}

// handleShared handles events that entries and agents handle alike. It reports whether
// the event was one of them and whether another configuration came into force.
func (b *base) handleShared(now time.Time, event Event) (handled, inForce bool) {
	switch event := event.(type) {
	case ConfigAnswered:
		return true, b.stepConfig(now, event.Answer)
	case ConfigFailed:
		return true, b.stepConfig(now, event.Failure)
	case MessageReceived:
		message, ok := configMessage(event.Body)
		if !ok {
			return false, false
		}
		b.recordConfigReply(message)
		return true, b.stepConfig(now, membership.ConfigReceived{From: event.From.VM, Message: message})
	case StopForced:
		b.fire(eventForce)
		return true, false
	}
	return false, false
}

// ConfigStatus returns the state of the configuration in this process.
func (b *base) ConfigStatus() membership.ConfigStatus {
	return b.config.Status()
}

// State returns the state of the process in charts/process.json.
func (b *base) State() string {
	return string(b.state)
}

// claimedSender returns the sender that a message names. It covers only message types that name
// their sender and are never forwarded by another process.
func claimedSender(body any) (ident.Instance, bool) {
	switch body := body.(type) {
	case *attempt.Claim:
		return body.Claimant, true
	case *attempt.ClaimAnswer:
		return body.Entry, true
	case *attempt.PeerQuestion:
		return body.Asker, true
	case *attempt.PeerAnswer:
		return body.Entry, true
	case *attempt.Reply:
		return body.Agent, true
	case *attempt.CrashReport:
		return body.Agent, true
	case *attempt.ReleaseRequest:
		return body.Asker, true
	case *attempt.TicketRequest:
		return body.Entry, true
	case *attempt.KeyQuestion:
		return body.Entry, true
	case *attempt.Revoke:
		return body.ID.Entry, true
	case *attempt.Query:
		return body.ID.Entry, true
	case *attempt.Cancel:
		return body.ID.Entry, true
	case *admission.LimitRequest:
		return body.From, true
	case *admission.LimitGrant:
		return body.From, true
	}
	return ident.Instance{}, false
}
