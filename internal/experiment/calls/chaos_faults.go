package calls

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

func (c *Chaos) agentHost() *agentHost {
	return c.World.agents[c.choose.IntN(len(c.World.agents))]
}

func (c *Chaos) crashAgent() {
	host := c.agentHost()
	if len(host.processes) > 0 {
		host.processes[c.choose.IntN(len(host.processes))].exited = true
	}
}

func (c *Chaos) stopAgent() {
	if process := c.activeAgent(); process != nil {
		c.World.stepOwner(process, attempt.OwnerStop{})
	}
}

// replaceAgent destroys an agent's VM permanently and adds a new one.
func (c *Chaos) replaceAgent() {
	w := c.World
	host := c.agentHost()
	if len(w.agents) >= maxAgents || len(w.agentVMs()) < 2 || host.removed {
		return
	}
	for _, process := range host.processes {
		process.exited = true
	}
	host.removed = true
	w.startAgent(w.addAgentHost(), c.recentFleet())
	w.publish(w.agentVMs())
}

func (c *Chaos) pauseAgent() {
	if process := c.activeAgent(); process != nil {
		process.paused = true
	}
}

func (c *Chaos) startAgent() {
	host := c.agentHost()
	if current := host.current(); host.removed || (current != nil && !current.paused) {
		return
	}
	c.World.startAgent(host, c.recentFleet())
}

func (c *Chaos) resumeAgent() {
	host := c.agentHost()
	for _, process := range host.processes {
		if !process.exited && process.paused {
			process.paused = false
			c.World.stepOwner(process, attempt.ClockGap{})
		}
	}
}

func (c *Chaos) entryHost() *entryHost {
	return c.World.entries[c.choose.IntN(len(c.World.entries))]
}

func (c *Chaos) crashEntry() {
	host := c.entryHost()
	host.processes[c.choose.IntN(len(host.processes))].exited = true
}

func (c *Chaos) stopEntry() {
	if process := c.activeEntry(); process != nil {
		c.World.stepLog(process, attempt.LogStop{})
	}
}

// restartEntries kills all entries at once and starts a new process for each.
func (c *Chaos) restartEntries() {
	for _, host := range c.World.entries {
		for _, process := range host.processes {
			process.exited = true
		}
	}
	for _, host := range c.World.entries {
		c.World.startEntry(host, c.recentFleet())
	}
}

// changeRoster lists or unlists an entry in later fleet versions. The entry's process continues to run.
func (c *Chaos) changeRoster() {
	w := c.World
	host := c.entryHost()
	if w.unlisted[host.vm] {
		delete(w.unlisted, host.vm)
	} else {
		w.unlisted[host.vm] = true
	}
	if len(w.unlisted) >= len(w.entries) {
		w.unlisted = map[ident.VM]bool{}
	}
	latest := w.fleets[len(w.fleets)-1]
	var listed []ident.VM
	for _, backend := range latest.Services[0].Backends {
		listed = append(listed, backend.VM)
	}
	w.publish(listed)
}

func (c *Chaos) pauseEntry() {
	if process := c.activeEntry(); process != nil {
		process.paused = true
	}
}

func (c *Chaos) startEntry() {
	host := c.entryHost()
	if current := host.current(); current != nil && !current.paused {
		return
	}
	c.World.startEntry(host, c.recentFleet())
}

func (c *Chaos) resumeEntry() {
	for _, process := range c.entryHost().processes {
		c.World.resumeEntry(process)
	}
}

// resumeEntry resumes a paused entry, which first handles the gap of its clock.
func (w *World) resumeEntry(process *entryProcess) {
	if process.exited || !process.paused {
		return
	}
	process.paused = false
	w.stepLog(process, attempt.LogClockGap{})
}

// recentFleet returns the index of one of the three latest fleet versions.
func (c *Chaos) recentFleet() int {
	count := len(c.World.fleets)
	return count - 1 - c.choose.IntN(min(count, 3))
}

