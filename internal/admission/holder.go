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
	limits   map[ClassKey]*heldLimit
	// byCoordinator lists the limits of each coordinator, sorted.
	byCoordinator map[ident.VM][]*heldLimit
	peers         map[ident.VM]*coordinatorPeer
	sequence      uint64
}

// coordinatorPeer is the state of the exchange with one coordinator.
type coordinatorPeer struct {
	vm ident.VM
	// echoNumber is the newest echo number received from the coordinator, echoIncarnation the incarnation that sent it.
	echoNumber      uint64
	echoIncarnation ident.Incarnation
	// lastAnswered is the greatest request sequence number that an applied grant answered.
	lastAnswered uint64
	nextSend     time.Time
	lastSent     time.Time
	// sent is a ring buffer of the sending times of the latest requests.
	sent      [maxSentRequests]sentRequest
	nextIndex int
}

// maxSentRequests is the number of latest requests whose answers are still accepted.
const maxSentRequests = 16

type sentRequest struct {
	sequence uint64
	at       time.Time
}

// heldLimit is the state of one limit at one entry.
type heldLimit struct {
	key           ClassKey
	limits        template.Limits
	coordinator   ident.VM
	static        Part
	lease         lease
	requestBucket bucket
	tokenBucket   bucket
	open          int
	demand        demandMeter
}

// lease is a leased part. It must not be used at or after its expiry.
type lease struct {
	part    Part
	grantor ident.Instance
	number  uint64
	expires time.Time
	// zeroReportsLeft is the number of LimitRequests that still report this grant if its part is zero; see
	// zeroGrantReports.
	zeroReportsLeft int
}

// limitDecision states whether the limits accept a request. Its kind is LimitNone if they do.
type limitDecision struct {
	kind  LimitKind
	cause outcome.Cause
	// wait is the estimated time until the limit accepts a similar request.
	wait time.Duration
	// spacing is the time between two similar requests at the rate of the limit.
	spacing time.Duration
}

func newLimitHolder(settings Settings) *limitHolder {
	return &limitHolder{
		settings:      settings,
		limits:        make(map[ClassKey]*heldLimit),
		byCoordinator: make(map[ident.VM][]*heldLimit),
		peers:         make(map[ident.VM]*coordinatorPeer),
	}
}

// configure applies the limits of all plans and the roster.
func (h *limitHolder) configure(now time.Time, plans []template.CustomerPlan, r roster) {
	rosterChanged := r.digest != h.roster.digest || h.roster.vms == nil
	h.roster = r
	configured := make(map[ClassKey]struct{}, len(h.limits))
	for _, plan := range plans {
		for i := range plan.Classes {
			class := &plan.Classes[i]
			if class.Limits == (template.Limits{}) {
				continue
			}
			key := ClassKey{Customer: plan.Customer, Class: class.Name}
			configured[key] = struct{}{}
			h.configureLimit(now, key, class.Limits, rosterChanged)
		}
	}
	for key := range h.limits {
		if _, ok := configured[key]; !ok {
			delete(h.limits, key)
		}
	}
	h.indexCoordinators(now)
}

