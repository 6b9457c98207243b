package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// Part is a part of a customer's limits for one class.
type Part struct {
	// Rate is in requests a second.
	Rate float64 `cbor:"1,keyasint,omitempty" json:"rate,omitempty"`
	// Concurrency is in open requests.
	Concurrency int `cbor:"2,keyasint,omitempty" json:"concurrency,omitempty"`
	// Tokens is in tokens a second.
	Tokens float64 `cbor:"3,keyasint,omitempty" json:"tokens,omitempty"`
}

// ClassKey identifies one class of one customer.
type ClassKey struct {
	Customer ident.Customer `cbor:"1,keyasint" json:"customer"`
	Class    ident.Class    `cbor:"2,keyasint" json:"class"`
}

// PartDemand is the part of one limit that an entry holds and the part that it requests.
type PartDemand struct {
	Key ClassKey `cbor:"1,keyasint"`
	// Requested is the part that the entry's recent demand needs beyond its static share.
	Requested Part `cbor:"2,keyasint"`
	// Grantor and Grant identify the latest grant that the entry received; 0 if none. The entry never uses an
	// earlier grant again.
	Grantor ident.Incarnation `cbor:"3,keyasint,omitempty"`
	Grant   uint64            `cbor:"4,keyasint,omitempty"`
	// GrantorVM is the VM of the grantor if it differs from the receiver's.
	GrantorVM ident.VM `cbor:"7,keyasint,omitempty"`
	// Held is the part of that grant; zero if it has expired.
	Held Part `cbor:"5,keyasint,omitempty"`
	// Open is the number of open requests beyond the static share. Under a concurrency limit it never
	// grows while it is at least the held concurrency. The coordinator can therefore count Open instead of the earlier,
	// larger grants that the entry no longer uses.
	Open int `cbor:"6,keyasint,omitempty"`
}

// LimitRequest is sent by an entry to the coordinator of some customers' limits. It also confirms that the sender uses
// the same roster as the coordinator.
type LimitRequest struct {
	From ident.Instance `cbor:"1,keyasint"`
	// Roster is the digest of the roster that the sender uses.
	Roster uint64 `cbor:"2,keyasint"`
	// Sequence grows with each request of the sender to any coordinator.
	Sequence uint64 `cbor:"3,keyasint"`
	// EchoNumber is the newest LimitGrant.EchoNumber received from the coordinator, EchoIncarnation the incarnation that
	// sent it. The entry sent this request after the coordinator first sent the number. From that time the coordinator
	// knows the greatest possible age of the confirmation.
	EchoNumber      uint64            `cbor:"4,keyasint,omitempty"`
	EchoIncarnation ident.Incarnation `cbor:"5,keyasint,omitempty"`
	Demands         []PartDemand      `cbor:"6,keyasint,omitempty"`
}

// PartGrant leases a part of one limit.
type PartGrant struct {
	Key ClassKey `cbor:"1,keyasint"`
	// Number grows with each grant of the coordinator's incarnation. The holder uses the part with the greatest
	// number.
	Number uint64 `cbor:"2,keyasint"`
	Part   Part   `cbor:"3,keyasint"`
	// RenewedGrant is the number of the earlier coordinator's grant that this grant renews, RenewedGrantor the
	// incarnation of that coordinator; 0 if none. The holder ignores the renewal unless the renewed grant is its current
	// one and has not expired.
	RenewedGrant   uint64            `cbor:"4,keyasint,omitempty"`
	RenewedGrantor ident.Incarnation `cbor:"5,keyasint,omitempty"`
}

// LimitGrant is the coordinator's answer to a LimitRequest.
type LimitGrant struct {
	From   ident.Instance `cbor:"1,keyasint"`
	To     ident.Instance `cbor:"2,keyasint"`
	Roster uint64         `cbor:"3,keyasint"`
	// Sequence is that of the answered request. The leases start at the time at which the holder sent that request,
	// on the holder's clock.
	Sequence uint64 `cbor:"4,keyasint"`
	// EchoNumber is the number that the holder's next requests to the coordinator return, until it receives a newer one.
	EchoNumber uint64 `cbor:"5,keyasint"`
	// TTL is the duration of the leases from the sending of the request.
	TTL    time.Duration `cbor:"6,keyasint"`
	Grants []PartGrant   `cbor:"7,keyasint,omitempty"`
}

// UnservedCount counts the requests of one class that were not served and ended with the same cause, causing customer and
// limit. Besides refused requests these are dispatched ones that were not run or may have run.
type UnservedCount struct {
	Cause outcome.Cause `cbor:"1,keyasint" json:"cause"`
	// CausedBy is the customer whose demand caused the result; "" if there is none, OtherCustomers if the list is full.
	CausedBy ident.Customer `cbor:"2,keyasint,omitempty" json:"caused_by,omitempty"`
	// Limit is the limit that was reached; LimitNone if there was none.
	Limit LimitKind `cbor:"3,keyasint,omitempty" json:"limit,omitempty"`
	Count uint64    `cbor:"4,keyasint" json:"count"`
	// Worth is the sum of the worth of the counted requests.
	Worth float64 `cbor:"5,keyasint" json:"worth"`
}

// AccountEntry counts the requests of one class of one customer since the process started.
// Arrivals = Served + sum of NotRun counts + sum of Unknown counts + Open.
type AccountEntry struct {
	Key         ClassKey        `cbor:"1,keyasint" json:"key"`
	Arrivals    uint64          `cbor:"2,keyasint" json:"arrivals"`
	Served      uint64          `cbor:"3,keyasint" json:"served"`
	Open        uint64          `cbor:"4,keyasint" json:"open"`
	ServedWorth float64         `cbor:"5,keyasint" json:"served_worth"`
	NotRun      []UnservedCount `cbor:"6,keyasint,omitempty" json:"not_run,omitempty"`
	Unknown     []UnservedCount `cbor:"7,keyasint,omitempty" json:"unknown,omitempty"`
}

// AccountReport carries the entries of a process's account that changed since its previous report. Counts are totals
// since the process started.
type AccountReport struct {
	From ident.Instance `cbor:"1,keyasint" json:"from"`
	// Sequence starts at 1 and grows by one with each report.
	Sequence uint64         `cbor:"2,keyasint" json:"sequence"`
	Entries  []AccountEntry `cbor:"3,keyasint,omitempty" json:"entries,omitempty"`
	// Final is true for the last report of a process that shuts down as planned.
	Final bool `cbor:"4,keyasint,omitempty" json:"final,omitempty"`
}