// blockLink blocks the messages between two random VMs in one direction or both.
func (c *Chaos) blockLink() {
	vms := c.vms()
	a := vms[c.choose.IntN(len(vms))]
	b := vms[c.choose.IntN(len(vms))]
	c.World.blocked[link{a, b}] = true
	if c.choose.IntN(2) == 0 {
		c.World.blocked[link{b, a}] = true
	}
}

func (c *Chaos) vms() []ident.VM {
	var vms []ident.VM
	for _, host := range c.World.entries {
		vms = append(vms, host.vm)
	}
	for _, host := range c.World.agents {
		vms = append(vms, host.vm)
	}
	return vms
}

// publish publishes a fleet version with a random part of the agents' VMs, at least one.
func (c *Chaos) publish() {
	all := c.World.agentVMs()
	var listed []ident.VM
	for _, vm := range all {
		if c.choose.IntN(3) > 0 {
			listed = append(listed, vm)
		}
	}
	if len(listed) == 0 {
		listed = all[:1]
	}
	c.World.publish(listed)
}

// deliverFleet delivers one of the latest fleet versions to a random agent and a random entry.
func (c *Chaos) deliverFleet() {
	w := c.World
	next := w.fleets[c.recentFleet()]
	if process := c.activeAgent(); process != nil {
		w.stepOwner(process, attempt.OwnerFleetChanged{Fleet: next})
	}
	if process := c.activeEntry(); process != nil {
		w.stepLog(process, attempt.LogFleetChanged{Fleet: next})
	}
}

// reportRemovedVMs notifies a random agent of all destroyed VMs.
func (c *Chaos) reportRemovedVMs() {
	process := c.activeAgent()
	if process == nil {
		return
	}
	var removed []ident.VM
	for _, host := range c.World.agents {
		if host.removed {
			removed = append(removed, host.vm)
		}
	}
	c.World.stepOwner(process, attempt.VMsRemoved{VMs: removed})
}

// Quiesce ends all faults, delivers all messages and lets all runs and calls end. It returns the number
// of calls that are still open at active entries.
func (c *Chaos) Quiesce() int {
	w := c.World
	w.blocked = map[link]bool{}
	last := len(w.fleets) - 1
	for _, host := range w.entries {
		if host.current() == nil {
			w.startEntry(host, last)
		}
	}
	for _, host := range w.agents {
		if !host.removed && host.current() == nil {
			w.startAgent(host, last)
		}
	}
	c.resumeAll(last)
	const quiesceRounds = 100
	for range quiesceRounds {
		for range 20 {
			messages := w.network
			w.network = nil
			for _, e := range messages {
				c.deliverMessage(e)
			}
		}
		w.advance(100 * time.Millisecond)
		c.endAllRuns()
	}
	return c.openCalls()
}

// resumeAll resumes all paused processes and delivers the latest fleet version to all processes.
func (c *Chaos) resumeAll(last int) {
	w := c.World
	for _, host := range w.entries {
		for _, process := range host.processes {
			w.resumeEntry(process)
			if !process.exited {
				w.stepLog(process, attempt.LogFleetChanged{Fleet: w.fleets[last]})
			}
		}
	}
	for _, host := range w.agents {
		for _, process := range host.processes {
			if !process.exited && process.paused {
				process.paused = false
				w.stepOwner(process, attempt.ClockGap{})
			}
			if !process.exited {
				w.stepOwner(process, attempt.OwnerFleetChanged{Fleet: w.fleets[last]})
			}
		}
	}
}

func (c *Chaos) endAllRuns() {
	for _, host := range c.World.agents {
		for _, process := range host.active() {
			for len(process.running) > 0 {
				c.World.finishRun(process, 0, servedOutcome)
			}
		}
	}
}

func (c *Chaos) openCalls() int {
	open := 0
	for _, host := range c.World.entries {
		for _, process := range host.active() {
			open += process.caller.Open()
		}
	}
	return open
}
