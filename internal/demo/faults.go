package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	faultPause     = 700 * time.Millisecond
	outageDuration = 1500 * time.Millisecond
	inForceTimeout = 6 * time.Second
	pollInterval   = 20 * time.Millisecond
	// maxCrashRequests is how often the request that crashes its backend server is sent at most.
	// It exceeds maxCrashes, since a request that is answered while the crashed servers (a whole
	// model group) restart crashes nothing.
	maxCrashRequests = 20
	crashResendPause = 300 * time.Millisecond
	// maxCrashes is the highest number of crashes that a request may cause before it is
	// quarantined. The crash of a whole model group counts once.
	maxCrashes = 3
)

// faultPlan runs the faults one after the other while callers send requests.
type faultPlan struct {
	cluster       *cluster
	sender        *sender
	requests      *requestSet
	random        *rand.Rand
	printProgress func(format string, args ...any)
	report        *report
	// customer sends the request that crashes its backend server.
	customer ident.Customer
}

// run runs all faults. It reports a violation if the deployment does not recover from one as
// expected.
func (p *faultPlan) run(ctx context.Context) {
	faults := []func(ctx context.Context){
		p.killAgent, p.blackholeConnections, p.stopAgent, p.crashByRequest, p.publishDuringOutage, p.stopEntry,
	}
	for _, runFault := range faults {
		if ctx.Err() != nil {
			p.report.addViolation("not all faults were run: %v", ctx.Err())
			return
		}
		runFault(ctx)
		sleep(ctx, faultPause)
	}
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (p *faultPlan) pickVM(vms []*vm) *vm {
	return vms[p.random.IntN(len(vms))]
}

func (p *faultPlan) killAgent(ctx context.Context) {
	v := p.pickVM(p.cluster.agents())
	p.printProgress("kill the agent of %s", v.name)
	v.kill()
	sleep(ctx, faultPause)
	if err := p.cluster.restart(v); err != nil {
		p.report.addViolation("agent %s failed to restart: %v", v.name, err)
	}
}

func (p *faultPlan) blackholeConnections(ctx context.Context) {
	entry := p.pickVM(p.cluster.entries())
	agent := p.pickVM(p.cluster.agents())
	p.printProgress("drop the packets of the open connections of %s and %s", entry.name, agent.name)
	entry.blackholeConnections()
	agent.blackholeConnections()
	sleep(ctx, faultPause)
}

func (p *faultPlan) stopAgent(context.Context) {
	v := p.pickVM(p.cluster.agents())
	p.printProgress("planned stop of the agent of %s", v.name)
	if !v.stop() {
		p.report.addViolation("agent %s did not drain in time", v.name)
		v.kill()
	}
	if err := p.cluster.restart(v); err != nil {
		p.report.addViolation("agent %s failed to restart: %v", v.name, err)
	}
}

func (p *faultPlan) stopEntry(context.Context) {
	v := p.pickVM(p.cluster.entries())
	p.printProgress("planned stop of the entry %s", v.name)
	p.report.recordAccount(v)
	if !v.stop() {
		p.report.addViolation("entry %s did not drain in time", v.name)
		v.kill()
	}
	if err := p.cluster.restart(v); err != nil {
		p.report.addViolation("entry %s failed to restart: %v", v.name, err)
	}
}

// crashByRequest sends a request that crashes its backend server. It sends the request again
// and again until the entry refuses the request as quarantined.
func (p *faultPlan) crashByRequest(ctx context.Context) {
	p.printProgress("send a request that crashes its backend server")
	generator := &generator{requests: p.requests, customers: []ident.Customer{p.customer}, random: p.random, lastNumber: crashNumber}
	r := generator.newRequest(&p.requests.Crash)
	r.kind = kindCrash
	before := p.bootCount()
	refused := false
	for range maxCrashRequests {
		got := p.sender.call(ctx, r)
		p.report.add(got)
		refused = got.outcome == outcome.NotRun && got.cause == outcome.CauseQuarantined
		if refused {
			break
		}
		sleep(ctx, crashResendPause)
	}
	crashes := p.bootCount() - before
	p.printProgress("the crash request crashed %d engines or groups, quarantined: %v", crashes, refused)
	if !refused {
		p.report.addViolation("the crash request crashed %d engines or groups and was not quarantined", crashes)
	}
	if crashes > maxCrashes {
		p.report.addViolation("the crash request crashed %d engines or groups before it was quarantined", crashes)
	}
}

const (
	// crashNumber+1 is the number of the crash request. It lies above the numbers of the first 10
	// callers, see numbersPerCaller.
	crashNumber = 1_000_000
	// kindCrash is the kind of the request that crashes its backend server.
	kindCrash = "crash"
)

// bootCount returns the number of starts of all engines, including the first ones. A group
// counts as one engine.
func (p *faultPlan) bootCount() uint64 {
	var boots uint64
	counted := map[*modelGroup]bool{}
	for _, v := range p.cluster.agents() {
		if v.engine == nil {
			continue
		}
		// All ranks of a group crash together, so that each group counts once.
		if group := p.cluster.groupOf(v); group != nil {
			if counted[group] {
				continue
			}
			counted[group] = true
		}
		boots += v.engine.Boot()
	}
	return boots
}

// publishDuringOutage publishes a new version of the configuration during an outage of the
// configuration service. It measures the time from the end of the outage until the version is
// in force in all processes.
func (p *faultPlan) publishDuringOutage(ctx context.Context) {
	p.printProgress("outage of the configuration service")
	p.cluster.config.SetDown(true)
	sleep(ctx, outageDuration)
	p.cluster.document.Version++
	if err := p.cluster.publish(); err != nil {
		p.report.addViolation("the changed configuration was rejected: %v", err)
		return
	}
	p.cluster.config.SetDown(false)
	elapsed, ok := p.waitInForce(ctx, p.cluster.document.Version)
	p.printProgress("waited for version %d to be in force in all processes: %v", p.cluster.document.Version, elapsed.Round(pollInterval))
	if !ok {
		p.report.addViolation("version %d is not in force in all processes after %v", p.cluster.document.Version, elapsed)
	}
}

// waitInForce waits until a version is in force in all processes, but no longer than
// inForceTimeout. It returns the time that has passed and whether the version is in force.
func (p *faultPlan) waitInForce(ctx context.Context, version template.Version) (time.Duration, bool) {
	started := time.Now()
	for time.Since(started) < inForceTimeout && ctx.Err() == nil {
		if p.inForce(ctx, version) {
			return time.Since(started), true
		}
		sleep(ctx, pollInterval)
	}
	return time.Since(started), false
}

// inForce reports whether a version, or a newer one, is in force in all processes.
func (p *faultPlan) inForce(ctx context.Context, version template.Version) bool {
	for _, v := range p.cluster.vms {
		inForce, ok := v.current().VersionInForce(ctx)
		if !ok || inForce < version {
			return false
		}
	}
	return true
}
