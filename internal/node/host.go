package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

// Errors returned by Authorize for refused peers.
var (
	errNotInFleet         = errors.New("the VM is not in the published fleet")
	errZoneOrRoleMismatch = errors.New("the zone or role of the VM differs from the published fleet")
)

const (
	// maxSendsInFlight bounds the number of concurrent sends; more are rejected and counted.
	maxSendsInFlight = 1024
	// vmListInterval is the time between two reads of the platform's list of VMs.
	vmListInterval = 5 * time.Second
	// keysInterval is the time between two reloads of the key files.
	keysInterval = 10 * time.Second
)

// Machine is the control state of a process: a state machine without I/O.
type Machine interface {
	// Step processes an event and returns the actions to execute. It is called on the control
	// thread only.
	Step(now time.Time, event control.Event) []control.Action
}

// Role executes the actions that are specific to entries or agents.
type Role interface {
	// Execute executes an action. It is called on the control thread and must not block.
	Execute(action control.Action)
	// UseConfiguration sets the configuration for the goroutines that serve traffic.
	UseConfiguration(configuration *published.Configuration)
	// SetReady sets whether the process accepts calls.
	SetReady(ready bool)
	// ServeCall serves a call stream of another process.
	ServeCall(peer wire.Identity, call *wire.Call)
	// Start starts the role's background goroutines. Run calls it.
	Start()
}

// task is an element of the control thread's queue: an event, or a function that inspects the
// machine.
type task struct {
	event   control.Event
	inspect func()
}

// ConfigService is the platform's configuration service with control over its connections.
type ConfigService interface {
	platform.ConfigService
	// CloseIdle closes the idle connections, so that the next call opens a new one.
	CloseIdle()
}

// Config configures a host.
type Config struct {
	Settings *settings.Settings
	Role     settings.Role
	Self     ident.Instance
	Keys     *wire.Keys
	Log      *logrus.Entry
	Metrics  *Metrics
	Service  ConfigService
	VMs      platform.VMList
	// Network opens sockets.
	Network network.Network
	// WrapSocket wraps the UDP socket for fault injection; nil leaves it unwrapped.
	WrapSocket func(net.PacketConn) net.PacketConn
}

// Host runs the control thread of a process and all I/O that entries and agents share.
type Host struct {
	config    Config
	codec     *wire.Codec
	machine   Machine
	role      Role
	loop      *Loop[task]
	transport *wire.Transport
	directory *Directory
	clock     *timeline.Clock
	events    *timeline.Buffer
	// sendSlots has an element for each send in flight.
	sendSlots chan struct{}
	// exit receives the reason why the process ends.
	exit chan string
	// started is closed when machine and role are set.
	started    chan struct{}
	ready      atomic.Bool
	goroutines sync.WaitGroup
	// ctx is cancelled when the process ends.
	ctx  context.Context
	stop context.CancelFunc
}

