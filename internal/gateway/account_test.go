package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// accountOf returns the entries of a gateway's account by customer and class.
func accountOf(account *callAccount) map[admission.ClassKey]admission.AccountEntry {
	account.mu.Lock()
	defer account.mu.Unlock()
	entries := map[admission.ClassKey]admission.AccountEntry{}
	for _, entry := range account.account.Snapshot() {
		entries[entry.Key] = entry
	}
	return entries
}

// Each call must be counted as one arrival and closed once, under its customer and class where they are known, whatever ends it:
// an answer, a refusal before or after the credential is checked, a body that cannot be read, a deadline, a caller that
// leaves, a failing server, or a stream that is cut off.
func TestEveryCallIsAccountedOnce(t *testing.T) {
	backend := newTestBackend(t, "b1", func(conn net.Conn, request receivedRequest) bool {
		switch {
		case strings.Contains(request.uri, "slow"):
			time.Sleep(400 * time.Millisecond)
			return writeResponse(conn, request, http.StatusOK, "late")
		case strings.Contains(request.uri, "broken"):
			return false
		case strings.HasPrefix(request.uri, "/stream/"):
			writeStreamHead(conn, request)
			writeEvent(conn, 1)
			if strings.Contains(request.uri, "cut") {
				return false
			}
			writeStreamEnd(conn)
			return true
		}
		return writeResponse(conn, request, http.StatusOK, "ok")
	})
	g := newTestGateway(t, backend)
	key := []string{testHeaders.Credential, "key"}
	g.get("/lookup/x", key...)
	g.get("/lookup/x", testHeaders.Credential, "unknown")
	g.get("/nowhere/x", key...)
	g.get("/lookup/public/x")
	g.post("/post/x", strings.Repeat("x", 5000), key...)
	g.get("/short/slow", key...)
	g.get("/lookup/broken", key...)
	g.post("/post/broken", "", key...)
	g.get("/stream/x", key...)
	g.get("/stream/cut", key...)
	leaving, leave := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer leave()
	g.request(leaving, http.MethodGet, "/lookup/slow", "", key...)
	const calls = 11
	c := qt.New(t)
	arrivals, open := uint64(0), uint64(1)
	for deadline := time.Now().Add(5 * time.Second); (open > 0 || arrivals < calls) && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		arrivals, open = 0, 0
		for _, entry := range accountOf(g.gateway.account) {
			arrivals += entry.Arrivals
			open += entry.Open
		}
	}
	entries := accountOf(g.gateway.account)
	for _, entry := range entries {
		c.Check(entry.Conserved(), qt.IsTrue, qt.Commentf("%+v", entry))
	}
	c.Check(arrivals, qt.Equals, uint64(calls))
	c.Check(open, qt.Equals, uint64(0))
	lookup := entries[admission.ClassKey{Customer: "customer-of-key", Class: "lookup"}]
	c.Check(lookup.Served, qt.Equals, uint64(1))
	c.Check(entries[admission.ClassKey{Class: "lookup"}].NotRun[0].Cause, qt.Equals, outcome.CauseUnauthorized)
	c.Check(entries[admission.ClassKey{Class: "public"}].Served, qt.Equals, uint64(1))
	c.Check(entries[admission.ClassKey{Customer: "customer-of-key", Class: "post"}].Arrivals, qt.Equals, uint64(2))
	c.Check(entries[admission.ClassKey{Customer: "customer-of-key", Class: "stream"}].Served, qt.Equals, uint64(1))
}

// The account must stay conserved and bounded for any calls of any number of customers and classes, also concurrent ones.
func TestAccountOfCallsIsConservedAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := newCallAccount()
		customers := rapid.IntRange(1, 2000).Draw(t, "customers")
		kinds := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 20).Draw(t, "outcomes")
		const workers, each = 4, 300
		var group sync.WaitGroup
		for worker := range workers {
			group.Go(func() {
				for i := range each {
					key := account.open(admission.ClassKey{Customer: ident.Customer(fmt.Sprint((i*7 + worker) % customers)), Class: "x"})
					result := outcome.Outcome{Kind: outcome.Kind(kinds[i%len(kinds)]), Cause: outcome.CauseOverShare, CausedBy: ident.Customer(fmt.Sprint(i % 90))}
					if i%5 != 0 {
						account.close(key, key, result)
					}
				}
			})
		}
		group.Wait()
		arrivals, open := uint64(0), uint64(0)
		entries := accountOf(account)
		for _, entry := range entries {
			arrivals += entry.Arrivals
			open += entry.Open
			if !entry.Conserved() {
				t.Fatalf("not conserved: %+v", entry)
			}
		}
		if arrivals != workers*each || open != workers*each/5 || len(entries) > maxAccountClasses+1 {
			t.Fatalf("%d arrivals, %d open, %d entries", arrivals, open, len(entries))
		}
	})
}

