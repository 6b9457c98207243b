// Package ident defines the identifiers that all parts of the system share.
package ident

import (
	"fmt"
	"strings"
)

// VM names one virtual machine, entry or backend server, as the platform lists it.
type VM string

// Zone names an availability zone.
type Zone string

// Region names a region, a set of availability zones.
type Region string

// Customer names one customer.
type Customer string

// Service names a model or a plain service that requests are routed to.
type Service string

// Class names a request class of a customer template.
type Class string

// Group names an expert-parallel model group whose ranks run in lock-step.
type Group string

// Rank is the position of a rank in its group, from 0.
type Rank int

// Request identifies one call of a caller; it is unique over all entries.
type Request string

// Attempt numbers the dispatches of one request, from 1.
type Attempt uint32

// Incarnation identifies one run of a process. A VM that restarts under the same
// address has another incarnation. Later starts have greater numbers as far as the
// machine's clock allows; only equality may be relied on.
type Incarnation uint64

// Instance is one run of the process on a VM.
type Instance struct {
	VM          VM          `cbor:"1,keyasint" json:"vm"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// String returns the VM and the incarnation in hexadecimal, separated by '#'.
func (i Instance) String() string {
	return fmt.Sprintf("%s#%x", i.VM, uint64(i.Incarnation))
}

// RunKey identifies one run of a non-idempotent request over all resends.
// It is scoped by customer and service, so that no customer can name another's key.
type RunKey string

const runKeySeparator = "\x1f"

// NewRunKey returns the run key for the caller's key within a customer and a service.
func NewRunKey(customer Customer, service Service, key string) RunKey {
	return RunKey(strings.Join([]string{string(customer), string(service), key}, runKeySeparator))
}

// Customer returns the customer that the key belongs to.
func (k RunKey) Customer() Customer {
	customer, _, _ := strings.Cut(string(k), runKeySeparator)
	return Customer(customer)
}

// Service returns the service that the key belongs to, or "" for a malformed key.
func (k RunKey) Service() Service {
	parts := strings.SplitN(string(k), runKeySeparator, 3)
	if len(parts) < 2 {
		return ""
	}
	return Service(parts[1])
}

// String returns the key in a printable form.
func (k RunKey) String() string {
	return strings.ReplaceAll(string(k), runKeySeparator, "/")
}
