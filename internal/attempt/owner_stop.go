package attempt

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// advanceStop hands all keys over once nothing runs, and reports when that is complete.
func (o *Owner) advanceStop(now time.Time) {
	if !o.stopping || o.superseded || o.running > 0 {
		return
	}
	if !o.handOvers.finalSent {
		o.handOvers.finalSent = true
		o.collectFinalHandOvers(now)
		o.sendFinalHandOvers(now)
		return
	}
	if now.Sub(o.handOvers.sentAt) >= o.config.ResendAfter {
		o.sendFinalHandOvers(now)
	}
}

// collectFinalHandOvers prepares the final hand-overs: keys of other owners go to them, and the
// VM's own keys to its custodian.
func (o *Owner) collectFinalHandOvers(now time.Time) {
	for _, name := range o.serviceNames() {
		service := o.services[name]
		for _, vm := range service.list {
			if vm == o.config.Self.VM {
				o.collectCustodyHandOver(now, service)
				continue
			}
			handOver := o.handOverTo(now, service, vm)
			handOver.Final = true
			if len(handOver.Keys) > 0 {
				o.handOvers.unacknowledged[handOverKey{vm, name}] = handOver
			}
		}
	}
}

func (o *Owner) collectCustodyHandOver(now time.Time, service *ownedService) {
	custodian := service.custodianOf(o.config.Self.VM)
	if custodian == "" {
		return
	}
	handOver := o.handOverTo(now, service, o.config.Self.VM)
	handOver.To = custodian
	handOver.Final = true
	handOver.Custody = true
	o.handOvers.unacknowledged[handOverKey{custodian, service.published.Name}] = handOver
}

// custodianOf returns the VM whose agent keeps the keys of a VM until its next incarnation
// asks for them; "" for none.
func (s *ownedService) custodianOf(self ident.VM) ident.VM {
	others := make([]ident.VM, 0, len(s.list))
	for _, vm := range s.list {
		if vm != self {
			others = append(others, vm)
		}
	}
	return RendezvousVM(string(self), others)
}

func (o *Owner) sendFinalHandOvers(now time.Time) {
	o.handOvers.sentAt = now
	if len(o.handOvers.unacknowledged) == 0 {
		o.act(OwnerStopped{})
		return
	}
	keys := make([]handOverKey, 0, len(o.handOvers.unacknowledged))
	for key := range o.handOvers.unacknowledged {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].to < keys[j].to || (keys[i].to == keys[j].to && keys[i].service < keys[j].service)
	})
	for _, key := range keys {
		o.sendHandOver(o.handOvers.unacknowledged[key])
	}
}

func (o *Owner) receiveHandOverAck(ack HandOverAck) {
	if ack.From != o.config.Self.VM {
		return
	}
	key := handOverKey{ack.To.VM, ack.Service}
	sent, ok := o.handOvers.unacknowledged[key]
	if !ok || sent.Custody != ack.Custody {
		return
	}
	delete(o.handOvers.unacknowledged, key)
	if len(o.handOvers.unacknowledged) == 0 {
		o.act(OwnerStopped{})
	}
}

// receiveHandOver stores the keys of a hand-over once all its parts have arrived.
func (o *Owner) receiveHandOver(now time.Time, part HandOver) {
	handOver, whole := o.assemble(part)
	if !whole {
		return
	}
	service := o.services[handOver.Service]
	if service == nil {
		return
	}
	own := handOver.From.VM == o.config.Self.VM
	switch {
	case handOver.Custody && !own && handOver.To == o.config.Self.VM:
		o.storeCustody(handOver)
		o.acknowledge(handOver)
		return
	case handOver.Custody && own && handOver.From != o.config.Self:
		service.predecessor = &handOver
	case handOver.Custody || own || handOver.To != o.config.Self.VM:
		return
	case handOver.List == service.listID && handOver.FleetVersion >= service.listVersion:
		o.recordRelease(service, handOver)
	}
	for _, transfer := range handOver.Keys {
		o.importKey(now, service, transfer)
	}
	o.resolveSources(now, service)
	o.acknowledge(handOver)
	o.updateCoverage(now, service)
}

func (o *Owner) storeCustody(handOver HandOver) {
	key := custodyKey{handOver.From.VM, handOver.Service}
	if kept := o.handOvers.custody[key]; kept != nil && kept.handOver.From == handOver.From {
		return
	}
	o.handOvers.custody[key] = &custody{handOver: handOver}
}

func (o *Owner) recordRelease(service *ownedService, handOver HandOver) {
	// A key that is forwarded alone does not answer the request for all keys.
	if handOver.Round != service.round {
		return
	}
	service.released[handOver.From.VM] = release{
		version: handOver.FleetVersion, from: handOver.From, completeFor: handOver.CompleteFor,
	}
}

func (o *Owner) acknowledge(handOver HandOver) {
	o.act(SendHandOverAck{HandOverAck{
		From: handOver.From.VM, To: o.config.Self, Service: handOver.Service,
		FleetVersion: handOver.FleetVersion, Custody: handOver.Custody,
	}})
}

func (o *Owner) importKey(now time.Time, service *ownedService, transfer KeyTransfer) {
	record := service.keys[transfer.RunKey]
	if record != nil && record.state == keyHeld && record.body != transfer.Body {
		record.refusal = outcome.Refused(outcome.CauseKeyConflict)
		if transfer.Status != KeyServed {
			record.refusal = o.inDoubtOutcome(record.key, 0)
		}
		o.fireKey(now, record, "expire")
		record = nil
	}
	if record == nil {
		record = o.newRecord(service, transfer.RunKey, transfer.Body)
	}
	if transfer.Status == KeyServed {
		if record.state == keyNew || record.state == keyHeld || record.state == keyInDoubt {
			record.body = transfer.Body
			record.outcome = transfer.Outcome
			record.answer = transfer.Answer
			record.content = transfer.Content
		}
		o.importEvent(now, record, "answer", transfer.ExpiresIn)
		return
	}
	if record.state == keyNew || record.state == keyHeld || record.state == keyInDoubt {
		record.doubtFromHandOver = true
		record.refusal = o.inDoubtOutcome(record.key, 0)
	}
	o.importEvent(now, record, "doubt", transfer.ExpiresIn)
}

// importEvent applies an event to the record and keeps the key for as long as its sender would have.
func (o *Owner) importEvent(now time.Time, record *keyRecord, event chart.Event, expiresIn time.Duration) {
	o.fireKey(now, record, event)
	record.expires = later(record.expires, now.Add(expiresIn))
}

// resolveSources removes doubt about incarnations of agents that have handed over all their keys.
func (o *Owner) resolveSources(now time.Time, service *ownedService) {
	for _, record := range service.sortedRecords() {
		if record.state != keyInDoubt {
			continue
		}
		for source := range record.sources {
			if service.hasAllKeysOf(source) {
				delete(record.sources, source)
			}
		}
		if len(record.sources) == 0 && !record.doubtFromHandOver && record.doubtFromLogs {
			o.fireKey(now, record, "resolve")
		}
	}
}
