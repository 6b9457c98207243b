package membership

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// find returns the client of an entry process; nil if there is none.
func (g *Grantor) find(instance ident.Instance) *client {
	at := g.search(instance)
	if at < len(g.clients) && g.clients[at].instance == instance {
		return g.clients[at]
	}
	return nil
}

// search returns the index of a client in the sorted list, or where it would be inserted.
func (g *Grantor) search(instance ident.Instance) int {
	return sort.Search(len(g.clients), func(i int) bool {
		return !instanceLess(g.clients[i].instance, instance)
	})
}

func instanceLess(a, b ident.Instance) bool {
	if a.VM != b.VM {
		return a.VM < b.VM
	}
	return a.Incarnation < b.Incarnation
}

// findOrAdd returns the client of an entry process and adds it if there is none.
func (g *Grantor) findOrAdd(instance ident.Instance) *client {
	if c := g.find(instance); c != nil {
		return c
	}
	at := g.search(instance)
	c := &client{instance: instance}
	g.clients = append(g.clients, nil)
	copy(g.clients[at+1:], g.clients[at:])
	g.clients[at] = c
	return c
}

// expire removes expired grants, and clients that have neither grants nor open requests.
func (g *Grantor) expire(now time.Time) {
	kept := g.clients[:0]
	for _, c := range g.clients {
		c.expire(now)
		if len(c.grants) > 0 || c.open > 0 {
			kept = append(kept, c)
		}
	}
	clear(g.clients[len(kept):])
	g.clients = kept
}

// creditsFor returns the credits of the client's next grant. The credits that all entries may hold
// together never exceed the slots: credits become free for a client only after another client has
// acknowledged a smaller grant, or that other client's larger grant has expired.
func (g *Grantor) creditsFor(c *client) uint32 {
	slots := max(g.settings.Slots, 0)
	committed := 0
	for _, other := range g.clients {
		if other != c {
			committed += int(max(other.maxCredits(), other.open))
		}
	}
	free := max(slots-committed, 0)
	return uint32(min(g.fairShare(c, slots), free))
}

// fairShare divides the slots by max-min fairness over the demand of the clients, and the rest evenly,
// so that an idle entry can send requests without asking for credits first.
func (g *Grantor) fairShare(c *client, slots int) int {
	order := g.rotated()
	sort.SliceStable(order, func(i, j int) bool { return order[i].effectiveDemand() < order[j].effectiveDemand() })
	remaining, share := slots, 0
	for i, other := range order {
		part := min(other.effectiveDemand(), remaining/(len(order)-i))
		remaining -= part
		if other == c {
			share = part
		}
	}
	return share + remaining/len(order)
}

// rotated returns the clients in an order that changes as grants are made, so that all clients get
// credits in turn if there are fewer slots than clients. The order moves on by one client after
// 4*count grants, which is about four heartbeats of every client.
func (g *Grantor) rotated() []*client {
	count := len(g.clients)
	first := int(uint64(g.lastNumber) / uint64(4*count) % uint64(count))
	order := make([]*client, 0, count)
	order = append(order, g.clients[first:]...)
	return append(order, g.clients[:first]...)
}

// effectiveDemand is the number of credits that the client can use: its demand, or the number of its open
// requests if that is larger. It is at least 1, so that an idle client keeps a credit.
func (c *client) effectiveDemand() int {
	return int(max(c.demand, c.open, 1))
}

// maxCredits is the largest number of credits that the entry may hold under an unexpired grant.
func (c *client) maxCredits() uint32 {
	var most uint32
	for _, grant := range c.grants {
		most = max(most, grant.credits)
	}
	return most
}

// acknowledge sets the credits of all grants before the one that the entry has received to 0.
// Dispatches sent under those grants stay valid until the grants expire.
func (c *client) acknowledge(held LeaseNumber) {
	for i := range c.grants {
		if c.grants[i].number < held {
			c.grants[i].credits = 0
		}
	}
}

func (c *client) expire(now time.Time) {
	for len(c.grants) > 0 && !now.Before(c.grants[0].expires) {
		c.grants = c.grants[1:]
	}
}

// hasValidLease reports whether a dispatch may be accepted under the lease.
func (c *client) hasValidLease(now time.Time, number LeaseNumber) bool {
	for _, grant := range c.grants {
		if grant.number == number {
			return !grant.invalidated && now.Before(grant.expires)
		}
	}
	return false
}
