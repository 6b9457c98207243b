// Package ident defines the identifiers that all parts of the system share.
package ident

import (
	"fmt"
	"strings"
)

// VM is the name of a virtual machine of an entry or a backend server, as in the platform's list of VMs.
type VM string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, a set of availability zones.
type Region string

// Customer is the name of a customer.
type Customer string

// Service is the name of a service to which requests are routed: a model or a plain service, which is any other HTTP
// service.
type Service string

// PromptPart identifies a part of a prompt for a model. Requests for the model whose prompts share the part have the same.
type PromptPart string

// Class is the name of a request class of a customer template.
type Class string

// Group is the name of an expert-parallel model group whose ranks run in lock-step.
type Group string

// Rank is the position of a rank in its group, from 0.
type Rank int

// Request is the ID of one call. It is unique among the calls of all entries. A resend by the caller is a new call with a
// new ID.
type Request string

// Attempt is the number of a dispatch of one request, from 1.
type Attempt uint32

// Incarnation identifies the lifetime of a process from its start to its end: each restart gets a new one. The number is
// taken from the clock, so a later start has a smaller number if the clock was set back. Only equality is reliable.
type Incarnation uint64

// Instance is one incarnation of the process on a VM.
type Instance struct {
	VM          VM          `cbor:"1,keyasint" json:"vm"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// String returns the VM and the incarnation in hexadecimal, separated by '#'.
func (i Instance) String() string {
	return fmt.Sprintf("%s#%x", i.VM, uint64(i.Incarnation))
}

// RunKey is the idempotency key of a non-idempotent request: all resends of the request have the same key. It contains the
// customer and the service, so that a customer can't use another customer's key.
type RunKey string

const runKeySeparator = "\x1f"

// NewRunKey returns the run key for a caller's key, scoped to a customer and a service.
func NewRunKey(customer Customer, service Service, key string) RunKey {
	return RunKey(strings.Join([]string{string(customer), string(service), key}, runKeySeparator))
}

// Customer returns the customer that the key belongs to.
func (k RunKey) Customer() Customer {
	customer, _, _ := strings.Cut(string(k), runKeySeparator)
	return Customer(customer)
}

// Service returns the service that the key belongs to, or "" if the key is malformed.
func (k RunKey) Service() Service {
	parts := strings.SplitN(string(k), runKeySeparator, 3)
	if len(parts) < 2 {
		return ""
	}
	return Service(parts[1])
}

// String returns the key in printable form: CUSTOMER/SERVICE/KEY.
func (k RunKey) String() string {
	return strings.ReplaceAll(string(k), runKeySeparator, "/")
}