// NewHost returns a host that listens for connections of other processes.
func NewHost(config Config) (*Host, error) {
	codec, err := NewCodec()
	if err != nil {
		return nil, err
	}
	h := &Host{
		config:    config,
		codec:     codec,
		directory: NewDirectory(config.Settings.Peer.Seeds),
		clock:     timeline.NewClock(config.Self),
		sendSlots: make(chan struct{}, maxSendsInFlight),
		exit:      make(chan string, 1),
		started:   make(chan struct{}),
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.events = timeline.NewBuffer(config.Self, h.clock, timelineCapacity)
	h.loop = NewLoop(control.TickInterval, h.runTask, func(now time.Time) { h.step(now, control.Tick{}) })
	h.transport, err = wire.Listen(wire.Config{
		Address:         config.Settings.Peer.Address,
		Self:            config.Self,
		Keys:            config.Keys,
		Codec:           codec,
		MaxMessageBytes: config.Settings.Peer.MaxMessageBytes,
		Stamp:           func() timeline.Stamp { return h.clock.Next(time.Now()) },
		Handler:         h,
		Network:         config.Network,
		WrapSocket:      config.WrapSocket,
	})
	if err != nil {
		return nil, err
	}
	return h, nil
}

// Run executes the actions in first, which are those of the machine's start, and then runs the
// control thread until the machine exits or the context ends. It returns the reason.
func (h *Host) Run(ctx context.Context, machine Machine, role Role, first []control.Action) string {
	h.machine, h.role = machine, role
	close(h.started)
	h.execute(first)
	role.Start()
	h.spawn(func() { h.loop.Run(h.ctx) })
	h.spawn(func() { h.pollVMs(h.ctx) })
	h.spawn(func() { h.reloadKeys(h.ctx) })
	reason := "cancelled"
	select {
	case reason = <-h.exit:
	case <-ctx.Done():
	}
	h.stop()
	h.transport.Close()
	h.goroutines.Wait()
	return reason
}

// Close closes a host that was never run.
func (h *Host) Close() {
	h.stop()
	h.transport.Close()
}

// Events returns the buffered timeline events, oldest first.
func (h *Host) Events() []timeline.Event {
	return h.events.Events()
}

func (h *Host) spawn(work func()) {
	h.goroutines.Add(1)
	go func() {
		defer h.goroutines.Done()
		work()
	}()
}

// Stop requests a planned stop; with force, an immediate one.
func (h *Host) Stop(force bool) {
	if force {
		h.Post(control.StopForced{})
		return
	}
	h.Post(control.StopRequested{})
}

// Post queues an event for the control thread. It blocks while the queue is full, and returns
// false if the process ends first.
func (h *Host) Post(event control.Event) bool {
	return h.loop.Post(h.ctx, task{event: event})
}

// Offer queues an event for the control thread. It returns false if the queue is full.
func (h *Host) Offer(event control.Event) bool {
	return h.loop.Offer(task{event: event})
}

// Context returns a context that is cancelled when the process ends.
func (h *Host) Context() context.Context {
	return h.ctx
}

// Transport returns the transport to other processes.
func (h *Host) Transport() *wire.Transport {
	return h.transport
}

// Directory returns the directory of the fleet's processes.
func (h *Host) Directory() *Directory {
	return h.directory
}

// LoopStats returns the control thread's counters.
func (h *Host) LoopStats() LoopStats {
	return h.loop.Stats()
}

// Ready reports whether the process accepts calls.
func (h *Host) Ready() bool {
	return h.ready.Load()
}

// Log returns the process's logger.
func (h *Host) Log() *logrus.Entry {
	return h.config.Log
}

// Count increments the counter called name. The parameter reason is the value of its tag "reason".
func (h *Host) Count(name, reason string) { h.CountN(name, reason, 1) }

// CountN is Count for a number of events.
func (h *Host) CountN(name, reason string, number int) {
	h.config.Metrics.Scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(int64(number))
}

// Spawn runs work in a goroutine that Run waits for before it returns. The context of work is
// cancelled when the process ends.
func (h *Host) Spawn(work func(ctx context.Context)) {
	h.spawn(func() { work(h.ctx) })
}

// Inspect calls inspect on the control thread and waits until it returns. It returns false if the
// context or the process ends first.
func (h *Host) Inspect(ctx context.Context, inspect func()) bool {
	done := make(chan struct{})
	if !h.loop.Post(ctx, task{inspect: func() { inspect(); close(done) }}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-h.ctx.Done():
		return false
	}
}

func (h *Host) runTask(now time.Time, next task) {
	if next.inspect != nil {
		next.inspect()
		return
	}
	h.step(now, next.event)
}

func (h *Host) step(now time.Time, event control.Event) {
	h.execute(h.machine.Step(now, event))
}

func (h *Host) execute(actions []control.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case control.Send:
			h.Send(action)
		case control.ReadConfig:
			h.spawn(func() { h.readConfig(action.Call) })
		case control.InForce:
			h.directory.SetFleet(action.Configuration.Fleet)
			h.role.UseConfiguration(action.Configuration)
		case control.Readiness:
			h.ready.Store(action.Ready)
			h.role.SetReady(action.Ready)
		case control.Exit:
			h.requestExit(action.Reason)
		case control.Gauges:
			for _, gauge := range action.Gauges {
				h.config.Metrics.Scope.Gauge(gauge.Name).Update(gauge.Value)
			}
		case control.TimelineEvent:
			h.RecordEvent(action)
		default:
			h.role.Execute(action)
		}
	}
}

