package calls

import (
	"fmt"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	serviceName ident.Service = "redemptions"
	leasePeriod               = 2 * time.Second
	// leasesToKeep is the number of lease numbers for which an agent keeps records.
	leasesToKeep = 20
	// startsWithin bounds the time from a dispatch to the start of its run: three lease periods and the
	// longest wait for a start.
	startsWithin = 8 * time.Second
	// keysPerPart is the most keys in one part of a ClaimAnswer or HandOver; it is small, so that these are
	// split into several messages.
	keysPerPart = 3
)

var startTime = time.Unix(1_700_000_000, 0).UTC()

// Config configures a World.
type Config struct {
	Entries int
	Agents  int
	// Retention is the service's run key retention.
	Retention time.Duration
	// OpenedAt is the time from the start of the simulation to the opening of the service; it may be negative.
	OpenedAt time.Duration
	// Doubt is the agents' policy for keys in doubt.
	Doubt attempt.DoubtPolicy
	// Caller changes the configuration of each entry's caller; it may be nil.
	Caller func(*attempt.CallConfig)
	// Trace is called with one line for each delivered message and each step; it may be nil.
	Trace func(line string)
	// DownAfter is the time without a received message after which an entry sends an agent no more
	// dispatches; 0 for no limit.
	DownAfter time.Duration
}

// World simulates a small fleet of entries and agents on one clock. It is not safe for concurrent use.
type World struct {
	config          Config
	now             time.Time
	started         time.Time
	lastIncarnation ident.Incarnation
	network         []envelope
	entries         []*entryHost
	agents          []*agentHost
	fleets          []fleet.Fleet
	blocked         map[link]bool
	record          *Record
	tickets         []attempt.Ticket
	// unlisted holds the entries that fleet versions published from now on leave out.
	unlisted map[ident.VM]bool
	nextID   int
	// send sends a message. The default appends it to network; the simulation with delays replaces it.
	send func(envelope)
	// route picks the target of a request whose key has no owner.
	route func(*entryProcess, attempt.NeedRoute) (ident.VM, bool)
	// drainUntilKilled makes a process that received a stop request continue to run and refuse work until it is
	// killed; otherwise it exits.
	drainUntilKilled bool
	// onRun is called at the start of each run; it may be nil.
	onRun func(*agentProcess, attempt.Dispatch)
}

type envelope struct {
	from, to ident.VM
	message  any
}

type link struct{ a, b ident.VM }

type entryHost struct {
	vm        ident.VM
	processes []*entryProcess
}

type entryProcess struct {
	host     *entryHost
	instance ident.Instance
	log      *attempt.Log
	caller   *attempt.CallTable
	paused   bool
	exited   bool
	agents   map[ident.VM]agentView
}

type agentView struct {
	instance ident.Instance
	lease    attempt.Number
	// lastReceivedAt is the time of the last message from the agent.
	lastReceivedAt time.Time
}

type agentHost struct {
	vm        ident.VM
	processes []*agentProcess
	removed   bool
}

type agentProcess struct {
	host     *agentHost
	instance ident.Instance
	owner    *attempt.Owner
	paused   bool
	exited   bool
	running  []attempt.Dispatch
}

// NewWorld returns a world in which all processes run and have the first fleet version.
func NewWorld(config Config) *World {
	w := &World{config: config, now: startTime, started: startTime, blocked: map[link]bool{}, unlisted: map[ident.VM]bool{}, record: NewRecord(config.Retention)}
	w.send = func(e envelope) { w.network = append(w.network, e) }
	w.route = w.pickAgent
	for i := range config.Entries {
		w.entries = append(w.entries, &entryHost{vm: ident.VM(fmt.Sprintf("entry%d", i))})
	}
	for range config.Agents {
		w.addAgentHost()
	}
	w.publish(w.agentVMs())
	for _, host := range w.entries {
		w.startEntry(host, 0)
	}
	for _, host := range w.agents {
		w.startAgent(host, 0)
	}
	return w
}

func (w *World) trace(format string, arguments ...any) {
	if w.config.Trace != nil {
		w.config.Trace(w.now.Sub(w.started).String() + " " + fmt.Sprintf(format, arguments...))
	}
}

func (w *World) addAgentHost() *agentHost {
	host := &agentHost{vm: ident.VM(fmt.Sprintf("backend%d", len(w.agents)))}
	w.agents = append(w.agents, host)
	return host
}

func (w *World) agentVMs() []ident.VM {
	var vms []ident.VM
	for _, host := range w.agents {
		if !host.removed {
			vms = append(vms, host.vm)
		}
	}
	return vms
}

