package expert

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Parameters of the relay tree.
const (
	// relayFanOut is the number of ranks to which each agent passes an order on. A greater one makes each hop longer,
	// a smaller one the tree deeper.
	relayFanOut = 4
	// directSendTime is the longest time for which an order to all ranks may occupy the leader's link. Larger orders are
	// relayed.
	directSendTime = 80 * time.Millisecond
	// relayHopTime is the time that an agent needs to receive an order and to pass it on, without the time on its link.
	relayHopTime = 15 * time.Millisecond
)

// Relay is the tree along which an order for all ranks is passed on from agent to agent, so that the leader's link carries
// only FanOut copies of it. The children of the rank at position p of Ranks are those at positions p*FanOut+1 to
// p*FanOut+FanOut. A rank that does not get the order gets it from the leader itself later.
type Relay struct {
	// Ranks lists all ranks of the group. The first is the leader.
	Ranks  []ident.Rank `cbor:"1,keyasint" json:"ranks"`
	FanOut int          `cbor:"2,keyasint" json:"fan_out"`
}

// newRelay returns the tree for an order of size bytes from the leader over a link of linkRate bytes a second; nil if the
// leader should send the order to all ranks itself. Ranks for which unresponsive is true are put last, where they have no
// children.
func newRelay(leader ident.Rank, ranks, size int, linkRate float64, unresponsive func(ident.Rank) bool) *Relay {
	if linkRate <= 0 || transferTime((ranks-1)*size, linkRate) <= directSendTime {
		return nil
	}
	relay := &Relay{Ranks: []ident.Rank{leader}, FanOut: relayFanOut}
	var last []ident.Rank
	for i := 1; i < ranks; i++ {
		rank := ident.Rank((int(leader) + i) % ranks)
		if unresponsive(rank) {
			last = append(last, rank)
		} else {
			relay.Ranks = append(relay.Ranks, rank)
		}
	}
	relay.Ranks = append(relay.Ranks, last...)
	return relay
}

// transferTime returns the time that size bytes occupy a link of rate bytes a second.
func transferTime(size int, rate float64) time.Duration {
	return time.Duration(float64(size) / rate * float64(time.Second))
}

// Children returns the ranks to which a rank passes the order on.
func (r *Relay) Children(rank ident.Rank) []ident.Rank {
	position := slices.Index(r.Ranks, rank)
	if position < 0 || r.FanOut < 1 {
		return nil
	}
	first := min(position*r.FanOut+1, len(r.Ranks))
	return r.Ranks[first:min(first+r.FanOut, len(r.Ranks))]
}

// spreadTime returns the time after which an order of size bytes has reached all ranks if no message is lost.
func (r *Relay) spreadTime(size int, linkRate float64) time.Duration {
	depth := 0
	for position := len(r.Ranks) - 1; position > 0; position = (position - 1) / r.FanOut {
		depth++
	}
	return time.Duration(depth) * (relayHopTime + transferTime(r.FanOut*size, linkRate))
}

// RelayFilter decides whether an agent passes on an order that it receives. Each order is passed on once, and none of a
// leader that a newer one has replaced. It is not safe for concurrent use.
type RelayFilter struct {
	epoch, fence, version uint64
}

// Targets returns the ranks to which the agent of rank self passes an order on. fence is the greatest fence that the agent
// knows.
func (f *RelayFilter) Targets(self ident.Rank, fence uint64, order *LockstepOrder, relay *Relay) []ident.Rank {
	if relay == nil || order.Fence < fence {
		return nil
	}
	known := [...]uint64{f.epoch, f.fence, f.version}
	received := [...]uint64{order.Epoch, order.Fence, order.Version}
	if slices.Compare(received[:], known[:]) <= 0 {
		return nil
	}
	f.epoch, f.fence, f.version = order.Epoch, order.Fence, order.Version
	return relay.Children(self)
}