func (h *limitHolder) configureLimit(now time.Time, key ClassKey, limits template.Limits, rosterChanged bool) {
	held := h.limits[key]
	isNew := held == nil
	if isNew {
		held = &heldLimit{key: key, requestBucket: bucket{refilledAt: now}, tokenBucket: bucket{refilledAt: now}}
		held.demand.updatedAt = now
		h.limits[key] = held
	}
	if held.limits == limits && !rosterChanged {
		return
	}
	h.expire(now, held)
	held.limits = limits
	held.static = staticShare(key, limits, h.roster, h.settings.Self.VM, h.settings.Leases)
	held.coordinator = h.roster.coordinator(key.Customer)
	h.resizeBuckets(now, held)
	if isNew {
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

// resizeBuckets sets the rates and sizes of the buckets to the sum of the static share and the lease.
func (h *limitHolder) resizeBuckets(now time.Time, held *heldLimit) {
	window := h.settings.Leases.BurstWindow.Seconds()
	rate := held.static.Rate + held.lease.part.Rate
	size := 0.0
	if rate*window > 1-roundingTolerance {
		size = max(1, min(rate*window, rate+burstAllowance))
	}
	held.requestBucket.resize(now, rate, size)
	tokens := held.static.Tokens + held.lease.part.Tokens
	held.tokenBucket.resize(now, tokens, tokens*window)
}

// fillBuckets lets an entry that has just started use its static share at once. The sizes of the buckets of all entries
// add up to at most limit * BurstWindow, so that full buckets stay within the permitted burst.
func (h *limitHolder) fillBuckets(held *heldLimit) {
	held.requestBucket.level = held.requestBucket.size
	held.tokenBucket.level = held.tokenBucket.size
}

// burstAllowance is the number of requests that a burst may contain beyond those that accrue in one second. Without it,
// an entry with a small part would refuse many requests although the demand is below the rate.
const burstAllowance = 4

// roundingTolerance is the tolerance for rounding errors of floating point numbers.
const roundingTolerance = 1e-9

// expire ends a lease at its expiry. After that, units accrue at the rate of the static share.
func (h *limitHolder) expire(now time.Time, held *heldLimit) {
	if held.lease.part == (Part{}) || now.Before(held.lease.expires) {
		return
	}
	held.lease.part = Part{}
	h.resizeBuckets(held.lease.expires, held)
}

// accept charges a request to the limits, or returns the limit that is reached.
func (h *limitHolder) accept(now time.Time, key ClassKey, tokens int) limitDecision {
	held := h.limits[key]
	if held == nil {
		return limitDecision{}
	}
	h.expire(now, held)
	held.demand.recordArrival(tokens)
	decision := h.check(now, held, float64(tokens))
	if decision.kind != LimitNone {
		held.demand.recordRefusal(decision.kind)
		h.expediteRequest(now, held.coordinator)
		return decision
	}
	held.requestBucket.level -= oneIf(held.limits.RatePerSecond > 0)
	if held.limits.TokensPerSecond > 0 {
		held.tokenBucket.level -= float64(tokens)
	}
	held.open++
	held.demand.recordOpen(held.open)
	return decision
}

func oneIf(limited bool) float64 {
	if limited {
		return 1
	}
	return 0
}

func (h *limitHolder) check(now time.Time, held *heldLimit, tokens float64) limitDecision {
	longest := h.settings.MaxRetryAfter
	allowed := held.static.Concurrency + held.lease.part.Concurrency
	if held.limits.Concurrency > 0 && held.open >= allowed {
		return limitDecision{kind: LimitConcurrency, cause: outcome.CauseConcurrencyLimit}
	}
	held.requestBucket.refill(now)
	if held.limits.RatePerSecond > 0 && held.requestBucket.level < 1-roundingTolerance {
		return limitDecision{
			kind: LimitRate, cause: outcome.CauseRateLimit,
			wait: held.requestBucket.wait(1, longest), spacing: interval(held.requestBucket.rate, longest),
		}
	}
	held.tokenBucket.refill(now)
	if held.limits.TokensPerSecond > 0 && held.tokenBucket.level < tokens {
		return limitDecision{
			kind: LimitTokens, cause: outcome.CauseTokenLimit,
			wait: held.tokenBucket.wait(tokens, longest), spacing: interval(held.tokenBucket.rate/max(1, tokens), longest),
		}
	}
	return limitDecision{}
}

// interval returns the time between two events at a rate per second, at most longest.
func interval(rate float64, longest time.Duration) time.Duration {
	if rate*longest.Seconds() <= 1 {
		return longest
	}
	return time.Duration(float64(time.Second) / rate)
}

// release ends a request. extra is the number of tokens used beyond the estimate; it may be negative.
func (h *limitHolder) release(now time.Time, key ClassKey, extra int) {
	held := h.limits[key]
	if held == nil {
		return
	}
	held.open = max(0, held.open-1)
	if held.limits.TokensPerSecond > 0 && extra != 0 {
		held.tokenBucket.refill(now)
		held.tokenBucket.level = min(held.tokenBucket.size, held.tokenBucket.level-float64(extra))
	}
}

// handleGrant applies a coordinator's answer. Answers to unknown or superseded requests are ignored.
func (h *limitHolder) handleGrant(now time.Time, grant LimitGrant) {
	peer := h.peers[grant.From.VM]
	if peer == nil || grant.To != h.settings.Self || grant.Roster != h.roster.digest {
		return
	}
	sentAt, known := peer.sentAt(grant.Sequence)
	if !known || grant.Sequence < peer.lastAnswered {
		return
	}
	if grant.EchoNumber > peer.echoNumber || grant.From.Incarnation != peer.echoIncarnation {
		peer.echoNumber = grant.EchoNumber
		peer.echoIncarnation = grant.From.Incarnation
	}
	peer.lastAnswered = grant.Sequence
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
	if grant.RenewedGrant != 0 && !held.lease.matches(grant.RenewedGrantor, grant.RenewedGrant) {
		return
	}
	lowered := held.lease.part != (Part{}) && anyLower(grant.Part, held.lease.part)
	held.lease = lease{part: grant.Part, grantor: from, number: grant.Number, expires: expires, zeroReportsLeft: zeroGrantReports}
	if !now.Before(expires) {
		held.lease.part = Part{}
	}
	h.resizeBuckets(now, held)
	if lowered {
		h.expediteRequest(now, held.coordinator)
	}
}

// matches reports whether the lease is that of the grant and has not expired.
func (l lease) matches(grantor ident.Incarnation, number uint64) bool {
	return l.part != (Part{}) && l.number == number && l.grantor.Incarnation == grantor
}

// anyLower reports whether any component of a is less than that of b.
func anyLower(a, b Part) bool {
	return a.Rate < b.Rate || a.Concurrency < b.Concurrency || a.Tokens < b.Tokens
}

// zeroGrantReports is the number of requests that report a grant of a zero part, so that the coordinator receives the
// acknowledgement even if some requests are lost.
const zeroGrantReports = 3

// minIntervalDivisor divides the request interval to give the least time between two requests.
const minIntervalDivisor = 10

// expediteRequest schedules the next request to a coordinator as early as the least interval allows.
func (h *limitHolder) expediteRequest(now time.Time, vm ident.VM) {
	peer := h.peers[vm]
	if peer == nil {
		return
	}
	earliest := peer.lastSent.Add(h.settings.Leases.Interval / minIntervalDivisor)
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

// tick returns the requests that are due, sorted by VM.
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
	peer.sent[peer.nextIndex] = sentRequest{sequence: h.sequence, at: now}
	peer.nextIndex = (peer.nextIndex + 1) % maxSentRequests
	peer.lastSent = now
	peer.nextSend = now.Add(h.settings.Leases.Interval)
	message := LimitRequest{
		From: h.settings.Self, Roster: h.roster.digest, Sequence: h.sequence,
		EchoNumber: peer.echoNumber, EchoIncarnation: peer.echoIncarnation,
	}
	for _, held := range h.byCoordinator[peer.vm] {
		h.expire(now, held)
		if demand, ok := h.partDemand(now, held, peer.vm); ok {
			message.Demands = append(message.Demands, demand)
		}
	}
	return SendLimitRequest{To: peer.vm, Message: message}
}

// partDemand returns the demand for one limit; false if the request need not include it.
func (h *limitHolder) partDemand(now time.Time, held *heldLimit, to ident.VM) (PartDemand, bool) {
	demand := PartDemand{
		Key: held.key, Requested: held.requestedPart(now, h.settings.Leases), Held: held.lease.part,
		Grantor: held.lease.grantor.Incarnation, Grant: held.lease.number,
		Open: max(0, held.open-held.static.Concurrency),
	}
	if held.lease.grantor.VM != to {
		demand.GrantorVM = held.lease.grantor.VM
	}
	if demand.Requested != (Part{}) || demand.Held != (Part{}) || demand.Open > 0 {
		return demand, true
	}
	held.lease.zeroReportsLeft--
	return demand, held.lease.zeroReportsLeft >= 0
}
