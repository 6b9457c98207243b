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
	faultPause   = 700 * time.Millisecond
	outageTime   = 1500 * time.Millisecond
	inForceTime  = 6 * time.Second
	pollInterval = 20 * time.Millisecond
	// crashResends bounds the resends of the request that crashes its backend server. Some
	// are answered while the servers that it crashed, a whole model group, start again.
	crashResends  = 20
	suspectPause  = 300 * time.Millisecond
	maxQuarantine = 3
)

// faultPlan carries faults out one after the other while the callers go on.
type faultPlan struct {
	cluster *cluster
	callers *callers
	set     *requestSet
	random  *rand.Rand
	say     func(format string, args ...any)
	report  *report
	// customer sends the request that crashes its backend server.
	customer ident.Customer
}

// run carries all faults out. A fault that does not end as it must is a finding.
func (p *faultPlan) run(ctx context.Context) {
	steps := []func(ctx context.Context){
		p.killAgent, p.silenceConnections, p.stopAgent, p.crashByRequest, p.rollTemplateInOutage, p.stopEntry,
	}
	for _, step := range steps {
		if ctx.Err() != nil {
			p.report.find("the faults were cut short: %v", ctx.Err())
			return
		}
		step(ctx)
		sleep(ctx, faultPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (p *faultPlan) any(vms []*vm) *vm {
	return vms[p.random.IntN(len(vms))]
}

func (p *faultPlan) killAgent(ctx context.Context) {
	v := p.any(p.cluster.agents())
	p.say("kill the agent of %s", v.name)
	v.kill()
	sleep(ctx, faultPause)
	if err := p.cluster.restart(v); err != nil {
		p.report.find("agent %s did not start again: %v", v.name, err)
	}
}

func (p *faultPlan) silenceConnections(ctx context.Context) {
	entry := p.any(p.cluster.entries())
	agent := p.any(p.cluster.agents())
	p.say("silence the connections of %s and %s", entry.name, agent.name)
	entry.silence()
	agent.silence()
	sleep(ctx, faultPause)
}

func (p *faultPlan) stopAgent(context.Context) {
	v := p.any(p.cluster.agents())
	p.say("stop the agent of %s as planned", v.name)
	if !v.stop() {
		p.report.find("agent %s did not drain", v.name)
		v.kill()
	}
	if err := p.cluster.restart(v); err != nil {
		p.report.find("agent %s did not start again: %v", v.name, err)
	}
}

func (p *faultPlan) stopEntry(context.Context) {
	v := p.any(p.cluster.entries())
	p.say("stop the entry %s as planned", v.name)
	p.report.keepAccount(v)
	if !v.stop() {
		p.report.find("entry %s did not drain", v.name)
		v.kill()
	}
	if err := p.cluster.restart(v); err != nil {
		p.report.find("entry %s did not start again: %v", v.name, err)
	}
}

// crashByRequest sends a request that crashes its backend server again and again, until
// it is refused everywhere.
func (p *faultPlan) crashByRequest(ctx context.Context) {
	p.say("send a request that crashes its backend server")
	generator := &generator{set: p.set, customers: []ident.Customer{p.customer}, random: p.random, number: crashNumber}
	r := generator.make(&p.set.Crash)
	r.kind = kindCrash
	before := p.crashes()
	refused := false
	for range crashResends {
		got := p.callers.call(ctx, r)
		p.report.add(got)
		refused = got.kind == outcome.NotRun && got.cause == outcome.CauseQuarantined
		if refused {
			break
		}
		sleep(ctx, suspectPause)
	}
	crashes := p.crashes() - before
	p.say("it crashed %d backend servers, quarantined: %v", crashes, refused)
	if !refused {
		p.report.find("a request that crashed %d backend servers is not quarantined", crashes)
	}
	if crashes > maxQuarantine {
		p.report.find("a request crashed %d backend servers before its quarantine", crashes)
	}
}

const (
	crashNumber = 1_000_000
	// kindCrash is the kind of the request that crashes its backend server.
	kindCrash = "crash"
)

func (p *faultPlan) crashes() uint64 {
	var boots uint64
	counted := map[*modelGroup]bool{}
	for _, v := range p.cluster.agents() {
		if v.engine == nil {
			continue
		}
		// All ranks of a group crash as one.
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

// rollTemplateInOutage takes the configuration service away, publishes while it is down,
// and measures until the change is in force everywhere.
func (p *faultPlan) rollTemplateInOutage(ctx context.Context) {
	p.say("take the configuration service away")
	p.cluster.config.SetDown(true)
	sleep(ctx, outageTime)
	p.cluster.document.Version++
	if err := p.cluster.publish(); err != nil {
		p.report.find("the changed configuration is not accepted: %v", err)
		return
	}
	p.cluster.config.SetDown(false)
	took, ok := p.waitInForce(ctx, p.cluster.document.Version)
	p.say("version %d in force everywhere after %v", p.cluster.document.Version, took.Round(pollInterval))
	if !ok {
		p.report.find("version %d is not in force everywhere after %v", p.cluster.document.Version, took)
	}
}

func (p *faultPlan) waitInForce(ctx context.Context, version template.Version) (time.Duration, bool) {
	started := time.Now()
	for time.Since(started) < inForceTime && ctx.Err() == nil {
		if p.inForce(ctx, version) {
			return time.Since(started), true
		}
		sleep(ctx, pollInterval)
	}
	return time.Since(started), false
}

func (p *faultPlan) inForce(ctx context.Context, version template.Version) bool {
	for _, v := range p.cluster.vms {
		inForce, ok := v.current().VersionInForce(ctx)
		if !ok || inForce < version {
			return false
		}
	}
	return true
}
