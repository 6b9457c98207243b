package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// probeCloseTimeout is how long a probe waits for the server to close the new connection: a process that is ending
	// may still accept connections for a moment.
	probeCloseTimeout = 50 * time.Millisecond
	// probeInterval is the minimum interval between two probes of one server.
	probeInterval = 200 * time.Millisecond
)

// serverState is what a connection attempt shows about a backend server.
type serverState string

const (
	// serverEnded means that nothing listens at the address.
	serverEnded serverState = "ended"
	// serverReachable means that a process accepts connections and keeps them open.
	serverReachable serverState = "reachable"
	// serverUnknown means that there was no answer, or that connections are accepted and closed.
	serverUnknown serverState = "unknown"
)

// prober finds out whether a backend server has ended after it broke a send off. It is safe for concurrent use.
type prober struct {
	mu sync.Mutex
	// probedAt has the time of the last probe of each address. removeExpired removes old ones.
	probedAt map[string]time.Time
}

func newProber() *prober { return &prober{probedAt: map[string]time.Time{}} }

// due reports whether the address may be probed now, and records the probe.
func (p *prober) due(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.probedAt[address]) < probeInterval {
		return false
	}
	p.probedAt[address] = now
	return true
}

// removeExpired removes the times of earlier probes.
func (p *prober) removeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, at := range p.probedAt {
		if now.Sub(at) >= probeInterval {
			delete(p.probedAt, address)
		}
	}
}

// probeServer opens a connection to the address. A connection that the server closes at once is tried again.
func probeServer(ctx context.Context, address string) serverState {
	for range 2 {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return serverEnded
		}
		if err != nil {
			return serverUnknown
		}
		if staysOpen(conn) {
			return serverReachable
		}
	}
	return serverUnknown
}

// staysOpen reports whether the server keeps a new connection open for probeCloseTimeout, and closes it.
func staysOpen(conn net.Conn) bool {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(probeCloseTimeout)); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
