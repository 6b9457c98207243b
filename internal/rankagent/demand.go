package rankagent

import (
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
)

// demandInterval is the least time between two reports that state the demand. Entries use the sums for a second, so that two
// of three such reports may be lost. Sums of 64 items take some 1.6 kB, ten times the rest of a report.
const demandInterval = 300 * time.Millisecond

// entryDemand holds what the subscribed entries state as their demand, by the entry's address.
type entryDemand struct {
	stated   map[netip.AddrPort][]datagram.DemandShare
	reported time.Time
}

// record replaces the demand of an entry. Only the newest statement of each entry counts.
func (e *entryDemand) record(entry netip.AddrPort, demand []datagram.DemandShare) {
	if len(demand) == 0 {
		delete(e.stated, entry)
		return
	}
	if e.stated == nil {
		e.stated = map[netip.AddrPort][]datagram.DemandShare{}
	}
	e.stated[entry] = demand[:min(len(demand), admission.MaxDemandItems)]
}

// forget removes the demand of an entry whose subscription has expired.
func (e *entryDemand) forget(entry netip.AddrPort) { delete(e.stated, entry) }

// due returns the sums over the entries if the next report should state them, otherwise nil.
func (e *entryDemand) due(now time.Time) []datagram.DemandShare {
	if len(e.stated) == 0 || now.Sub(e.reported) < demandInterval {
		return nil
	}
	e.reported = now
	lists := make([][]admission.CustomerDemand, 0, len(e.stated))
	for _, stated := range e.stated {
		lists = append(lists, datagram.CustomerDemands(stated))
	}
	return datagram.DemandShares(admission.SumDemand(lists...))
}