// The log line must name who is refused because of whom, the most frequent first, and only what is new since the last one.
func TestRefusalsAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	account := newCallAccount()
	refuse := func(customer ident.Customer, cause outcome.Cause, times int) {
		for range times {
			result := outcome.Refused(cause)
			result.CausedBy = "flood"
			key := admission.ClassKey{Customer: customer, Class: "drafts"}
			account.close(account.open(key), key, result)
		}
	}
	refuse("flood", outcome.CauseOverShare, 9)
	refuse("a", outcome.CauseBackendsFull, 2)
	refuse("a", outcome.CauseBadRequest, 5)
	c.Assert(account.changed(), qt.HasLen, 2)
	refusals, total := account.newRefusals(time.Now())
	c.Assert(total, qt.Equals, 11)
	c.Assert(refusals, qt.DeepEquals, []string{
		"flood/drafts over-share because of flood: 9", "a/drafts backends-full because of flood: 2",
	})
	c.Assert(account.changed(), qt.HasLen, 0)
	refusals, total = account.newRefusals(time.Now())
	c.Assert(total, qt.Equals, 0)
	c.Assert(refusals, qt.HasLen, 0)
}

// A refusal accounts for one retry: requests with the same content that arrive later are new demand, and a refusal that is too
// old accounts for none.
func TestEachRefusalAccountsForOneRetry(t *testing.T) {
	c := qt.New(t)
	account := newCallAccount()
	now := time.Now()
	account.recordRefused(now, 7)
	c.Assert(account.takeRetry(now.Add(time.Second), 8), qt.IsFalse)
	c.Assert(account.takeRetry(now.Add(time.Second), 7), qt.IsTrue)
	c.Assert(account.takeRetry(now.Add(time.Second), 7), qt.IsFalse)
	account.recordRefused(now, 9)
	c.Assert(account.takeRetry(now.Add(retryAge+time.Millisecond), 9), qt.IsFalse)
	for i := range uint64(3 * maxRefusedRequests) {
		account.recordRefused(now, i)
	}
	c.Assert(len(account.refused) <= maxRefusedRequests, qt.IsTrue)
}

// Demand must be stated within 0.5 s while there is any and at once when it changes much, and subscriptions without demand must
// not become more frequent.
func TestSubscriptionsStateDemand(t *testing.T) {
	c := qt.New(t)
	agent := netip.MustParseAddrPort("10.0.0.9:7340")
	sent := func(demandAt func(ms int) float64) (times []int) {
		directory := newLeaderDirectory()
		directory.setGroups(map[ident.Group][]netip.AddrPort{"g": {agent}})
		for ms := 0; ms <= 2000; ms += 200 {
			now := time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
			directory.recordReport(now, "g", agent)
			var demand []admission.CustomerDemand
			if rate := demandAt(ms); rate > 0 {
				demand = []admission.CustomerDemand{{Customer: "a", Rate: rate}}
			}
			for _, subscription := range directory.due(now, func(ident.Group) []admission.CustomerDemand { return demand }) {
				c.Assert(subscription.demand, qt.DeepEquals, demand)
				times = append(times, ms)
			}
		}
		return times
	}
	c.Assert(sent(func(int) float64 { return 0 }), qt.DeepEquals, []int{0, 1000, 2000})
	c.Assert(sent(func(int) float64 { return 20 }), qt.DeepEquals, []int{0, 400, 800, 1200, 1600, 2000})
	flood := func(ms int) float64 {
		if ms >= 1000 {
			return 60
		}
		return 20
	}
	c.Assert(sent(flood), qt.DeepEquals, []int{0, 400, 800, 1000, 1400, 1800})
}
