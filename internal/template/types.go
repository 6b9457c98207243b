// Package template defines customer templates: one shape of service with parameters
// that are filled in per customer with its weights, priorities and limits.
package template

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Version orders accepted configurations. A greater version replaces a smaller one.
type Version uint64

// Kind is the kind of service that a class is routed to.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Priority is a priority band; band 0 goes first.
type Priority int

// Limits bounds a customer's use of a class over the whole fleet; 0 means no limit.
type Limits struct {
	// RatePerSecond is the number of requests a second.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Concurrency is the number of requests open at once.
	Concurrency int `json:"concurrency,omitempty"`
	// TokensPerSecond is the number of prompt and output tokens a second.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
}

// ClassPlan is one request class of one customer with all parameters filled in.
type ClassPlan struct {
	Name    ident.Class
	Service ident.Service
	Kind    Kind
	// Idempotent is true if a request may run more than once without harm.
	Idempotent bool
	// RunKeyFields names the body fields that make up the run key when the caller sends none.
	RunKeyFields []string
	// Worth is the value of serving one request of the class.
	Worth float64
	// Priority is the band in which the class waits.
	Priority Priority
	// Deadline is the longest time from arrival to the start of the answer.
	Deadline time.Duration
	Limits   Limits
}

// CustomerPlan is a customer template filled in for one customer.
type CustomerPlan struct {
	Customer ident.Customer
	// Weight is the customer's weight in fair sharing; greater than 0.
	Weight float64
	// Experts weighs skew against rebalancing for the customer's model groups.
	Experts ExpertWeights
	// Classes are in the order of the template.
	Classes []ClassPlan
}

// ExpertWeights weighs step-time skew against the cost of rebalancing; they need not sum to 1.
type ExpertWeights struct {
	Skew        float64 `json:"skew"`
	Rebalancing float64 `json:"rebalancing"`
}
