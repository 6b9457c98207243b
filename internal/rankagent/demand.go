package rankagent

import (
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
)

// demandInterval is the time between two reports that state the demand, unless it has changed much. Entries use the sums for a second, so that two
// of three such reports may be lost. Sums of 64 items take some 1.6 kB, ten times the rest of a report.
const demandInterval = 300 * time.Millisecond

// entryDemand holds what the subscribed entries state as their demand, by the entry's address.
type entryDemand struct {
	stated   map[netip.AddrPort][]datagram.DemandShare
	reported time.Time
	// reportedRate is the total of the sums in the last report.
	reportedRate float64
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
	if len(e.stated) == 0 {
		return nil
	}
	rate := 0.0
	lists := make([][]admission.CustomerDemand, 0, len(e.stated))
	for _, stated := range e.stated {
		demands := datagram.CustomerDemands(stated)
		lists, rate = append(lists, demands), rate+admission.TotalRate(demands)
	}
	if now.Sub(e.reported) < demandInterval && !admission.DemandChanged(e.reportedRate, rate) {
		return nil
	}
	e.reported, e.reportedRate = now, rate
	return datagram.DemandShares(admission.SumDemand(lists...))
}
