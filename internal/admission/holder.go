package admission

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// limitHolder enforces the parts of the limits that one entry may use.
type limitHolder struct {
	settings Settings
	roster   roster
	limits   map[LimitKey]*heldLimit
	// byCoordinator lists the limits of each coordinator, sorted.
	byCoordinator map[ident.VM][]*heldLimit
	peers         map[ident.VM]*coordinatorPeer
	sequence      uint64
}

// coordinatorPeer is what the holder knows of a coordinator.
type coordinatorPeer struct {
	vm     ident.VM
	poll   uint64
	pollOf ident.Incarnation
	// answered is the greatest request sequence that a used grant answered.
	answered uint64
	nextSend time.Time
	lastSent time.Time
	// sent holds the sending times of the latest requests.
	sent [sentRequests]sentRequest
	next int
}

// sentRequests is the number of requests whose answers are still accepted.
const sentRequests = 16

type sentRequest struct {
	sequence uint64
	at       time.Time
}

// heldLimit is one limit at one entry.
type heldLimit struct {
	key         LimitKey
	limits      template.Limits
	coordinator ident.VM
	static      Part
	lease       lease
	rate        bucket
	tokens      bucket
	open        int
	demand      demandMeter
}

// lease is a leased part; it must not be used at or after its expiry.
type lease struct {
	part    Part
	grantor ident.Instance
	number  uint64
	expires time.Time
	// mentions is how many more requests mention the lease although it is zero.
	mentions int
}

// limitVerdict says whether the limits accept a request.
type limitVerdict struct {
	kind  LimitKind
	cause outcome.Cause
	// wait is the time until the limit accepts such a request again.
	wait time.Duration
	// spacing is the time between two requests at the limit's rate.
	spacing time.Duration
}

func newLimitHolder(settings Settings) *limitHolder {
	return &limitHolder{
		settings:      settings,
		limits:        make(map[LimitKey]*heldLimit),
		byCoordinator: make(map[ident.VM][]*heldLimit),
		peers:         make(map[ident.VM]*coordinatorPeer),
	}
}

// configure takes in the limits of all plans and the roster.
func (h *limitHolder) configure(now time.Time, plans []template.CustomerPlan, r roster) {
	moved := r.digest != h.roster.digest || h.roster.vms == nil
	h.roster = r
	seen := make(map[LimitKey]struct{}, len(h.limits))
	for _, plan := range plans {
		for i := range plan.Classes {
			class := &plan.Classes[i]
			if class.Limits == (template.Limits{}) {
				continue
			}
			key := LimitKey{Customer: plan.Customer, Class: class.Name}
			seen[key] = struct{}{}
			h.configureLimit(now, key, class.Limits, moved)
		}
	}
	for key := range h.limits {
		if _, ok := seen[key]; !ok {
			delete(h.limits, key)
		}
	}
	h.indexCoordinators(now)
}

func (h *limitHolder) configureLimit(now time.Time, key LimitKey, limits template.Limits, moved bool) {
	held := h.limits[key]
	starts := held == nil
	if starts {
		held = &heldLimit{key: key, rate: bucket{at: now}, tokens: bucket{at: now}}
		held.demand.at = now
		h.limits[key] = held
	}
	if held.limits == limits && !moved {
		return
	}
	h.expire(now, held)
	held.limits = limits
	held.static = staticShare(key, limits, h.roster, h.settings.Self.VM, h.settings.Leases)
	held.coordinator = h.roster.coordinator(key.Customer)
	h.resizeBuckets(now, held)
	if starts {
		h.fillBuckets(held)
	}
}

func (h *limitHolder) indexCoordinators(now time.Time) {
	clear(h.byCoordinator)
	for _, held := range h.limits {
		h.byCoordinator[held.coordinator] = append(h.byCoordinator[held.coordinator], held)
	}
	for vm, list := range h.byCoordinator {
		slices.SortFunc(list, func(a, b *heldLimit) int { return compareKeys(a.key, b.key) })
		if h.peers[vm] == nil && vm != "" {
			h.peers[vm] = &coordinatorPeer{vm: vm, nextSend: now}
		}
	}
	for vm := range h.peers {
		if h.byCoordinator[vm] == nil {
			delete(h.peers, vm)
		}
	}
}

