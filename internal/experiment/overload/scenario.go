package overload

import (
	"fmt"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// scenario describes generated demand on a small deployment: 3 replicas of the counter service, 16
// replicas of the drafting service and 10 customers, two of them with a large weight.
type scenario struct {
	name string
	// load is the total demand as a multiple of the capacity.
	load float64
	// flood makes one small customer send all demand beyond that of the other customers, who stay below
	// their shares.
	flood bool
	// retries makes callers retry refused requests.
	retries bool
	// split is the fraction of the arrivals that each entry receives; it adds up to 1.
	split []float64
}

// The deployment of the scenarios.
const (
	counterSlots  = 3 * 8
	draftingSlots = 16 * 2
	customerCount = 10
	largeWeight   = 4
	// othersLoad is the demand of the other customers during a flood, as a fraction of their shares.
	othersLoad = 0.8
	duration   = 60 * time.Second
	// warmUp is the time at the start that the results leave out.
	warmUp = 10 * time.Second
)

// workload is one class of the deployment. serviceTime is the mean time that a request occupies a slot,
// slots is the total number of slots of the class's service.
type workload struct {
	plan        template.ClassPlan
	serviceTime time.Duration
	// part is the class's fraction of its service's demand, measured in slot time.
	part  float64
	slots int
}

func workloads() []workload {
	class := func(name ident.Class, service ident.Service, worth float64, priority template.Priority, deadline time.Duration) template.ClassPlan {
		return template.ClassPlan{Name: name, Service: service, Worth: worth, Priority: priority, Deadline: deadline}
	}
	return []workload{
		{class("lookup", "counter", 1, 0, time.Second), 200 * time.Millisecond, 0.7, counterSlots},
		{class("redemption", "counter", 5, 1, 4*time.Second), 300 * time.Millisecond, 0.3, counterSlots},
		{class("appeal", "drafting", 4, 1, 15*time.Second), 2 * time.Second, 0.5, draftingSlots},
		{class("draft", "drafting", 3, 2, 40*time.Second), 3 * time.Second, 0.5, draftingSlots},
	}
}

func weightOf(customer int) float64 {
	if customer < 2 {
		return largeWeight
	}
	return 1
}

func totalWeight() float64 {
	sum := 0.0
	for i := range customerCount {
		sum += weightOf(i)
	}
	return sum
}

func customerName(i int) ident.Customer {
	return ident.Customer(fmt.Sprintf("customer-%02d", i))
}

func plans() []template.CustomerPlan {
	var list []template.CustomerPlan
	for i := range customerCount {
		plan := template.CustomerPlan{Customer: customerName(i), Weight: weightOf(i)}
		for _, w := range workloads() {
			plan.Classes = append(plan.Classes, w.plan)
		}
		list = append(list, plan)
	}
	return list
}

// flooder is the index of the customer that sends the flood.
const flooder = customerCount - 1

// demand returns a customer's demand as a multiple of the total capacity.
func (s scenario) demand(customer int) float64 {
	share := weightOf(customer) / totalWeight()
	if !s.flood {
		return s.load * share
	}
	if customer != flooder {
		return min(s.load, othersLoad) * share
	}
	others := min(s.load, othersLoad) * (1 - share)
	return max(share*min(s.load, othersLoad), s.load-others)
}

// entitled returns each customer's max-min fair share as a fraction of the total capacity.
func (s scenario) entitled() []float64 {
	got := make([]float64, customerCount)
	satisfied := make([]bool, customerCount)
	left, weight := 1.0, totalWeight()
	for range customerCount {
		progress := false
		for i := range customerCount {
			if !satisfied[i] && s.demand(i) <= left*weightOf(i)/weight {
				got[i] = s.demand(i)
				satisfied[i] = true
				left -= got[i]
				weight -= weightOf(i)
				progress = true
			}
		}
		if !progress {
			break
		}
	}
	for i := range customerCount {
		if !satisfied[i] {
			got[i] = left * weightOf(i) / weight
		}
	}
	return got
}
