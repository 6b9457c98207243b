package admission

import (
	"cmp"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// QueueState describes one customer's requests for one service at the entry.
type QueueState struct {
	Service  ident.Service  `json:"service"`
	Customer ident.Customer `json:"customer"`
	Waiting  int            `json:"waiting"`
	// Open is the number of dispatched requests that have not ended. Unlike AccountEntry.Open it does not include the
	// queued ones, which Waiting counts.
	Open int `json:"open"`
	// Slots is the number of slots that the customer gets while it has queued requests.
	Slots float64 `json:"slots"`
	// Overloaded is true if the customer's demand exceeds what it gets.
	Overloaded bool `json:"overloaded"`
}

// Queues returns the customers with queued or dispatched requests, sorted by service and customer.
func (c *Controller) Queues() []QueueState {
	var states []QueueState
	for _, s := range c.services {
		for _, f := range s.flows {
			if f.queued == 0 && f.open == 0 {
				continue
			}
			states = append(states, QueueState{
				Service: s.name, Customer: f.customer, Waiting: f.queued, Open: f.open,
				Slots: s.rate(f), Overloaded: f.overload.overloaded,
			})
		}
	}
	slices.SortFunc(states, func(a, b QueueState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
	})
	return states
}
