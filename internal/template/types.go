// Package template defines customer templates: sets of request classes, weights, priorities and limits, whose parameters
// each customer sets.
package template

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Version is the version number of a published configuration or fleet. A greater version replaces a smaller one.
type Version uint64

// Kind is the kind of a service: a model engine or another HTTP service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Priority is a priority band; band 0 is served first.
type Priority int

// Limits bounds a customer's use of a class in the whole fleet; 0 means no limit.
type Limits struct {
	// RatePerSecond is the maximum number of requests per second.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Concurrency is the maximum number of requests open at the same time.
	Concurrency int `json:"concurrency,omitempty"`
	// TokensPerSecond is the maximum number of prompt and output tokens per second.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
}

// ClassPlan is one request class of one customer with all parameters resolved.
type ClassPlan struct {
	Name    ident.Class
	Service ident.Service
	Kind    Kind
	// Idempotent is true if a request can safely run more than once.
	Idempotent bool
	// RunKeyFields names the top-level fields of the JSON body from which the run key is built if the caller sends none.
	RunKeyFields []string
	// Worth is the relative value of serving one request of the class.
	Worth float64
	// Priority is the priority band of waiting requests.
	Priority Priority
	// Deadline is the maximum time from the arrival of a request to the start of its response.
	Deadline time.Duration
	Limits   Limits
}

// CustomerPlan is a customer's template with all parameters resolved.
type CustomerPlan struct {
	Customer ident.Customer
	// Weight is the customer's weight in fair sharing. It is greater than 0.
	Weight float64
	// Experts weighs skew against rebalancing in model groups that serve the customer.
	Experts ExpertWeights
	// Classes are in the order of the template.
	Classes []ClassPlan
}

// ExpertWeights weighs step-time skew against the cost of rebalancing. Skew slows down each step of a lock-step group,
// since all ranks wait for the one with the greatest load. Rebalancing moves experts between the ranks to reduce it. The
// weights need not sum to 1.
type ExpertWeights struct {
	Skew        float64 `json:"skew"`
	Rebalancing float64 `json:"rebalancing"`
}
