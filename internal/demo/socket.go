package demo

import (
	"net"
	"sync"
)

const (
	// longHeaderBit is set in the first byte of handshake packets, which carry the
	// connection identifier at another place.
	longHeaderBit     = 0x80
	connectionIDBytes = 4
)

// connectionID is the first part of a QUIC connection identifier, which is enough to tell
// connections apart.
type connectionID [connectionIDBytes]byte

// faultySocket is a UDP socket that can drop the packets of QUIC connections.
type faultySocket struct {
	net.PacketConn

	mu sync.Mutex
	// present are the connections on which packets were sent since the last call of
	// BlackholeConnections.
	present map[connectionID]bool
	// blackholed are the connections whose packets are dropped.
	blackholed map[connectionID]bool
	dropsAll   bool
}

func newFaultySocket(inner net.PacketConn) *faultySocket {
	return &faultySocket{PacketConn: inner, present: map[connectionID]bool{}, blackholed: map[connectionID]bool{}}
}

// BlackholeConnections drops all further packets that this side sends on the present
// connections. New connections are unaffected.
func (s *faultySocket) BlackholeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.present {
		s.blackholed[id] = true
	}
	s.present = map[connectionID]bool{}
}

// DropAll drops all further packets, as after a crash of the machine.
func (s *faultySocket) DropAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropsAll = true
}

// WriteTo sends a packet, unless a fault drops it. It reports success in both cases.
func (s *faultySocket) WriteTo(packet []byte, to net.Addr) (int, error) {
	if s.mustDrop(packet) {
		return len(packet), nil
	}
	return s.PacketConn.WriteTo(packet, to)
}

// mustDrop reports whether a fault drops a packet, and records the packet's connection as
// present if not.
func (s *faultySocket) mustDrop(packet []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropsAll {
		return true
	}
	if len(packet) <= connectionIDBytes || packet[0]&longHeaderBit != 0 {
		return false
	}
	id := connectionID(packet[1 : 1+connectionIDBytes])
	if s.blackholed[id] {
		return true
	}
	s.present[id] = true
	return false
}
