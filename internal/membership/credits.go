package membership

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// find returns the client of an entry process or nil.
func (g *Grantor) find(instance ident.Instance) *client {
	at := g.search(instance)
	if at < len(g.clients) && g.clients[at].instance == instance {
		return g.clients[at]
	}
	return nil
}

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

// findOrAdd returns the findOrAdd of an entry process, which it adds if need be.
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

// expire forgets grants that have run out and clients without grants and work.
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

// creditsFor returns the credits of the client's next grant. The sum of what all clients
// may believe to hold never passes the slots: a client's part grows only after another's
// smaller grant was acknowledged, or its larger one has run out.
func (g *Grantor) creditsFor(c *client) uint32 {
	slots := max(g.settings.Slots, 0)
	taken := 0
	for _, other := range g.clients {
		if other != c {
			taken += int(max(other.outstanding(), other.open))
		}
	}
	free := max(slots-taken, 0)
	return uint32(min(g.fairShare(c, slots), free))
}

// fairShare divides the slots by max-min fairness over what clients want, and the rest
// evenly, so that an idle entry can start work without asking first.
func (g *Grantor) fairShare(c *client, slots int) int {
	order := g.rotated()
	sort.SliceStable(order, func(i, j int) bool { return order[i].demand() < order[j].demand() })
	left, share := slots, 0
	for i, other := range order {
		part := min(other.demand(), left/(len(order)-i))
		left -= part
		if other == c {
			share = part
		}
	}
	return share + left/len(order)
}

// rotated returns the clients in an order that changes with time, so that where there
// are fewer slots than clients each has a turn.
func (g *Grantor) rotated() []*client {
	count := len(g.clients)
	first := int(uint64(g.lastNumber) / uint64(4*count) % uint64(count))
	order := make([]*client, 0, count)
	order = append(order, g.clients[first:]...)
	return append(order, g.clients[:first]...)
}

// demand is the number of credits that the client can use; an idle one keeps one.
func (c *client) demand() int {
	return int(max(c.requested, c.open, 1))
}

// outstanding is the largest number of credits that the entry may believe to hold.
func (c *client) outstanding() uint32 {
	var most uint32
	for _, grant := range c.grants {
		most = max(most, grant.credits)
	}
	return most
}

// acknowledge takes the credits of the grants before the one that the entry has received.
// Dispatches sent under them stay valid until they run out.
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

func (c *client) hasValidLease(now time.Time, number LeaseNumber) bool {
	for _, grant := range c.grants {
		if grant.number == number {
			return !grant.invalidated && now.Before(grant.expires)
		}
	}
	return false
}
