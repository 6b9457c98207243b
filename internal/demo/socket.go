package demo

import (
	"net"
	"sync"
)

const (
	longHeaderBit     = 0x80
	connectionIDBytes = 4
)

// connectionID is the head of a QUIC connection identifier.
type connectionID [connectionIDBytes]byte

// faultySocket is a UDP socket whose connections can be silenced.
type faultySocket struct {
	net.PacketConn

	mu sync.Mutex
	// seen are the connections that packets were sent on since the last silence.
	seen map[connectionID]bool
	// silenced are the connections on which nothing arrives any more.
	silenced map[connectionID]bool
	muted    bool
}

func newFaultySocket(inner net.PacketConn) *faultySocket {
	return &faultySocket{PacketConn: inner, seen: map[connectionID]bool{}, silenced: map[connectionID]bool{}}
}

// SilenceConnections makes all present connections lose everything that this side sends,
// while new connections work.
func (s *faultySocket) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.seen {
		s.silenced[id] = true
	}
	s.seen = map[connectionID]bool{}
}

// Mute drops everything that is sent from now on, as if the machine was gone.
func (s *faultySocket) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
}

// WriteTo sends a packet unless its connection is silenced.
func (s *faultySocket) WriteTo(packet []byte, to net.Addr) (int, error) {
	if s.drops(packet) {
		return len(packet), nil
	}
	return s.PacketConn.WriteTo(packet, to)
}

func (s *faultySocket) drops(packet []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.muted {
		return true
	}
	if len(packet) <= connectionIDBytes || packet[0]&longHeaderBit != 0 {
		return false
	}
	id := connectionID(packet[1 : 1+connectionIDBytes])
	if s.silenced[id] {
		return true
	}
	s.seen[id] = true
	return false
}
