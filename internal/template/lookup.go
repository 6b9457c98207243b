package template

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

type compiledRoute struct {
	method string
	parts  []string
	class  int
}

func compileRoutes(template *Template) []compiledRoute {
	var routes []compiledRoute
	for i := range template.Classes {
		for _, route := range template.Classes[i].Routes {
			routes = append(routes, compiledRoute{method: route.Method, parts: splitPath(route.Path), class: i})
		}
	}
	return routes
}

func splitPath(path string) []string {
	return strings.Split(strings.Trim(path, "/"), "/")
}

func (r *compiledRoute) matches(method string, parts []string) bool {
	if r.method != method || len(r.parts) != len(parts) {
		return false
	}
	for i, part := range r.parts {
		variable := strings.HasPrefix(part, "{") && strings.HasSuffix(part, "}")
		if !variable && part != parts[i] {
			return false
		}
	}
	return true
}

// CustomerOf returns the customer that a bearer credential belongs to, and false if there is none.
func (p *CustomerPlans) CustomerOf(credential string) (ident.Customer, bool) {
	digest := sha256.Sum256([]byte(credential))
	customer, ok := p.customersByDigest[hex.EncodeToString(digest[:])]
	return customer, ok
}

// Plan returns a customer's plan, or nil for an unknown customer.
func (p *CustomerPlans) Plan(customer ident.Customer) *CustomerPlan {
	index, ok := p.planIndexes[customer]
	if !ok {
		return nil
	}
	return &p.Plans[index]
}

// RelativeWeight returns a customer's weight relative to the mean of all customers; 1 for an unknown customer.
func (p *CustomerPlans) RelativeWeight(customer ident.Customer) float64 {
	plan := p.Plan(customer)
	if plan == nil || p.totalWeight == 0 {
		return 1
	}
	return plan.Weight * float64(len(p.Plans)) / p.totalWeight
}

// ClassOfRoute returns the class of a customer's plain call, or nil if no route matches. If several routes match, the one
// with the most literal path segments is used.
func (p *CustomerPlans) ClassOfRoute(customer ident.Customer, method, path string) *ClassPlan {
	parts := splitPath(path)
	best := -1
	mostFixedParts := -1
	for _, route := range p.routes[customer] {
		if !route.matches(method, parts) {
			continue
		}
		fixedParts := 0
		for i := range parts {
			if route.parts[i] == parts[i] {
				fixedParts++
			}
		}
		if fixedParts > mostFixedParts {
			mostFixedParts = fixedParts
			best = route.class
		}
	}
	if best < 0 {
		return nil
	}
	return &p.Plan(customer).Classes[best]
}

// ModelClass returns a customer's model class by name, or its first model class if the name is empty. It returns nil if
// there is none.
func (p *CustomerPlans) ModelClass(customer ident.Customer, name ident.Class) *ClassPlan {
	plan := p.Plan(customer)
	if plan == nil {
		return nil
	}
	for i := range plan.Classes {
		class := &plan.Classes[i]
		if class.Kind == KindModel && (name == "" || class.Name == name) {
			return class
		}
	}
	return nil
}

// ExpertWeightsOf returns the weights of skew and rebalancing for a service: the mean over the customers that use it,
// weighted by the customers' weights. It returns 1 for both if no customer uses the service.
func (p *CustomerPlans) ExpertWeightsOf(service ident.Service) ExpertWeights {
	var sum ExpertWeights
	var total float64
	for i := range p.Plans {
		plan := &p.Plans[i]
		if !plan.usesService(service) {
			continue
		}
		sum.Skew += plan.Weight * plan.Experts.Skew
		sum.Rebalancing += plan.Weight * plan.Experts.Rebalancing
		total += plan.Weight
	}
	if total == 0 {
		return ExpertWeights{Skew: 1, Rebalancing: 1}
	}
	return ExpertWeights{Skew: sum.Skew / total, Rebalancing: sum.Rebalancing / total}
}

func (p *CustomerPlan) usesService(service ident.Service) bool {
	for i := range p.Classes {
		if p.Classes[i].Service == service {
			return true
		}
	}
	return false
}
