package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// coordinatedLimit is one limit at its coordinator.
type coordinatedLimit struct {
	key      LimitKey
	limits   template.Limits
	holdings map[ident.Instance]*holding
	// rate, concurrency and tokens divide the pool, as computed at leveledAt.
	rate, concurrency, tokens division
	leveledAt                 time.Time
}

// holding is what one entry process may be using of a limit.
type holding struct {
	want Part
	// open is the reported number of open requests beyond the static share.
	open    int
	heardAt time.Time
	// grants are those that the holder may be using, in the order of their numbers.
	grants []grantRecord
}

// grantRecord is a lease as the coordinator remembers it.
type grantRecord struct {
	number  uint64
	part    Part
	expires time.Time
}

func newCoordinatedLimit(key LimitKey) *coordinatedLimit {
	return &coordinatedLimit{key: key, holdings: make(map[ident.Instance]*holding)}
}

// update takes in what a holder reports.
func (l *coordinatedLimit) update(now time.Time, settings Settings, request LimitRequest, demand PartDemand) *holding {
	h := l.holdings[request.From]
	if h == nil {
		h = &holding{}
		l.holdings[request.From] = h
	}
	h.want = demand.Want
	h.open = demand.Open
	h.heardAt = now
	if demand.Grantor == settings.Self.Incarnation && demand.GrantorVM == "" {
		h.acknowledge(demand.Grant, demand.Held)
	}
	return h
}

// replaceProcess ends the rates of earlier processes on the VM of a process. A process
// that echoes a poll from after another one's last message came after that one; the
// requests that the dead one accepted may still run.
func (l *coordinatedLimit) replaceProcess(process ident.Instance, basis time.Time) {
	for other, h := range l.holdings {
		if other.VM != process.VM || other == process || !h.heardAt.Before(basis) {
			continue
		}
		for i := range h.grants {
			h.grants[i].part.Rate, h.grants[i].part.Tokens = 0, 0
		}
		h.want = Part{}
	}
}

// acknowledge drops the grants that the holder will never use again.
func (h *holding) acknowledge(number uint64, held Part) {
	h.grants = slices.DeleteFunc(h.grants, func(g grantRecord) bool {
		return g.number < number || g.number == number && held == (Part{})
	})
}

func (h *holding) record(number uint64, part Part, expires time.Time) {
	h.grants = append(h.grants, grantRecord{number: number, part: part, expires: expires})
}

// charged returns the part that the holder may be using.
func (h *holding) charged(now time.Time, settings Settings) Part {
	hold := settings.lengthen(settings.Leases.MaxHold)
	var part Part
	if now.Sub(h.heardAt) <= hold {
		part.Concurrency = h.open
	}
	for _, grant := range h.grants {
		if now.Before(grant.expires) {
			part.Rate = max(part.Rate, grant.part.Rate)
			part.Tokens = max(part.Tokens, grant.part.Tokens)
		}
		if now.Before(grant.expires.Add(hold)) {
			part.Concurrency = max(part.Concurrency, grant.part.Concurrency)
		}
	}
	return part
}

// leased returns the sum of the parts in use by all holders but one.
func (l *coordinatedLimit) leased(now time.Time, settings Settings, except *holding) Part {
	var sum Part
	for _, process := range l.processes() {
		h := l.holdings[process]
		if h == except {
			continue
		}
		part := h.charged(now, settings)
		sum.Rate += part.Rate
		sum.Concurrency += part.Concurrency
		sum.Tokens += part.Tokens
	}
	return sum
}

func (l *coordinatedLimit) processes() []ident.Instance {
	list := make([]ident.Instance, 0, len(l.holdings))
	for process := range l.holdings {
		list = append(list, process)
	}
	slices.SortFunc(list, func(a, b ident.Instance) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// levelSpacing is the time during which a computed level is used.
const levelSpacing = 200 * time.Millisecond

// offer returns the part that the holder gets: its max-min fair part of the pool, as
// far as other holders have given back theirs.
func (l *coordinatedLimit) offer(now time.Time, settings Settings, h *holding) Part {
	pool := leasedPool(l.limits, settings.Leases)
	if l.leveledAt.IsZero() || now.Sub(l.leveledAt) >= levelSpacing {
		l.relevel(now, settings, pool)
	}
	others := l.leased(now, settings, h)
	smallest := 1 / settings.Leases.BurstWindow.Seconds()
	part := Part{
		Rate:        max(0, min(max(smallest, l.rate.part(h.want.Rate)), pool.Rate-others.Rate)),
		Concurrency: max(0, min(l.concurrency.wholePart(h.want.Concurrency), pool.Concurrency-others.Concurrency)),
		Tokens:      max(0, min(l.tokens.part(h.want.Tokens), pool.Tokens-others.Tokens)),
	}
	if part.Rate < smallest || h.want.Rate == 0 {
		part.Rate = 0
	}
	return part
}

// relevel divides each component of the pool between the present wants.
func (l *coordinatedLimit) relevel(now time.Time, settings Settings, pool Part) {
	var rates, concurrencies, tokens []float64
	for _, process := range l.processes() {
		h := l.holdings[process]
		if now.Sub(h.heardAt) > settings.Leases.TTL {
			continue
		}
		rates = append(rates, h.want.Rate)
		concurrencies = append(concurrencies, float64(h.want.Concurrency))
		tokens = append(tokens, h.want.Tokens)
	}
	l.rate = divide(rates, pool.Rate)
	l.concurrency = divide(concurrencies, float64(pool.Concurrency))
	l.tokens = divide(tokens, pool.Tokens)
	l.leveledAt = now
}

// expire drops grants and holdings that nobody can use any more.
func (l *coordinatedLimit) expire(now time.Time, settings Settings) {
	hold := settings.lengthen(settings.Leases.MaxHold)
	for process, h := range l.holdings {
		h.grants = slices.DeleteFunc(h.grants, func(g grantRecord) bool {
			return !now.Before(g.expires.Add(hold))
		})
		if len(h.grants) == 0 && now.Sub(h.heardAt) > hold {
			delete(l.holdings, process)
		}
	}
}
