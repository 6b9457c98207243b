package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// usualWindow is the time constant of the average of a customer's usual demand. It is longer than waves of demand, which take
// some seconds.
const usualWindow = 30 * time.Second

// UsualDemand knows how much each customer of a service usually demands, as weights for DemandShares. With equal weights, a large
// customer would exceed its share in each overload, and its urgent requests would be refused while the least urgent ones of
// others are served. Demand during an overload is not recorded, so that a flood gains no weight. The zero value is ready.
type UsualDemand struct {
	rates map[ident.Customer]float64
	mean  float64
	at    time.Time
}

// Record records the demand of all customers while it is within the capacity.
func (u *UsualDemand) Record(now time.Time, demands []CustomerDemand) {
	weight := min(max(now.Sub(u.at).Seconds()/usualWindow.Seconds(), 0), 1)
	if u.rates == nil {
		u.rates, weight = map[ident.Customer]float64{}, 1
	}
	u.at = now
	rates := map[ident.Customer]float64{}
	for _, demand := range demands {
		if demand.valid() && demand.Customer != OtherCustomers {
			rates[demand.Customer] += demand.Rate - demand.Retries
		}
	}
	for customer := range u.rates {
		rates[customer] += 0 // includes customers without demand
	}
	total := 0.0
	for customer, rate := range rates {
		rates[customer] = u.rates[customer] + weight*(rate-u.rates[customer])
		if rates[customer] < negligibleRate {
			delete(rates, customer)
		}
		total += rates[customer]
	}
	u.rates, u.mean = rates, 0
	if len(rates) > 0 {
		u.mean = total / float64(len(rates))
	}
}

// negligibleRate is the usual demand, in requests per second, below which a customer is forgotten.
const negligibleRate = 0.001

// Weight returns the usual demand of a customer, and at least the mean over the customers: small and new customers may ask for
// more than usual, as long as they stay within an equal share.
func (u *UsualDemand) Weight(customer ident.Customer) float64 {
	return max(u.rates[customer], u.mean)
}