// resizeBuckets adapts the buckets to the static share and the lease.
func (h *limitHolder) resizeBuckets(now time.Time, held *heldLimit) {
	window := h.settings.Leases.BurstWindow.Seconds()
	rate := held.static.Rate + held.lease.part.Rate
	size := 0.0
	if rate*window > 1-rounding {
		size = max(1, min(rate*window, rate+burstSlack))
	}
	held.rate.resize(now, rate, size)
	tokens := held.static.Tokens + held.lease.part.Tokens
	held.tokens.resize(now, tokens, tokens*window)
}

// fillBuckets lets an entry that has just started use its static share at once. The sizes
// of all buckets leave room for that.
func (h *limitHolder) fillBuckets(held *heldLimit) {
	held.rate.level = held.rate.size
	held.tokens.level = held.tokens.size
}

// burstSlack is the number of requests by which a burst may exceed the rate of a second.
// Without it small parts would refuse much of a demand below the rate.
const burstSlack = 4

// rounding absorbs the rounding of floating point numbers.
const rounding = 1e-9

// expire ends a lease that ran out; what accrues afterwards accrues at the static share.
func (h *limitHolder) expire(now time.Time, held *heldLimit) {
	if held.lease.part == (Part{}) || now.Before(held.lease.expires) {
		return
	}
	held.lease.part = Part{}
	h.resizeBuckets(held.lease.expires, held)
}

// accept takes a request into the limits, or says which limit is reached.
func (h *limitHolder) accept(now time.Time, key LimitKey, tokens int) limitVerdict {
	held := h.limits[key]
	if held == nil {
		return limitVerdict{}
	}
	h.expire(now, held)
	held.demand.arrive(tokens)
	verdict := h.check(now, held, float64(tokens))
	if verdict.kind != LimitNone {
		held.demand.refuse(verdict.kind)
		h.hurry(now, held.coordinator)
		return verdict
	}
	held.rate.level -= countedIf(held.limits.RatePerSecond > 0)
	if held.limits.TokensPerSecond > 0 {
		held.tokens.level -= float64(tokens)
	}
	held.open++
	held.demand.noteOpen(held.open)
	return verdict
}

func countedIf(limited bool) float64 {
	if limited {
		return 1
	}
	return 0
}

func (h *limitHolder) check(now time.Time, held *heldLimit, tokens float64) limitVerdict {
	never := h.settings.MaxRetryAfter
	allowed := held.static.Concurrency + held.lease.part.Concurrency
	if held.limits.Concurrency > 0 && held.open >= allowed {
		return limitVerdict{kind: LimitConcurrency, cause: outcome.CauseConcurrencyLimit}
	}
	held.rate.refill(now)
	if held.limits.RatePerSecond > 0 && held.rate.level < 1-rounding {
		return limitVerdict{
			kind: LimitRate, cause: outcome.CauseRateLimit,
			wait: held.rate.wait(1, never), spacing: interval(held.rate.rate, never),
		}
	}
	held.tokens.refill(now)
	if held.limits.TokensPerSecond > 0 && held.tokens.level < tokens {
		return limitVerdict{
			kind: LimitTokens, cause: outcome.CauseTokenLimit,
			wait: held.tokens.wait(tokens, never), spacing: interval(held.tokens.rate/max(1, tokens), never),
		}
	}
	return limitVerdict{}
}

// interval returns the time between two events of a rate, at most never.
func interval(rate float64, never time.Duration) time.Duration {
	if rate*never.Seconds() <= 1 {
		return never
	}
	return time.Duration(float64(time.Second) / rate)
}

// release ends a request; extra is the number of tokens used beyond the estimate.
func (h *limitHolder) release(now time.Time, key LimitKey, extra int) {
	held := h.limits[key]
	if held == nil {
		return
	}
	held.open = max(0, held.open-1)
	if held.limits.TokensPerSecond > 0 && extra != 0 {
		held.tokens.refill(now)
		held.tokens.level = min(held.tokens.size, held.tokens.level-float64(extra))
	}
}

// granted takes in a coordinator's answer.
func (h *limitHolder) granted(now time.Time, grant LimitGrant) {
	peer := h.peers[grant.From.VM]
	if peer == nil || grant.To != h.settings.Self || grant.Roster != h.roster.digest {
		return
	}
	sentAt, known := peer.sentAt(grant.Sequence)
	if !known || grant.Sequence < peer.answered {
		return
	}
	if grant.Poll > peer.poll || grant.From.Incarnation != peer.pollOf {
		peer.poll = grant.Poll
		peer.pollOf = grant.From.Incarnation
	}
	peer.answered = grant.Sequence
	drift := 1 - h.settings.Leases.ClockDrift
	expires := sentAt.Add(time.Duration(float64(grant.TTL) * drift))
	for _, part := range grant.Grants {
		h.applyGrant(now, grant.From, part, expires)
	}
}

