package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// fingerprint identifies the request over repeats by its caller: customer, method, host, URI and body.
func (c *call) fingerprint() attempt.Fingerprint {
	if c.cachedFingerprint == (attempt.Fingerprint{}) {
		class := ident.Class(c.r.Method + " " + c.r.Host + c.r.RequestURI)
		c.cachedFingerprint = attempt.NewFingerprint(c.access.Customer, class, sha256.Sum256(c.body))
	}
	return c.cachedFingerprint
}

// traits returns the fingerprints by which the entry's register knows the request and the parts of its prompt.
func (c *call) traits() []attempt.Fingerprint {
	return append([]attempt.Fingerprint{c.fingerprint()}, c.partTraits()...)
}

// knownTraits returns the traits. If the entry knows of none that may have crashed a server, it does not hash the body and
// returns only the prompt's parts, unless an earlier send of the call was broken.
func (c *call) knownTraits() []attempt.Fingerprint {
	if !c.gateway.crashesKnown.Load() && c.cachedFingerprint == (attempt.Fingerprint{}) {
		return c.partTraits()
	}
	return c.traits()
}

// crashEvidence returns what the end of a send that began at startedAt shows about the request and the server, for the
// control thread; nil if it shows nothing. closedByServer is true if the server, and not the entry, ended the connection.
func (c *call) crashEvidence(ctx context.Context, backend membership.ListedBackend, startedAt time.Time, result routing.SendResult, closedByServer bool) func(now time.Time) {
	switch result {
	case routing.SendServed:
		if c.endedByClose {
			return c.closedEvidence(backend, startedAt)
		}
		return c.servedEvidence(backend, startedAt)
	case routing.SendFailed, routing.SendRejected, routing.SendGroupBroken:
		return c.reachedEvidence(backend, startedAt)
	case routing.SendBroken:
		return c.brokenEvidence(backend, startedAt, closedByServer)
	case routing.SendAbandoned:
		if c.runs.Possible() > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return c.brokenEvidence(backend, startedAt, false)
		}
	case routing.SendNotConnected:
		return c.refusedEvidence(backend)
	case routing.SendMisdirected, routing.SendEvacuated:
	}
	return nil
}

// servedEvidence is that of a complete response to a request that the server ran, unless runs is 0 since it was rejected.
func (c *call) servedEvidence(backend membership.ListedBackend, startedAt time.Time) func(now time.Time) {
	if c.runs.Possible() == 0 {
		return c.reachedEvidence(backend, startedAt)
	}
	g := c.gateway
	g.survivors.add(c.survivorHash(), time.Now())
	traits := c.partTraits()
	if g.crashesKnown.Load() {
		traits = c.traits()
	}
	for _, trait := range traits {
		g.survivingTraits.add(traitHash(trait), time.Now())
	}
	if !g.crashesKnown.Load() {
		return nil
	}
	return func(now time.Time) {
		g.recordReached(now, backend, startedAt)
		g.dispatcher.Crashes().RecordServed(now, traits)
	}
}

// closedEvidence is that of a response that ended with its connection: the server may have ended instead of completing it.
// It is probed if the request is a suspect; otherwise the next connection to it, or the list of servers, shows it.
func (c *call) closedEvidence(backend membership.ListedBackend, startedAt time.Time) func(now time.Time) {
	g, send := c.gateway, c.brokenSend(startedAt)
	send.Closed = true
	if c.assigned.Suspect && g.prober.due(time.Now(), backend.Address) {
		go g.probe(backend, g.log.WithFields(logrus.Fields{"request": c.id, "backend": backend.ID, "address": backend.Address}))
	}
	return func(now time.Time) {
		g.recordReached(now, backend, startedAt)
		g.dispatcher.RecordBroken(now, backend, send)
		g.crashRegisterChanged()
	}
}

// recordReached records that a server was reached by a connection or request that began at startedAt, and remembers the
// traits that it is now known to have survived.
func (g *Gateway) recordReached(now time.Time, backend membership.ListedBackend, startedAt time.Time) {
	for _, trait := range g.dispatcher.RecordServerReached(now, backend, startedAt) {
		g.survivingTraits.add(traitHash(trait), now)
	}
}

// refusedEvidence is that of a refused connection.
func (c *call) refusedEvidence(backend membership.ListedBackend) func(now time.Time) {
	g := c.gateway
	if !c.connectionRefused || !g.crashesKnown.Load() {
		return nil
	}
	return func(now time.Time) {
		g.dispatcher.RecordServerRefused(now, backend)
		g.crashRegisterChanged()
	}
}

