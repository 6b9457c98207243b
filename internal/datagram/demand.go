package datagram

import "github.com/bramleyspool/bramleyspool/internal/admission"

// DemandShares returns the message form of demands.
func DemandShares(demands []admission.CustomerDemand) []DemandShare {
	var shares []DemandShare
	for _, demand := range demands {
		shares = append(shares, DemandShare{
			Customer: demand.Customer, Priority: demand.Priority, Rate: float32(demand.Rate), Retries: float32(demand.Retries),
		})
	}
	return shares
}

// CustomerDemands returns the demands in a message.
func CustomerDemands(shares []DemandShare) []admission.CustomerDemand {
	var demands []admission.CustomerDemand
	for _, share := range shares {
		demands = append(demands, admission.CustomerDemand{
			Customer: share.Customer, Priority: share.Priority, Rate: float64(share.Rate), Retries: float64(share.Retries),
		})
	}
	return demands
}
