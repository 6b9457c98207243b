// Package timeline records events of all processes with the stamps of hybrid logical clocks, which order a cause before its
// effect even if the processes' clocks differ. It merges, filters and prints events.
package timeline

import (
	"cmp"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// MaxSkew is how far a received stamp may be ahead of the local clock. A stamp further ahead is refused, so that one broken
// clock can't advance the clocks of all processes.
const MaxSkew = time.Hour

// Clock packs the milliseconds and the counter into one 64-bit word.
const (
	counterBits = 20
	counterMask = 1<<counterBits - 1
	maxWall     = 1<<(64-counterBits) - 1
)

// Stamp is the time of an event on a hybrid logical clock. Each message carries the stamp of its sending.
type Stamp struct {
	// Wall is a time in milliseconds since the Unix epoch, not earlier than the process's clock.
	Wall int64 `cbor:"1,keyasint" json:"wall_ms"`
	// Counter orders stamps with the same Wall.
	Counter uint32 `cbor:"2,keyasint,omitempty" json:"counter"`
	// Node distinguishes processes; it is a hash of VM and incarnation.
	Node uint32 `cbor:"3,keyasint" json:"node"`
}

// Compare orders stamps by wall time, counter and node. The stamp of a cause is less than that of its effect.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Wall, other.Wall),
		cmp.Compare(s.Counter, other.Counter),
		cmp.Compare(s.Node, other.Node),
	)
}

// Time returns the wall time of the stamp in UTC.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall).UTC() }

// String returns the wall time and the counter, separated by '+'.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().Format(stampLayout), s.Counter)
}

const stampLayout = "2006-01-02T15:04:05.000Z"

// NodeOf returns the Node of the stamps of an instance.
func NodeOf(instance ident.Instance) uint32 {
	return uint32(xxhash.Sum64String(instance.String()))
}

// Clock is the hybrid logical clock of one process. It is safe for concurrent use. Callers pass the wall time in.
type Clock struct {
	node    uint32
	last    atomic.Uint64
	refused atomic.Uint64
}

// NewClock returns the clock of an instance.
func NewClock(instance ident.Instance) *Clock {
	return &Clock{node: NodeOf(instance)}
}

// Next returns a stamp for an event or a message at now. It is greater than all stamps
// that this clock has returned or received.
func (c *Clock) Next(now time.Time) Stamp {
	wall := pack(now.UnixMilli(), 0)
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return c.stamp(next)
		}
	}
}

// Receive advances the clock to the stamp of a message that was received at now. It returns false and ignores the stamp if
// the stamp is malformed or more than MaxSkew ahead of now.
func (c *Clock) Receive(now time.Time, stamp Stamp) bool {
	if !acceptable(now, stamp) {
		c.refused.Add(1)
		return false
	}
	received := pack(stamp.Wall, stamp.Counter)
	for {
		last := c.last.Load()
		if received <= last || c.last.CompareAndSwap(last, received) {
			return true
		}
	}
}

// Refused returns the number of stamps that Receive has ignored.
func (c *Clock) Refused() uint64 { return c.refused.Load() }

func (c *Clock) stamp(packed uint64) Stamp {
	return Stamp{Wall: int64(packed >> counterBits), Counter: uint32(packed & counterMask), Node: c.node}
}

func acceptable(now time.Time, stamp Stamp) bool {
	return stamp.Wall >= 0 && stamp.Wall <= now.Add(MaxSkew).UnixMilli() && stamp.Counter <= counterMask
}

func pack(wall int64, counter uint32) uint64 {
	wall = min(max(wall, 0), maxWall)
	return uint64(wall)<<counterBits | uint64(counter)
}