// reachedEvidence is that of a complete response by which the server rejected the request, or reported a failure: the
// server is there, but may not have begun to write an answer.
func (c *call) reachedEvidence(backend membership.ListedBackend, startedAt time.Time) func(now time.Time) {
	g := c.gateway
	if !g.crashesKnown.Load() {
		return nil
	}
	return func(now time.Time) { g.recordReached(now, backend, startedAt) }
}

// brokenEvidence is that of a send without a complete response. If the server closed the connection, it is probed: a
// server that has ended may have been crashed by the request. Other ends show in the list of servers.
func (c *call) brokenEvidence(backend membership.ListedBackend, startedAt time.Time, closedByServer bool) func(now time.Time) {
	g, send := c.gateway, c.brokenSend(startedAt)
	log := g.log.WithFields(logrus.Fields{
		"request": c.id, "fingerprint": c.fingerprint(), "route": c.route.Name, "customer": c.access.Customer,
		"backend": backend.ID, "address": backend.Address, "closed_by_server": closedByServer, "prompt_parts": c.sharedParts(),
	})
	g.survivors.recordBroken(c.survivorHash())
	for _, trait := range c.traits() {
		g.survivingTraits.recordBroken(traitHash(trait))
	}
	log.WithField("survived_before", len(send.Survived) > 0).WithField("suspected_traits", len(send.Suspected)).Info("send-broken")
	if closedByServer && g.prober.due(time.Now(), backend.Address) {
		go g.probe(backend, log)
	}
	return func(now time.Time) {
		g.dispatcher.RecordBroken(now, backend, send)
		g.crashRegisterChanged()
	}
}

// brokenSend returns the request's traits, divided by whether servers of this entry have survived them often shortly before.
// Surviving parts are left out: the entries that suspect them report them, and are told by those that know better.
func (c *call) brokenSend(startedAt time.Time) attempt.BrokenSend {
	now, send := time.Now(), attempt.BrokenSend{StartedAt: startedAt}
	if c.gateway.survivors.contains(c.survivorHash(), now) || c.gateway.survivingTraits.contains(traitHash(c.fingerprint()), now) {
		send.Survived = append(send.Survived, c.fingerprint())
	} else {
		send.Suspected = append(send.Suspected, c.fingerprint())
	}
	for _, trait := range c.partTraits() {
		if !c.gateway.survivingTraits.contains(traitHash(trait), now) {
			send.Suspected = append(send.Suspected, trait)
		}
	}
	return send
}

// probe probes a server and records the result.
func (g *Gateway) probe(backend membership.ListedBackend, log *logrus.Entry) {
	probedAt := time.Now()
	state := probeServer(context.Background(), backend.Address)
	g.metrics.countProbe(state)
	log.WithField("state", state).Info("backend-probed")
	g.enqueue(func(now time.Time) {
		g.recordProbe(now, backend, probedAt, state)
		g.crashRegisterChanged()
	})
}

// recordProbe records what a probe that began at probedAt shows.
func (g *Gateway) recordProbe(now time.Time, backend membership.ListedBackend, probedAt time.Time, state serverState) {
	switch state {
	case serverEnded:
		g.dispatcher.RecordServerEnded(now, backend)
	case serverReachable:
		g.recordReached(now, backend, probedAt)
	case serverUnknown:
	}
}

// logFindings logs what the register has decided about suspects.
func (g *Gateway) logFindings(findings []attempt.CrashFinding) {
	for i := range findings {
		finding := &findings[i]
		g.log.WithFields(logrus.Fields{
			"fingerprint": finding.Trait, "decision": finding.Decision, "ends": finding.Ends, "events": finding.Events,
			"nats": math.Round(10*finding.Nats) / 10, "margin_nats": math.Round(10*finding.Margin) / 10,
			"longest_ms": finding.Longest.Milliseconds(),
		}).Info("crash-suspect")
	}
}

// crashRegisterChanged publishes the state of the register to calls, metrics and other entries. It runs on the control
// thread.
func (g *Gateway) crashRegisterChanged() {
	register := g.dispatcher.Crashes()
	g.crashesKnown.Store(!register.Empty())
	g.logFindings(register.TakeFindings())
	g.metrics.setCrashRequests(register.Counts())
	g.planCrashNews()
}