// publish adds a fleet version that lists the given backend servers.
func (w *World) publish(backends []ident.VM) {
	next := fleet.Fleet{Version: template.Version(len(w.fleets) + 1)}
	for _, host := range w.entries {
		if !w.unlisted[host.vm] {
			next.Entries = append(next.Entries, fleet.EntryVM{VM: host.vm})
		}
	}
	service := fleet.Service{
		Name: serviceName, Kind: template.KindPlain,
		OpenedAt: w.started.Add(w.config.OpenedAt), RunKeyRetention: w.config.Retention,
	}
	for _, vm := range backends {
		service.Backends = append(service.Backends, fleet.BackendServer{VM: vm, Capacity: 8})
	}
	next.Services = []fleet.Service{service}
	w.fleets = append(w.fleets, next)
	w.trace("published version %d: entries %v, backends %v", next.Version, next.Entries, backends)
}

func (w *World) newInstance(vm ident.VM) ident.Instance {
	w.lastIncarnation++
	return ident.Instance{VM: vm, Incarnation: w.lastIncarnation}
}

func (w *World) startEntry(host *entryHost, fleetIndex int) {
	process := &entryProcess{host: host, instance: w.newInstance(host.vm), agents: map[ident.VM]agentView{}}
	process.log = attempt.NewLog(w.now, w.logConfig(process.instance))
	config := attempt.DefaultCallConfig(process.instance)
	if w.config.Caller != nil {
		w.config.Caller(&config)
	}
	process.caller = attempt.NewCallTable(config, process.log)
	host.processes = append(host.processes, process)
	w.stepLog(process, attempt.LogFleetChanged{Fleet: w.fleets[fleetIndex]})
}

func (w *World) logConfig(self ident.Instance) attempt.LogConfig {
	config := attempt.DefaultLogConfig(self)
	config.StartsWithin = startsWithin
	config.KeysPerPart = keysPerPart
	return config
}

func (w *World) startAgent(host *agentHost, fleetIndex int) {
	process := &agentProcess{host: host, instance: w.newInstance(host.vm)}
	config := attempt.DefaultOwnerConfig(process.instance)
	config.Doubt = w.config.Doubt
	config.ClockSkew = 0
	config.StartsWithin = startsWithin
	config.KeysPerPart = keysPerPart
	process.owner = attempt.NewOwner(w.now, config)
	host.processes = append(host.processes, process)
	w.stepOwner(process, w.leases())
	w.stepOwner(process, attempt.OwnerFleetChanged{Fleet: w.fleets[fleetIndex]})
}

// leases returns the lease numbers of the agents at the current time.
func (w *World) leases() attempt.LeaseAdvanced {
	current := attempt.Number(w.now.Sub(w.started)/leasePeriod) + leasesToKeep
	return attempt.LeaseAdvanced{Current: current, MinStart: current - 2, MinKept: current - leasesToKeep + 1}
}

// current returns the latest process of the host that has not exited, or nil.
func (h *entryHost) current() *entryProcess {
	for i := len(h.processes) - 1; i >= 0; i-- {
		if !h.processes[i].exited {
			return h.processes[i]
		}
	}
	return nil
}

func (h *agentHost) current() *agentProcess {
	for i := len(h.processes) - 1; i >= 0; i-- {
		if !h.processes[i].exited {
			return h.processes[i]
		}
	}
	return nil
}

// active returns the processes of the host that can receive a message: neither exited nor paused.
func (h *agentHost) active() []*agentProcess {
	var active []*agentProcess
	for _, process := range h.processes {
		if !process.exited && !process.paused {
			active = append(active, process)
		}
	}
	return active
}

func (h *entryHost) active() []*entryProcess {
	var active []*entryProcess
	for _, process := range h.processes {
		if !process.exited && !process.paused {
			active = append(active, process)
		}
	}
	return active
}

func (w *World) entryHostOf(vm ident.VM) *entryHost {
	for _, host := range w.entries {
		if host.vm == vm {
			return host
		}
	}
	return nil
}

func (w *World) agentHostOf(vm ident.VM) *agentHost {
	for _, host := range w.agents {
		if host.vm == vm {
			return host
		}
	}
	return nil
}

// pickAgent picks an agent from which the entry has received a message and that the request does not
// exclude.
func (w *World) pickAgent(process *entryProcess, need attempt.NeedRoute) (ident.VM, bool) {
	candidates := need.Among
	if len(candidates) == 0 {
		candidates = w.agentVMs()
	}
	for i := range candidates {
		vm := candidates[(i+w.nextID)%len(candidates)]
		if _, known := process.agents[vm]; known && !slices.Contains(need.Exclude, vm) {
			return vm, true
		}
	}
	return "", false
}