// requestExit makes Run return. Only the first reason counts.
func (h *Host) requestExit(reason string) {
	select {
	case h.exit <- reason:
	default:
	}
}

// Send sends a message in a new goroutine. It rejects the message if maxSendsInFlight sends are in
// flight.
func (h *Host) Send(action control.Send) {
	select {
	case h.sendSlots <- struct{}{}:
	default:
		h.config.Metrics.Scope.Counter("sends_rejected").Inc(1)
		return
	}
	h.spawn(func() {
		defer func() { <-h.sendSlots }()
		if err := h.sendNow(action); err != nil {
			h.config.Metrics.Scope.Counter("sends_failed").Inc(1)
			h.config.Log.WithFields(logrus.Fields{
				"to": action.To, "message": fmt.Sprintf("%T", action.Body), "error": err,
			}).Debug("send-failed")
		}
	})
}

func (h *Host) sendNow(action control.Send) error {
	if conn, ok := action.Route.(*wire.Conn); ok {
		return conn.Send(h.ctx, action.Body)
	}
	target := h.directory.Target(action.To)
	if action.NewConnection {
		h.transport.ReplaceConnection(target)
	}
	return h.transport.Send(h.ctx, target, action.Body)
}

// readConfig executes a call of the configuration service and posts its result. With an error of
// KindStale the service returns an older value, which is posted like any other value.
func (h *Host) readConfig(call membership.ServiceCall) {
	value, err := h.callService(call)
	switch {
	case errors.Is(err, platform.ErrUnchanged):
		h.Post(control.ConfigAnswered{Answer: membership.ServiceAnswered{Call: call.ID, Revision: call.After, Unchanged: true}})
	case err != nil && platform.KindOf(err) != platform.KindStale:
		h.Post(control.ConfigFailed{Failure: membership.ServiceFailed{Call: call.ID, Reason: err.Error()}})
	default:
		h.Post(control.ConfigAnswered{Answer: membership.ServiceAnswered{Call: call.ID, Revision: value.Revision, Value: value.Data}})
	}
}

func (h *Host) callService(call membership.ServiceCall) (platform.Value, error) {
	if call.NewConnection {
		h.config.Service.CloseIdle()
	}
	if !call.Watch {
		return h.config.Service.Read(h.ctx, call.Key)
	}
	ctx, cancel := context.WithTimeout(h.ctx, call.Wait)
	defer cancel()
	return h.config.Service.Watch(ctx, call.Key, call.After)
}

// pollVMs posts the platform's list of VMs periodically.
func (h *Host) pollVMs(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		if statuses, err := h.config.VMs.List(ctx); err == nil {
			h.Post(control.VMsListed{VMs: convertVMs(statuses)})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func convertVMs(statuses []platform.VMStatus) []control.ListedVM {
	vms := make([]control.ListedVM, len(statuses))
	for i, status := range statuses {
		vms[i] = control.ListedVM{VM: status.VM, Leaving: status.State == platform.VMLeaving}
	}
	return vms
}

// reloadKeys reloads the key files periodically, so that renewed certificates take effect. After an
// error the old keys stay in use.
func (h *Host) reloadKeys(ctx context.Context) {
	files := h.config.Settings.Keys
	if files.Certificate == "" {
		return
	}
	ticker := time.NewTicker(keysInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		pair, err := wire.LoadKeyPair(files.Certificate, files.PrivateKey, files.Authority)
		if err == nil {
			err = h.config.Keys.Replace(pair)
		}
		if err != nil {
			h.RecordEvent(control.TimelineEvent{
				Kind: "keys-not-reloaded", Severity: control.SeverityWarning,
				Fields: []control.Field{{Key: "error", Value: err.Error()}},
			})
		}
	}
}
