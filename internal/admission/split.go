package admission

import (
	"math"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// leasedPool returns the part of the limits that the coordinator leases.
func leasedPool(limits template.Limits, settings LeaseSettings) Part {
	return Part{
		Rate:        limits.RatePerSecond * (1 - settings.StaticFraction),
		Concurrency: limits.Concurrency - int(float64(limits.Concurrency)*settings.StaticFraction),
		Tokens:      limits.TokensPerSecond * (1 - settings.StaticFraction),
	}
}

// staticShare returns the part of the limits that a VM may use without a lease. The sum over RosterOverlap rosters of
// equal size stays within the limits minus the leased pool.
func staticShare(key ClassKey, limits template.Limits, r roster, vm ident.VM, settings LeaseSettings) Part {
	n := len(r.vms)
	if !r.contains(vm) {
		return Part{}
	}
	fraction := settings.StaticFraction / float64(settings.RosterOverlap)
	share := Part{
		Rate:   limits.RatePerSecond * fraction / float64(n),
		Tokens: limits.TokensPerSecond * fraction / float64(n),
	}
	rank := -1
	// minUsableRate is the rate at which one request accrues in BurstWindow. A bucket holds at most what accrues in
	// BurstWindow, so that at a lower rate it would never hold a whole request. If the even share is below
	// minUsableRate, some VMs get minUsableRate and the others none.
	minUsableRate := 1 / settings.BurstWindow.Seconds()
	if share.Rate > 0 && share.Rate < minUsableRate {
		rank = r.rankOf(key, vm)
		share.Rate = 0
		if rank < int(limits.RatePerSecond*fraction/minUsableRate) {
			share.Rate = minUsableRate
		}
	}
	total := int(math.Floor(float64(limits.Concurrency) * settings.StaticFraction))
	total /= settings.RosterOverlap
	share.Concurrency = total / n
	if remainder := total % n; remainder > 0 {
		if rank < 0 {
			rank = r.rankOf(key, vm)
		}
		if rank < remainder {
			share.Concurrency++
		}
	}
	return share
}
