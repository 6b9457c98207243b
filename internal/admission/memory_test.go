package admission_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Bodies of one customer took all memory of an entry, which was killed with the requests of all customers.
func TestMemoryIsBoundedAndSharedByCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requestLimit := rapid.Int64Range(1<<20, 1<<27).Draw(t, "request limit")
		totalLimit := requestLimit + rapid.Int64Range(0, 1<<26).Draw(t, "for responses")
		account := admission.NewMemoryAccount(admission.MemoryLimits{Requests: requestLimit, Bodies: totalLimit, Total: totalLimit})
		type held struct {
			customer          ident.Customer
			request, response int64
		}
		var calls []held
		maxBody := requestLimit / 12
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			customer := ident.Customer(fmt.Sprint("customer-", rapid.IntRange(0, 3).Draw(t, "customer")))
			bytes := rapid.Int64Range(1, maxBody).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if account.TakeRequest(customer, 1, bytes) {
					calls = append(calls, held{customer: customer, request: bytes})
				}
			case 2:
				if account.TakeResponse(bytes) {
					calls = append(calls, held{customer: customer, response: bytes})
				}
			case 3:
				if len(calls) > 0 {
					ended := calls[0]
					calls = calls[1:]
					account.Return(ended.customer, ended.request, ended.response)
				}
			}
			use := account.Use(customer)
			if use.Requests > requestLimit || use.Requests+use.Responses > totalLimit {
				t.Fatalf("holds %+v", use)
			}
			if use.Customer > requestLimit*4/5+maxBody {
				t.Fatalf("one customer holds %+v", use)
			}
		}
		for _, ended := range calls {
			account.Return(ended.customer, ended.request, ended.response)
		}
		if use := account.Use(""); use.Requests != 0 || use.Responses != 0 {
			t.Fatalf("holds %+v after the end of all calls", use)
		}
	})
}

// A customer with long bodies must not refuse the short requests of another one.
func TestLongBodiesLeaveRoomForOtherCustomers(t *testing.T) {
	c := qt.New(t)
	const limit, long, short = 80 << 20, 4 << 20, 1 << 10
	account := admission.NewMemoryAccount(admission.MemoryLimits{Requests: limit, Bodies: limit, Total: limit})
	taken := 0
	for account.TakeRequest("long", 1, long) {
		taken++
	}
	c.Assert(taken >= 12, qt.IsTrue, qt.Commentf("%d bodies", taken))
	for range 1000 {
		c.Assert(account.TakeRequest("short", 1, short), qt.IsTrue)
	}
	c.Assert(account.TakeRequest("long", 1, long), qt.IsFalse)
}

// Customers that send more long bodies than there is memory held the same, whatever their weights were.
func TestMemoryFollowsTheWeightsOfCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, body = 256 << 20, 1 << 16
		weights := map[ident.Customer]float64{
			"a": rapid.Float64Range(0.25, 4).Draw(t, "weight of a"), "b": rapid.Float64Range(0.25, 4).Draw(t, "weight of b"),
		}
		account := admission.NewMemoryAccount(admission.MemoryLimits{Requests: limit, Bodies: limit, Total: limit})
		customers := []ident.Customer{"a", "b"}
		fill := func() {
			for more := true; more; {
				more = false
				for _, customer := range customers {
					more = account.TakeRequest(customer, weights[customer], body) || more
				}
			}
		}
		fill()
		for range limit / body {
			for _, customer := range customers {
				account.Return(customer, body, 0)
			}
			fill()
		}
		a, b := account.Use("a").Customer, account.Use("b").Customer
		if held, want := float64(a)/float64(b), weights["a"]/weights["b"]; held < 0.95*want || held > 1.05*want {
			t.Fatalf("a holds %d and b %d, weights %v", a, b, weights)
		}
		if !account.TakeRequest("c", 1, limit/40) {
			t.Fatalf("no room for another customer: %+v", account.Use(""))
		}
	})
}

// Heads and connections took memory beside the bodies without a limit.
func TestHeadsAndConnectionsLeaveBodiesLessRoom(t *testing.T) {
	c := qt.New(t)
	account := admission.NewMemoryAccount(admission.MemoryLimits{Requests: 45, Bodies: 52, Heads: 6, Total: 60})
	c.Assert(account.TakeHead(6), qt.IsTrue)
	c.Assert(account.TakeHead(1), qt.IsFalse)
	account.AddConnections(20)
	c.Assert(account.TakeRequest("a", 1, 35), qt.IsFalse)
	c.Assert(account.TakeRequest("a", 1, 20), qt.IsTrue)
	c.Assert(account.TakeResponse(15), qt.IsFalse)
	c.Assert(account.TakeResponse(14), qt.IsTrue)
	account.ReturnHead(6)
	account.AddConnections(-20)
	c.Assert(account.TakeRequest("b", 1, 18), qt.IsTrue)
	c.Assert(account.TakeResponse(1), qt.IsFalse)
}
