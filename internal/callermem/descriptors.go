package callermem

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are not for sockets: the users' platform reserves 200 for files.
	reservedDescriptors = 200
	// ownDescriptors are for listeners, the store, the peers and the log.
	ownDescriptors = 24
	// callersShare is the share of the other descriptors that callers' connections get. Each may need one more for a connection to a
	// server, and a quarter may wait to be closed.
	callersShare = 1 / 2.25
)

// Descriptors returns how many descriptors the process may open: the operating system's limit, or the configured one if that is less;
// 0 if none is configured.
func Descriptors(configured int) int {
	limit := math.MaxInt32
	var system unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &system) == nil && system.Cur < math.MaxInt32 {
		limit = int(system.Cur)
	}
	if configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}
