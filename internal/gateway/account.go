package gateway

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

const (
	// overloadLogInterval is the least time between two log lines about refusals.
	overloadLogInterval = time.Second
	// accountInterval is the interval at which the account is exposed as metrics. A thousand gauges take some milliseconds of
	// a core, of which an entry may have a fifth.
	accountInterval = 5 * time.Second
	// maxAccountClasses bounds the customers and classes that are counted by themselves; further ones are counted together.
	maxAccountClasses = 512
	// maxLoggedRefusals bounds the kinds of refusals that a log line names.
	maxLoggedRefusals = 4
	// retryAge is the time for which a refused request is remembered. Callers honour a Retry-After of up to a third of
	// their 8 s.
	retryAge = 3 * time.Second
	// maxRefusedRequests bounds the refused requests that are remembered.
	maxRefusedRequests = 4096
)

// callAccount counts the calls of the entry by customer, class and outcome, and recognises repeats of refused requests. It is
// safe for concurrent use.
type callAccount struct {
	mu      sync.Mutex
	account *admission.Account
	classes map[admission.ClassKey]struct{}
	// refusals counts what was refused for lack of capacity since the last log line.
	refusals map[refusalKey]int
	seed     maphash.Seed
	// refused has the times of refusals by the hash of the request.
	refused map[uint64]time.Time
	// loggedAt is when refusals were last logged and exposedAt when the account was last exposed. Only the control thread uses them.
	loggedAt, exposedAt time.Time
}

// refusalKey identifies a kind of refusals.
type refusalKey struct {
	key      admission.ClassKey
	cause    outcome.Cause
	causedBy ident.Customer
}

func newCallAccount() *callAccount {
	return &callAccount{
		account: admission.NewAccount(ident.Instance{}), classes: map[admission.ClassKey]struct{}{},
		refusals: map[refusalKey]int{}, seed: maphash.MakeSeed(), refused: map[uint64]time.Time{},
	}
}

// open counts the arrival of a call and returns the key under which it is counted.
func (a *callAccount) open(key admission.ClassKey) admission.ClassKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.classes[key]; !known {
		if len(a.classes) >= maxAccountClasses {
			key = admission.ClassKey{Customer: admission.OtherCustomers}
		}
		a.classes[key] = struct{}{}
	}
	a.account.Arrive(key)
	return key
}

// close counts the outcome of an open call. key is what open returned, class the customer and class of the call, by which the
// log names refusals.
func (a *callAccount) close(key, class admission.ClassKey, result outcome.Outcome) {
	limit := admission.LimitNone
	switch result.Cause {
	case outcome.CauseOverShare:
		limit = admission.LimitShare
	case outcome.CauseBackendsFull, outcome.CauseNoBackend:
		limit = admission.LimitCapacity
	case outcome.CauseRetryBudget:
		limit = admission.LimitRetries
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Close(key, result, limit, 1)
	if result.DidNotRun() && (limit == admission.LimitShare || limit == admission.LimitCapacity) {
		a.refusals[refusalKey{class, result.Cause, result.CausedBy}]++
	}
}

// recordRefused remembers a request that was refused for lack of capacity.
func (a *callAccount) recordRefused(now time.Time, hash uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.refused) >= maxRefusedRequests {
		for other, at := range a.refused {
			if now.Sub(at) > retryAge {
				delete(a.refused, other)
			}
		}
	}
	if len(a.refused) < maxRefusedRequests {
		a.refused[hash] = now
	}
}

// mayHaveRetries reports whether a refused request is remembered, so that hashes are computed during an overload only.
func (a *callAccount) mayHaveRetries() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.refused) > 0
}

// takeRetry reports whether the request repeats a refused one. Each refusal accounts for one retry, because callers retry once.
func (a *callAccount) takeRetry(now time.Time, hash uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, found := a.refused[hash]
	delete(a.refused, hash)
	return found && now.Sub(at) <= retryAge
}

// changed returns the entries that changed since the last call.
func (a *callAccount) changed() []admission.AccountEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	report, _ := a.account.Report(false)
	return report.Entries
}

