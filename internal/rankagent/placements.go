package rankagent

import (
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// placementBook keeps the placement that was prepared last, so that an order for the next one carries only what
// differs: a whole placement of 32 ranks takes 2.3 KB, and 31 of them would take 70 ms of a link of 8 Mbit/s while
// the group runs under a map that does not fit. Agents that don't know the last one get the whole placement.
type placementBook struct {
	version   uint64
	placement expert.LayerPlacements
	// previous is the version before, to which changes are the difference; 0 if there is none.
	previous uint64
	changes  []expert.PlacementChange
	// known is the version that each rank's agent accepted last from this leader.
	known map[ident.Rank]uint64
}

// record keeps a placement that is being prepared.
func (b *placementBook) record(version uint64, placement expert.LayerPlacements) {
	if version == b.version {
		return
	}
	b.previous = 0
	if changes, ok := b.placement.ChangesTo(placement); ok && b.version != 0 {
		b.previous, b.changes = b.version, changes
	}
	b.version, b.placement = version, placement
}

// shorten replaces the placement of an order by its changes if the rank's agent knows the one before.
func (b *placementBook) shorten(order *datagram.Order) {
	if order.Order.Kind != expert.LockstepPrepare {
		return
	}
	b.record(order.Order.Version, order.Order.Placement)
	if b.previous == 0 || b.known[order.Rank] != b.previous {
		return
	}
	order.Base, order.Changes, order.Order.Placement = b.previous, b.changes, nil
}

// answered records which placement a rank's agent knows.
func (b *placementBook) answered(reply *datagram.Reply) {
	switch {
	case reply.Version == 0:
	case reply.Result != expert.LockstepAccepted:
		delete(b.known, reply.Rank)
	default:
		if b.known == nil {
			b.known = map[ident.Rank]uint64{}
		}
		b.known[reply.Rank] = reply.Version
	}
}

// complete gives an order its placement back and keeps it. It returns false if the base is not known here.
func (b *placementBook) complete(order *datagram.Order) bool {
	if order.Order.Kind != expert.LockstepPrepare {
		return true
	}
	if order.Base != 0 {
		base := b.placement
		if order.Base != b.version {
			// A copy of the order that was carried out already.
			if order.Order.Version != b.version {
				return false
			}
			order.Order.Placement = base
			return true
		}
		placement, ok := base.Changed(order.Changes)
		if !ok {
			return false
		}
		order.Order.Placement = placement
	}
	b.record(order.Order.Version, order.Order.Placement)
	return true
}
