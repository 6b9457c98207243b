package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// TestStartTimesOfRemovedServersAreBounded guards against memory that grows with the servers that were ever listed, and against the
// loss of the latest ones.
func TestStartTimesOfRemovedServersAreBounded(t *testing.T) {
	c := qt.New(t)
	var cold coldServers
	now := time.Unix(1000, 0)
	instance := func(i int) attempt.ServerInstance {
		return attempt.ServerInstance{ID: fmt.Sprintf("s%d", i), Started: int64(i + 1)}
	}
	for i := range maxRemoved + 10 {
		now = now.Add(time.Millisecond)
		cold.recordRemoved(now, instance(i))
	}
	c.Assert(cold.removedAt, qt.HasLen, maxRemoved)
	c.Assert([]bool{cold.returned(now, instance(9)), cold.returned(now, instance(10)), cold.returned(now, instance(maxRemoved+9))}, qt.DeepEquals, []bool{false, true, true})
	cold.recordRemoved(now.Add(removedMemory), instance(0))
	c.Assert(cold.removedAt, qt.HasLen, 1)
	cold.recordRemoved(now, attempt.ServerInstance{ID: "unknown"})
	c.Assert(cold.removedAt, qt.HasLen, 1)
}
