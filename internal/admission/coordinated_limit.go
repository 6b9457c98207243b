package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// coordinatedLimit is the state of one limit at its coordinator.
type coordinatedLimit struct {
	key     ClassKey
	limits  template.Limits
	holders map[ident.Instance]*holderState
	// rate, concurrency and tokens divide the pool, as computed at dividedAt.
	rate, concurrency, tokens division
	dividedAt                 time.Time
}

// holderState is the part of a limit that one entry process may be using.
type holderState struct {
	requested Part
	// open is the reported number of open requests beyond the static share.
	open           int
	lastReceivedAt time.Time
	// grants are those that the holder may still be using, in ascending order of their numbers.
	grants []grantRecord
}

// grantRecord is a granted lease.
type grantRecord struct {
	number  uint64
	part    Part
	expires time.Time
}

func newCoordinatedLimit(key ClassKey) *coordinatedLimit {
	return &coordinatedLimit{key: key, holders: make(map[ident.Instance]*holderState)}
}

// update records the demand that a holder reports.
func (l *coordinatedLimit) update(now time.Time, settings Settings, request LimitRequest, demand PartDemand) *holderState {
	h := l.holders[request.From]
	if h == nil {
		h = &holderState{}
		l.holders[request.From] = h
	}
	h.requested = demand.Requested
	h.open = demand.Open
	h.lastReceivedAt = now
	if demand.Grantor == settings.Self.Incarnation && demand.GrantorVM == "" {
		h.acknowledge(demand.Grant, demand.Held)
	}
	return h
}

// releaseReplacedProcesses releases the rates of earlier processes on the same VM. A process replaced another one if it
// returns an echo number that was first sent after the other's last message was received. Concurrency stays charged,
// because requests that the earlier process accepted may still run.
func (l *coordinatedLimit) releaseReplacedProcesses(process ident.Instance, echoSentAt time.Time) {
	for other, h := range l.holders {
		if other.VM != process.VM || other == process || !h.lastReceivedAt.Before(echoSentAt) {
			continue
		}
		for i := range h.grants {
			h.grants[i].part.Rate, h.grants[i].part.Tokens = 0, 0
		}
		h.requested = Part{}
	}
}

// acknowledge removes the grants that the holder will not use again.
func (h *holderState) acknowledge(number uint64, held Part) {
	h.grants = slices.DeleteFunc(h.grants, func(g grantRecord) bool {
		return g.number < number || g.number == number && held == (Part{})
	})
}

func (h *holderState) recordGrant(number uint64, part Part, expires time.Time) {
	h.grants = append(h.grants, grantRecord{number: number, part: part, expires: expires})
}

// maxInUse returns the greatest part that the holder may be using.
func (h *holderState) maxInUse(now time.Time, settings Settings) Part {
	maxOpenTime := settings.withClockDrift(settings.Leases.MaxHold)
	var part Part
	if now.Sub(h.lastReceivedAt) <= maxOpenTime {
		part.Concurrency = h.open
	}
	for _, grant := range h.grants {
		if now.Before(grant.expires) {
			part.Rate = max(part.Rate, grant.part.Rate)
			part.Tokens = max(part.Tokens, grant.part.Tokens)
		}
		if now.Before(grant.expires.Add(maxOpenTime)) {
			part.Concurrency = max(part.Concurrency, grant.part.Concurrency)
		}
	}
	return part
}

// leased returns the sum of the parts that all holders but one may be using.
func (l *coordinatedLimit) leased(now time.Time, settings Settings, except *holderState) Part {
	var sum Part
	for _, process := range l.processes() {
		h := l.holders[process]
		if h == except {
			continue
		}
		part := h.maxInUse(now, settings)
		sum.Rate += part.Rate
		sum.Concurrency += part.Concurrency
		sum.Tokens += part.Tokens
	}
	return sum
}

func (l *coordinatedLimit) processes() []ident.Instance {
	list := make([]ident.Instance, 0, len(l.holders))
	for process := range l.holders {
		list = append(list, process)
	}
	slices.SortFunc(list, func(a, b ident.Instance) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// divisionInterval is the time during which a computed division of the pool is used.
const divisionInterval = 200 * time.Millisecond

// allocate returns the part for the holder: its max-min fair part of the pool, reduced by what other holders may still
// be using.
func (l *coordinatedLimit) allocate(now time.Time, settings Settings, h *holderState) Part {
	pool := leasedPool(l.limits, settings.Leases)
	if l.dividedAt.IsZero() || now.Sub(l.dividedAt) >= divisionInterval {
		l.updateDivision(now, settings, pool)
	}
	others := l.leased(now, settings, h)
	// minUsableRate is the rate at which one request accrues in BurstWindow. A bucket holds at most what accrues in
	// BurstWindow, so that at a lower rate it would never hold a whole request.
	minUsableRate := 1 / settings.Leases.BurstWindow.Seconds()
	part := Part{
		Rate:        max(0, min(max(minUsableRate, l.rate.part(h.requested.Rate)), pool.Rate-others.Rate)),
		Concurrency: max(0, min(l.concurrency.wholePart(h.requested.Concurrency), pool.Concurrency-others.Concurrency)),
		Tokens:      max(0, min(l.tokens.part(h.requested.Tokens), pool.Tokens-others.Tokens)),
	}
	if part.Rate < minUsableRate || h.requested.Rate == 0 {
		part.Rate = 0
	}
	return part
}

// updateDivision divides each component of the pool between the current demands.
func (l *coordinatedLimit) updateDivision(now time.Time, settings Settings, pool Part) {
	var rates, concurrencies, tokens []float64
	for _, process := range l.processes() {
		h := l.holders[process]
		if now.Sub(h.lastReceivedAt) > settings.Leases.TTL {
			continue
		}
		rates = append(rates, h.requested.Rate)
		concurrencies = append(concurrencies, float64(h.requested.Concurrency))
		tokens = append(tokens, h.requested.Tokens)
	}
	l.rate = divide(rates, pool.Rate)
	l.concurrency = divide(concurrencies, float64(pool.Concurrency))
	l.tokens = divide(tokens, pool.Tokens)
	l.dividedAt = now
}

// expire removes the grants under which no request can be open any more, MaxHold after their expiry. It also removes
// the holders without grants from which no request was received for MaxHold. Both times include the clock drift.
func (l *coordinatedLimit) expire(now time.Time, settings Settings) {
	maxOpenTime := settings.withClockDrift(settings.Leases.MaxHold)
	for process, h := range l.holders {
		h.grants = slices.DeleteFunc(h.grants, func(g grantRecord) bool {
			return !now.Before(g.expires.Add(maxOpenTime))
		})
		if len(h.grants) == 0 && now.Sub(h.lastReceivedAt) > maxOpenTime {
			delete(l.holders, process)
		}
	}
}