func (h *limitHolder) applyGrant(now time.Time, from ident.Instance, grant PartGrant, expires time.Time) {
	held := h.limits[grant.Key]
	if held == nil || held.coordinator != from.VM {
		return
	}
	h.expire(now, held)
	if held.lease.grantor == from && grant.Number <= held.lease.number {
		return
	}
	if grant.Adopts != 0 && (held.lease.number != grant.Adopts || held.lease.grantor.Incarnation != grant.AdoptsOf) {
		return
	}
	lowered := held.lease.part != (Part{}) && below(grant.Part, held.lease.part)
	held.lease = lease{part: grant.Part, grantor: from, number: grant.Number, expires: expires, mentions: leaseMentions}
	if !now.Before(expires) {
		held.lease.part = Part{}
	}
	h.resizeBuckets(now, held)
	if lowered {
		h.hurry(now, held.coordinator)
	}
}

// below reports whether any component of a is less than that of b.
func below(a, b Part) bool {
	return a.Rate < b.Rate || a.Concurrency < b.Concurrency || a.Tokens < b.Tokens
}

// leaseMentions is the number of requests that report a grant of nothing, so that the
// coordinator learns of it even if some of them are lost.
const leaseMentions = 3

// hurryFraction is the part of the interval that even urgent requests keep.
const hurryFraction = 10

// hurry sends the next request to a coordinator early.
func (h *limitHolder) hurry(now time.Time, vm ident.VM) {
	peer := h.peers[vm]
	if peer == nil {
		return
	}
	earliest := peer.lastSent.Add(h.settings.Leases.Interval / hurryFraction)
	if earliest.Before(now) {
		earliest = now
	}
	if earliest.Before(peer.nextSend) {
		peer.nextSend = earliest
	}
}

func (p *coordinatorPeer) sentAt(sequence uint64) (time.Time, bool) {
	for _, sent := range p.sent {
		if sent.sequence == sequence && sequence != 0 {
			return sent.at, true
		}
	}
	return time.Time{}, false
}

// tick returns the requests that are due.
func (h *limitHolder) tick(now time.Time) []SendLimitRequest {
	var due []ident.VM
	for vm, peer := range h.peers {
		if !peer.nextSend.After(now) {
			due = append(due, vm)
		}
	}
	slices.Sort(due)
	requests := make([]SendLimitRequest, 0, len(due))
	for _, vm := range due {
		requests = append(requests, h.request(now, h.peers[vm]))
	}
	return requests
}

func (h *limitHolder) request(now time.Time, peer *coordinatorPeer) SendLimitRequest {
	h.sequence++
	peer.sent[peer.next] = sentRequest{sequence: h.sequence, at: now}
	peer.next = (peer.next + 1) % sentRequests
	peer.lastSent = now
	peer.nextSend = now.Add(h.settings.Leases.Interval)
	message := LimitRequest{
		From: h.settings.Self, Roster: h.roster.digest, Sequence: h.sequence,
		Poll: peer.poll, PollOf: peer.pollOf,
	}
	for _, held := range h.byCoordinator[peer.vm] {
		h.expire(now, held)
		if demand, ok := h.partDemand(now, held, peer.vm); ok {
			message.Demands = append(message.Demands, demand)
		}
	}
	return SendLimitRequest{To: peer.vm, Message: message}
}

// partDemand returns what a request says of one limit, and false if there is nothing to say.
func (h *limitHolder) partDemand(now time.Time, held *heldLimit, to ident.VM) (PartDemand, bool) {
	demand := PartDemand{
		Key: held.key, Want: held.want(now, h.settings.Leases), Held: held.lease.part,
		Grantor: held.lease.grantor.Incarnation, Grant: held.lease.number,
		Open: max(0, held.open-held.static.Concurrency),
	}
	if held.lease.grantor.VM != to {
		demand.GrantorVM = held.lease.grantor.VM
	}
	if demand.Want != (Part{}) || demand.Held != (Part{}) || demand.Open > 0 {
		return demand, true
	}
	held.lease.mentions--
	return demand, held.lease.mentions >= 0
}
