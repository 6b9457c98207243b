package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// TickInterval is the longest time between two Tick events.
const TickInterval = 100 * time.Millisecond

// LimitKind identifies the limit that refused a request.
type LimitKind string

// The kinds of limit.
const (
	LimitNone        LimitKind = ""
	LimitRate        LimitKind = "rate"
	LimitConcurrency LimitKind = "concurrency"
	LimitTokens      LimitKind = "tokens"
	LimitShare       LimitKind = "share"
	LimitQueue       LimitKind = "queue"
	LimitRetries     LimitKind = "retries"
	LimitCapacity    LimitKind = "capacity"
)

// Settings are the parameters of a Controller and a LimitCoordinator.
type Settings struct {
	// Self is the entry process.
	Self ident.Instance
	// Seed makes the jitter of Retry-After reproducible.
	Seed uint64
	// SharedQueueSize is the number of queue places for one service at the entry that are divided between the customers by
	// weight. Each customer gets MinQueued places in addition to its part.
	SharedQueueSize int
	// MinQueued is the number of requests that each customer may queue for a service on top of its part of
	// SharedQueueSize.
	MinQueued int
	// ClassFloor is the fraction of a customer's slots that each of its classes with queued requests gets
	// regardless of its priority.
	ClassFloor float64
	// RetryRatio is the number of retries that each served request permits.
	RetryRatio float64
	// RetryBurst is the number of retries permitted without served requests.
	RetryBurst float64
	// MaxRetryAfter bounds the Retry-After of refusals.
	MaxRetryAfter time.Duration
	// ReportInterval is the time between two account reports.
	ReportInterval time.Duration
	Leases         LeaseSettings
}

// LeaseSettings are the parameters of the division of limits. They must be the same at all entries.
type LeaseSettings struct {
	// StaticFraction is the fraction of each limit that is split evenly over the roster (the VMs of all
	// entries, see Configure) and never leased.
	StaticFraction float64
	// RosterOverlap is the number of roster versions of about the same size that different entries may be using at
	// the same time. The static shares are divided by it, so that their sum over all these versions stays within
	// StaticFraction.
	RosterOverlap int
	// TTL is the duration of a lease.
	TTL time.Duration
	// Freshness is how long an entry's confirmation of the roster counts at a coordinator.
	Freshness time.Duration
	// Interval is the time between two requests of an entry to a coordinator.
	Interval time.Duration
	// MaxCoordinators bounds the number of entries that coordinate limits.
	MaxCoordinators int
	// TakeoverQuorum is the fraction of the roster that must confirm it before a coordinator becomes active. To
	// stay active, the coordinator needs a majority.
	TakeoverQuorum float64
	// ClockDrift is the greatest relative difference in speed between the clocks of two entries: while one second
	// passes on one clock, at least 1 - ClockDrift seconds pass on any other.
	ClockDrift float64
	// MaxHold is the longest time that a request stays open, including the time in the queue.
	MaxHold time.Duration
	// BurstWindow bounds bursts: in any period T all entries together accept at most limit * (T + BurstWindow).
	BurstWindow time.Duration
}

// DefaultSettings returns the settings for an entry process.
func DefaultSettings(self ident.Instance) Settings {
	return Settings{
		Self:            self,
		Seed:            uint64(self.Incarnation),
		SharedQueueSize: 4096,
		MinQueued:       8,
		ClassFloor:      0.1,
		RetryRatio:      0.1,
		RetryBurst:      10,
		MaxRetryAfter:   time.Minute,
		ReportInterval:  time.Second,
		Leases: LeaseSettings{
			StaticFraction:  0.2,
			RosterOverlap:   2,
			TTL:             20 * time.Second,
			Freshness:       6 * time.Second,
			Interval:        2 * time.Second,
			MaxCoordinators: 16,
			TakeoverQuorum:  0.8,
			ClockDrift:      0.01,
			MaxHold:         time.Minute,
			BurstWindow:     10 * time.Second,
		},
	}
}