// newRefusals returns the most frequent kinds of refusals since the last call, and the number of all.
func (a *callAccount) newRefusals(now time.Time) ([]string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for hash, at := range a.refused {
		if now.Sub(at) > retryAge {
			delete(a.refused, hash)
		}
	}
	kinds := make([]refusalKey, 0, len(a.refusals))
	total := 0
	for kind, count := range a.refusals {
		kinds = append(kinds, kind)
		total += count
	}
	slices.SortFunc(kinds, func(x, y refusalKey) int {
		return cmp.Or(cmp.Compare(a.refusals[y], a.refusals[x]), cmp.Compare(x.key.Customer, y.key.Customer), cmp.Compare(x.key.Class, y.key.Class))
	})
	var lines []string
	for _, kind := range kinds[:min(len(kinds), maxLoggedRefusals)] {
		lines = append(lines, fmt.Sprintf("%s/%s %s because of %s: %d", kind.key.Customer, kind.key.Class, kind.cause, cmp.Or(kind.causedBy, "none"), a.refusals[kind]))
	}
	clear(a.refusals)
	return lines, total
}

// reportAccount exposes the account as metrics and logs who is refused because of whom.
func (g *Gateway) reportAccount(now time.Time) {
	if now.Sub(g.account.exposedAt) >= accountInterval {
		g.account.exposedAt = now
		changed := g.account.changed()
		for i := range changed {
			g.metrics.setAccount(&changed[i])
		}
	}
	if now.Sub(g.account.loggedAt) < overloadLogInterval {
		return
	}
	g.account.loggedAt = now
	refusals, total := g.account.newRefusals(now)
	overloads := g.dispatcher.Overloads(now)
	for _, overload := range overloads {
		g.metrics.scope.Tagged(map[string]string{"service": string(overload.Service)}).Counter("overloaded_seconds").Inc(1)
	}
	if total == 0 {
		return
	}
	fields := logrus.Fields{"refused": total, "refusals": strings.Join(refusals, "; ")}
	for _, o := range overloads {
		fields["service"], fields["capacity"], fields["demand"], fields["caused_by"] = o.Service, o.Capacity, o.Demand, o.CausedBy
		fields["report_age_ms"] = o.ReportAge.Milliseconds()
		break // one line names one service, the first by name
	}
	g.log.WithFields(fields).Info("overload")
}

// openAccount counts the arrival of the call. Its customer and class are empty if they are not known.
func (c *call) openAccount() {
	c.accountKey, c.accountOpen = c.gateway.account.open(c.classKey()), true
}

func (c *call) classKey() admission.ClassKey {
	key := admission.ClassKey{Customer: c.access.Customer}
	if c.route != nil {
		key.Class = ident.Class(c.route.Name)
	}
	return key
}

// closeAccount counts the outcome of the call; a call that a panic ended may have run.
func (c *call) closeAccount() {
	if !c.accountOpen {
		c.openAccount()
	}
	c.accountOpen = false
	c.gateway.account.close(c.accountKey, c.classKey(), c.result)
	if c.result.DidNotRun() && (c.result.Cause == outcome.CauseOverShare || c.result.Cause == outcome.CauseBackendsFull) {
		c.gateway.account.recordRefused(time.Now(), c.retryHash())
	}
}

// isRetry reports whether the caller repeats a request that this entry refused. Retries at other entries are not recognised.
func (c *call) isRetry() bool {
	account := c.gateway.account
	return account.mayHaveRetries() && account.takeRetry(time.Now(), c.retryHash())
}

// retryHash identifies the content of a request: all but the fields that differ between a request and its retry.
func (c *call) retryHash() uint64 {
	sum := uint64(0)
	for name, values := range c.r.Header {
		if name == c.gateway.headers.RequestID || name == c.gateway.headers.Deadline {
			continue
		}
		// The sum does not depend on the order in which the fields are visited.
		sum += maphash.String(c.gateway.account.seed, name+"\x00"+strings.Join(values, "\x00"))
	}
	var hash maphash.Hash
	hash.SetSeed(c.gateway.account.seed)
	_, _ = fmt.Fprintf(&hash, "%d %s %s %s\x00", sum, c.r.Method, c.r.Host, c.r.RequestURI)
	_, _ = hash.Write(c.body)
	return hash.Sum64()
}

// priority returns the priority of the customer if it has one, otherwise that of the route.
func (c *call) priority() int {
	if c.access.HasPriority {
		return c.access.Priority
	}
	return c.route.Priority
}
